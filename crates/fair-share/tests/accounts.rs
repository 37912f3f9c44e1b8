//! Tests of the primary's accounts: charges, versions, recovery and size limits.
#![allow(clippy::expect_used, reason = "a test fails by panicking")]

mod support;

use rstest::rstest;
use std::collections::BTreeSet;
use streamusher_fair_share::{
    FairShareAccounts, FairShareSettings, RankingVersion, SettingsError, UsageCharge,
};
use streamusher_protocol::heartbeat::Resources;
use support::{apply, cores, records, run, user, State};

const HALF_LIFE: u64 = 60_000;

fn settings() -> FairShareSettings {
    FairShareSettings::with_half_life(HALF_LIFE)
}

fn new_accounts() -> FairShareAccounts {
    FairShareAccounts::new(settings(), 1, 0)
}

#[test]
fn running_task_is_charged_before_it_finishes() {
    let mut accounts = new_accounts();
    accounts.on_run_started(0, &user("scans"), run(1), &cores(10));
    accounts.publish_if_due(30_000);
    let usage = accounts.usage_of(30_000, &user("scans"));
    assert!(
        usage.ranked_core_ms > 250_000 && usage.ranked_core_ms < 300_000,
        "{usage:?}"
    );
    assert_eq!(usage.rate_millicores, 10_000);
    assert!(accounts.order_key("scans", 1, 100) > accounts.order_key("newcomer", 1, 100));
}

#[rstest]
#[case::a_core(1_000, 0, 0, 1_000)]
#[case::a_gpu_counts_eight_cores(0, 0, 1, 8_000)]
#[case::memory_by_weight(0, 4_096, 0, 500)]
#[case::all(250, 1_024, 2, 16_375)]
fn rate_weighs_cores_memory_and_gpus(
    #[case] cpu: u64,
    #[case] mem_mb: u64,
    #[case] gpu: u64,
    #[case] rate: u64,
) {
    assert_eq!(settings().rate_of(&Resources { cpu, mem_mb, gpu }), rate);
}

#[test]
fn wasted_run_is_refunded_exactly() {
    let mut accounts = new_accounts();
    let mut other = accounts.clone();
    for accounts in [&mut accounts, &mut other] {
        accounts.on_run_started(0, &user("a"), run(1), &cores(1));
    }
    accounts.on_run_started(5_000, &user("a"), run(2), &cores(16));
    accounts.publish_if_due(20_000);
    accounts.publish_if_due(40_000);
    accounts.on_run_finished(50_000, &run(2), UsageCharge::Nothing);
    accounts.publish_if_due(60_000);
    other.publish_if_due(60_000);
    assert_eq!(
        accounts.ranking().usage_core_ms("a"),
        other.ranking().usage_core_ms("a")
    );
}

#[test]
fn run_is_charged_up_to_its_checkpoint() {
    let (mut accounts, mut other) = (new_accounts(), new_accounts());
    accounts.on_run_started(0, &user("a"), run(1), &cores(4));
    other.on_run_started(0, &user("a"), run(1), &cores(4));
    accounts.on_run_finished(30_000, &run(1), UsageCharge::UpTo(12_000));
    other.on_run_finished(12_000, &run(1), UsageCharge::Full);
    accounts.publish_if_due(30_000);
    other.publish_if_due(30_000);
    assert_eq!(
        accounts.ranking().usage_core_ms("a"),
        other.ranking().usage_core_ms("a")
    );
}

#[test]
fn repeated_events_and_unknown_runs_change_nothing() {
    let mut accounts = new_accounts();
    accounts.on_run_finished(0, &run(9), UsageCharge::Nothing);
    accounts.on_run_started(0, &user("a"), run(1), &cores(1));
    accounts.on_run_started(0, &user("a"), run(1), &cores(1));
    accounts.on_run_started(0, &user("b"), run(1), &cores(1));
    assert_eq!(accounts.usage_of(0, &user("a")).rate_millicores, 1_000);
    accounts.on_run_finished(1_000, &run(1), UsageCharge::Full);
    accounts.on_run_finished(9_000, &run(1), UsageCharge::Nothing);
    assert_eq!(accounts.usage_of(9_000, &user("a")).rate_millicores, 0);
    assert!(accounts.usage_of(9_000, &user("a")).present_core_ms > 800);
    assert_eq!(accounts.usage_of(9_000, &user("b")).present_core_ms, 0);
}

#[test]
fn one_version_a_second_with_one_write_for_each_changed_user() {
    let mut accounts = new_accounts();
    accounts.on_run_started(0, &user("a"), run(1), &cores(1));
    accounts.on_run_started(0, &user("b"), run(2), &cores(2));
    let mut versions = Vec::new();
    for now in (0..=10_000).step_by(20) {
        let writes = accounts.publish_if_due(now);
        let keys: BTreeSet<_> = writes.iter().map(|write| write.key.clone()).collect();
        assert_eq!(keys.len(), writes.len(), "duplicate key in {writes:?}");
        if !writes.is_empty() {
            assert_eq!(writes.len(), 3);
            versions.push((now, accounts.version().number));
        }
        assert!(accounts.age_ms(now) < 1_000 + 20);
    }
    assert_eq!(
        versions,
        (1..=10).map(|n| (n * 1_000, n)).collect::<Vec<_>>()
    );
}

#[test]
fn nothing_is_written_without_usage() {
    let mut accounts = new_accounts();
    assert!((0..100_000)
        .step_by(100)
        .all(|now| accounts.publish_if_due(now).is_empty()));
}

#[test]
fn idle_users_decay_and_are_dropped_while_versions_stay_fresh() {
    let mut accounts = new_accounts();
    let mut state = State::new();
    accounts.on_run_started(0, &user("a"), run(1), &cores(1));
    accounts.on_run_finished(10_000, &run(1), UsageCharge::Full);
    for now in (10_000..13 * HALF_LIFE).step_by(100) {
        apply(&mut state, accounts.publish_if_due(now));
        assert!(
            state.is_empty()
                || !state.contains_key("debt/a")
                || accounts.age_ms(now) <= settings().max_age_ms
        );
    }
    assert!(
        !state.contains_key("debt/a"),
        "the usage has decayed and must be removed: {state:?}"
    );
    assert_eq!(accounts.users().count(), 0);
}

#[test]
fn small_uses_add_up() {
    let mut accounts = new_accounts();
    for number in 0..30 {
        let now = number * 1_000;
        accounts.on_run_started(now, &user("a"), run(number), &cores(1));
        accounts.on_run_finished(now + 100, &run(number), UsageCharge::Full);
        accounts.publish_if_due(now + 999);
    }
    accounts.publish_if_due(31_000);
    let usage_core_ms = accounts.ranking().usage_core_ms("a");
    assert!(
        usage_core_ms > 2_000 && usage_core_ms < 3_000,
        "a tenth of a core for 30 s: {usage_core_ms}"
    );
}

#[test]
fn new_primary_continues_usage_time_and_versions() {
    let mut state = State::new();
    let mut accounts = new_accounts();
    accounts.on_run_started(0, &user("a"), run(1), &cores(3));
    (0..=20_000)
        .step_by(1_000)
        .for_each(|now| apply(&mut state, accounts.publish_if_due(now)));
    let before = (
        accounts.ranking().usage_core_ms("a"),
        accounts.version(),
        accounts.cluster_time(20_000),
    );
    // Another machine's steady clock has a different origin.
    let mut successor = FairShareAccounts::recover(settings(), 2, 777_000_000, records(&state));
    assert_eq!(
        (
            successor.ranking().usage_core_ms("a"),
            successor.version(),
            successor.cluster_time(777_000_000)
        ),
        before
    );
    successor.on_run_started(777_000_000, &user("a"), run(1), &cores(3));
    let writes = successor.publish_if_due(777_005_000);
    assert!(!writes.is_empty());
    assert_eq!(
        successor.version(),
        RankingVersion {
            epoch: 2,
            number: before.1.number + 1
        }
    );
    assert_eq!(successor.cluster_time(777_005_000), 25_000);
    let mut uninterrupted = FairShareAccounts::new(settings(), 1, 0);
    uninterrupted.on_run_started(0, &user("a"), run(1), &cores(3));
    uninterrupted.publish_if_due(25_000);
    assert_eq!(
        successor.ranking().usage_core_ms("a"),
        uninterrupted.ranking().usage_core_ms("a"),
        "the usage must equal that of a single uninterrupted primary"
    );
}

#[test]
fn cluster_time_does_not_go_back_with_a_late_steady_time() {
    let mut accounts = new_accounts();
    accounts.on_run_started(5_000, &user("a"), run(1), &cores(1));
    accounts.publish_if_due(9_000);
    let before = (accounts.cluster_time(9_000), accounts.version());
    assert!(accounts.publish_if_due(3_000).is_empty());
    accounts.on_run_finished(2_000, &run(1), UsageCharge::Full);
    assert_eq!((accounts.cluster_time(2_000), accounts.version()), before);
}

#[test]
fn only_users_with_unreadable_records_start_without_usage() {
    let mut state = State::new();
    let mut accounts = new_accounts();
    accounts.on_run_started(0, &user("a"), run(1), &cores(3));
    accounts.on_run_started(0, &user("b/c"), run(2), &cores(3));
    apply(&mut state, accounts.publish_if_due(70_000));
    state.insert("debt/a".into(), "{".into());
    state.insert("job/x".into(), "[1]".into());
    let successor = FairShareAccounts::recover(settings(), 2, 5, records(&state));
    assert_eq!(successor.unreadable_users(), [user("a")]);
    assert_eq!(successor.ranking().usage_core_ms("a"), 0);
    assert_eq!(
        successor.ranking().usage_core_ms("b/c"),
        accounts.ranking().usage_core_ms("b/c")
    );
    // Without the version's record, the latest usage determines the time to within a half-life.
    state.insert("debt-version".into(), "7".into());
    let successor = FairShareAccounts::recover(settings(), 3, 5, records(&state));
    assert_eq!(successor.cluster_time(5), HALF_LIFE);
    assert!(successor.ranking().usage_core_ms("b/c") > 0);
}

#[test]
fn usage_is_carried_over_to_another_half_life() {
    let mut state = State::new();
    let mut accounts = new_accounts();
    accounts.on_run_started(0, &user("a"), run(1), &cores(3));
    apply(&mut state, accounts.publish_if_due(71_234));
    let mut successor = FairShareAccounts::recover(
        FairShareSettings::with_half_life(3 * HALF_LIFE),
        2,
        0,
        records(&state),
    );
    let (actual, expected) = (
        successor.ranking().usage_core_ms("a"),
        accounts.ranking().usage_core_ms("a"),
    );
    assert!(
        actual.abs_diff(expected) <= 1,
        "got {actual}, {expected} before the change"
    );
    let writes = successor.publish_if_due(1_000);
    assert!(
        writes.iter().any(|write| &*write.key == "debt/a"),
        "{writes:?}"
    );
}

#[test]
fn users_with_the_least_usage_are_dropped_beyond_the_limit() {
    let mut accounts = FairShareAccounts::new(
        FairShareSettings {
            max_users: 100,
            ..settings()
        },
        1,
        0,
    );
    let mut state = State::new();
    for number in 0..150 {
        accounts.on_run_started(
            0,
            &user(&format!("u{number:03}")),
            run(number),
            &cores(number + 1),
        );
    }
    apply(&mut state, accounts.publish_if_due(10_000));
    assert_eq!(accounts.ranking().user_count(), 100);
    assert_eq!(state.len(), 101);
    assert!(state.contains_key("debt/u149") && !state.contains_key("debt/u049"));
}

#[test]
fn state_of_a_hundred_thousand_users_stays_small() {
    let mut accounts = new_accounts();
    let mut state = State::new();
    for number in 0..100_000 {
        accounts.on_run_started(
            number / 100,
            &user(&format!("u{number}")),
            run(number),
            &cores(2),
        );
    }
    for number in 0..100_000 {
        accounts.on_run_finished(number / 100 + 2_000, &run(number), UsageCharge::Full);
    }
    apply(&mut state, accounts.publish_if_due(5_000));
    assert_eq!(state.len(), 100_001);
    let bytes: usize = state.values().map(|value| value.len()).sum();
    assert!(bytes < 100_000 * 30, "{bytes} bytes");
    for second in 0..200 {
        let now = 5_000 + 10 * HALF_LIFE + second * 1_000;
        apply(&mut state, accounts.publish_if_due(now));
    }
    assert_eq!(state.len(), 1, "all usage has decayed");
}

#[test]
fn queue_is_charged_to_its_configured_user() {
    let mut settings = settings();
    settings
        .user_of_queue
        .insert("r-1".into(), "geology".into());
    assert_eq!(&*settings.user_of(&user("r-1")), "geology");
    assert_eq!(&*settings.user_of(&user("r-2")), "r-2");
}

#[rstest]
#[case::half_life(FairShareSettings { half_life_ms: 9_999, ..settings() }, "half_life_ms is 9999: give 10000 to 2592000000")]
#[case::versions(FairShareSettings { version_interval_ms: 10, ..settings() }, "version_every_ms is 10: give 1000 to 60000")]
#[case::age(FairShareSettings { max_age_ms: 10, ..settings() }, "most_age_ms is 10: give 2000")]
#[case::users(FairShareSettings { max_users: 0, ..settings() }, "most_users is 0: give 1")]
#[case::half(FairShareSettings { half_delay_core_s: 0, ..settings() }, "half_delay_core_s is 0: give 1")]
fn error_of_a_setting_out_of_range_names_the_range(
    #[case] settings: FairShareSettings,
    #[case] text: &str,
) {
    let error = settings.check().expect_err("out of range").to_string();
    assert!(error.contains(text), "{error}");
}

#[test]
fn weight_of_zero_is_rejected() {
    let mut settings = settings();
    assert_eq!(settings.check(), Ok(()));
    settings.weights.insert("a".into(), 0);
    assert_eq!(settings.check(), Err(SettingsError::Weight("a".into())));
}

#[test]
fn unchecked_settings_do_not_panic() {
    let unchecked = FairShareSettings {
        half_life_ms: 0,
        gpu_millicores: u64::MAX,
        gb_millicores: u64::MAX,
        max_delay_ms: u64::MAX,
        half_delay_core_s: u64::MAX,
        max_rate_cores: u64::MAX,
        ..settings()
    };
    let all = Resources {
        cpu: u64::MAX,
        mem_mb: u64::MAX,
        gpu: u64::MAX,
    };
    let mut accounts = FairShareAccounts::new(unchecked.clone(), u64::MAX, u64::MAX);
    accounts.on_run_started(u64::MAX, &user("a"), run(1), &all);
    accounts.publish_if_due(u64::MAX);
    let mut accounts = FairShareAccounts::new(unchecked.clone(), 1, 0);
    accounts.on_run_started(0, &user("a"), run(1), &all);
    accounts.publish_if_due(u64::MAX);
    accounts.on_run_finished(u64::MAX, &run(1), UsageCharge::UpTo(u64::MAX));
    let _ = accounts.order_key("a", u32::MAX, u64::MAX);
    let _ = streamusher_fair_share::max_inversion_ms(&unchecked, u64::MAX);
}

#[test]
fn record_of_a_user_that_never_stops_stays_small() {
    let mut accounts = new_accounts();
    let mut state = State::new();
    accounts.on_run_started(0, &user("a"), run(1), &cores(100));
    for now in (0..40 * HALF_LIFE).step_by(1_000) {
        apply(&mut state, accounts.publish_if_due(now));
    }
    let bytes = state["debt/a"].len();
    println!("{bytes} bytes");
    assert!(bytes < 400, "{bytes} bytes: {}", state["debt/a"]);
}
