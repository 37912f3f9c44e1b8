//! Compares the encoded records, updates and settings with recorded ones, byte for byte, because nodes of
//! other versions read them.
#![allow(clippy::expect_used, reason = "a test fails by panicking")]

mod support;

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;
use streamusher_fair_share::{
    DecayedUsage, FairShareAccounts, FairShareSettings, RankingUpdate, RankingVersion, UsageCharge,
};
use support::{cores, records, run, user, State};

const RECORDED: &str = include_str!("fixtures/encoded/fair-share.txt");
const HALF_LIFE: u64 = 60_000;

/// Lines of the transcript. Each value that can be decoded is decoded again and compared.
#[derive(Default)]
struct Transcript(Vec<String>);

impl Transcript {
    fn push<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, name: &str, value: &T) {
        let encoded = serde_json::to_string(value).expect("JSON");
        let decoded: T = serde_json::from_str(&encoded).expect("an encoded value can be decoded");
        assert_eq!(&decoded, value, "{name}");
        self.0.push(format!("{name} {encoded}"));
    }

    fn publish(&mut self, accounts: &mut FairShareAccounts, now: u64, state: &mut State) {
        for write in accounts.publish_if_due(now) {
            self.0.push(match &write.value {
                Some(value) => format!("write {} {value}", write.key),
                None => format!("remove {}", write.key),
            });
            match write.value {
                Some(value) => state.insert(write.key, value),
                None => state.remove(&write.key),
            };
        }
    }
}

fn settings_with_all_keys() -> FairShareSettings {
    let mut settings = FairShareSettings::with_half_life(HALF_LIFE);
    settings.weights.insert("a".into(), 2_000);
    settings.user_of_queue.insert("r-1".into(), "a".into());
    settings
}

fn transcript() -> String {
    let mut transcript = Transcript::default();
    transcript.push("settings", &FairShareSettings::with_half_life(HALF_LIFE));
    transcript.push("settings", &settings_with_all_keys());
    transcript.push("version", &RankingVersion::default());
    transcript.push("usage", &DecayedUsage::default());
    let mut accounts = FairShareAccounts::new(settings_with_all_keys(), 3, 0);
    let mut state = State::new();
    accounts.on_run_started(0, &user("a"), run(1), &cores(10));
    accounts.on_run_started(500, &user("b/c"), run(2), &cores(3));
    transcript.publish(&mut accounts, 1_000, &mut state);
    transcript.push("whole", &accounts.update_since(1_300, None));
    let held = accounts.version();
    accounts.on_run_finished(70_000, &run(1), UsageCharge::UpTo(65_000));
    accounts.on_run_finished(70_000, &run(2), UsageCharge::Nothing);
    transcript.publish(&mut accounts, 70_000, &mut state);
    transcript.push("difference", &accounts.update_since(70_001, Some(held)));
    let usage = accounts.usage_of(71_234, &user("a"));
    let usage = serde_json::to_string(&usage).expect("JSON");
    transcript.0.push(format!("user {usage}"));
    let mut successor =
        FairShareAccounts::recover(settings_with_all_keys(), 4, 5_000, records(&state));
    transcript.push("recovered", &successor.update_since(5_100, None));
    transcript.publish(&mut successor, 20 * HALF_LIFE, &mut state);
    let dropped: RankingUpdate = successor.update_since(20 * HALF_LIFE, Some(accounts.version()));
    transcript.push("dropped", &dropped);
    transcript.0.join("\n") + "\n"
}

#[test]
fn encoded_forms_are_as_recorded() {
    let actual = transcript();
    if std::env::var_os("ENCODED_SHOW").is_some() {
        print!("{actual}");
        return;
    }
    assert_eq!(actual, RECORDED);
}

#[test]
fn settings_without_optional_keys_have_defaults() {
    let whole = serde_json::to_value(FairShareSettings::with_half_life(HALF_LIFE)).expect("JSON");
    let mut without = whole.clone();
    for key in ["weights", "user_of_queue"] {
        without.as_object_mut().expect("an object").remove(key);
    }
    let read: FairShareSettings = serde_json::from_value(without).expect("settings");
    assert_eq!(serde_json::to_value(read).expect("JSON"), whole);
}
