//! The fair-share settings file: missing keys get defaults, and errors name the invalid key or value.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use rstest::rstest;
use std::fs;
use streamusher_controlplane::fair_share_file::load;
use streamusher_fair_share::FairShareSettings;
use support::TestFolder;

fn load_text(text: &str) -> Result<FairShareSettings, String> {
    let folder = TestFolder::new();
    let path = folder.path().join("debts.toml");
    fs::write(&path, text).unwrap();
    load(&path).map_err(|error| error.to_string())
}

#[test]
fn half_life_alone_gives_defaults_for_it() {
    assert_eq!(
        load_text("half_life_ms = 600000\n"),
        Ok(FairShareSettings::with_half_life(600_000))
    );
}

#[test]
fn weights_and_teams_replace_defaults() {
    let text = "half_life_ms = 600000\ngpu_millicores = 4000\n[weights]\nlogs = 2000\n[user_of_queue]\nr-1 = \"logs\"\n";

    let settings = load_text(text).unwrap();

    assert_eq!(
        (settings.gpu_millicores, settings.weights["logs"]),
        (4_000, 2_000)
    );
    assert_eq!(&*settings.user_of(&"r-1".into()), "logs");
    assert_eq!(
        settings.max_delay_ms,
        FairShareSettings::with_half_life(600_000).max_delay_ms
    );
}

#[rstest]
#[case::no_half_life("gpu_millicores = 1\n", "half_life_ms")]
#[case::unknown_key("half_life_ms = 600000\nhalf_live = 1\n", "half_live")]
#[case::wrong_type("half_life_ms = \"soon\"\n", "half_life_ms")]
#[case::negative("half_life_ms = -1\n", "half_life_ms")]
#[case::out_of_range("half_life_ms = 9000\n", "give 10000")]
#[case::zero_weight("half_life_ms = 600000\n[weights]\nlogs = 0\n", "logs")]
#[case::not_toml("half_life_ms", "debts.toml")]
fn invalid_key_or_value_is_reported(#[case] text: &str, #[case] expected_text: &str) {
    let error = load_text(text).unwrap_err();

    assert!(error.contains(expected_text), "{error}");
    assert!(error.contains("debts.toml"), "{error}");
}
