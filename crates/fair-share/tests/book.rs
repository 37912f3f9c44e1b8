//! The primary's book: what is charged, versions, restarts, repair, bounds of size.

mod support;

use rstest::rstest;
use std::collections::BTreeSet;
use streamusher_fair_share::{
    FairShareAccounts, FairShareSettings, RankingVersion, SettingsError, UsageCharge,
};
use streamusher_protocol::heartbeat::Resources;
use support::*;

const HALF_LIFE: u64 = 60_000;

fn settings() -> FairShareSettings {
    FairShareSettings::with_half_life(HALF_LIFE)
}

fn book() -> FairShareAccounts {
    FairShareAccounts::new(settings(), 1, 0)
}

#[test]
fn given_a_long_task_when_it_still_runs_then_its_user_pays_already() {
    let mut book = book();
    book.on_run_started(0, &user("scans"), run(1), &cores(10));
    book.advance(30_000);
    let shown = book.show(30_000, &user("scans"));
    assert!(
        shown.debt_core_ms > 250_000 && shown.debt_core_ms < 300_000,
        "{shown:?}"
    );
    assert_eq!(shown.rate_millicores, 10_000);
    assert!(book.order_key("scans", 1, 100) > book.order_key("newcomer", 1, 100));
}

#[rstest]
#[case::a_core(1_000, 0, 0, 1_000)]
#[case::a_gpu_counts_eight_cores(0, 0, 1, 8_000)]
#[case::memory_by_weight(0, 4_096, 0, 500)]
#[case::all(250, 1_024, 2, 16_375)]
fn given_resources_when_charged_then_by_their_weights(
    #[case] cpu: u64,
    #[case] mem_mb: u64,
    #[case] gpu: u64,
    #[case] rate: u64,
) {
    assert_eq!(settings().rate_of(&Resources { cpu, mem_mb, gpu }), rate);
}

#[test]
fn given_work_thrown_away_when_its_run_ends_then_the_user_owes_what_it_did_before() {
    let mut book = book();
    let mut other = book.clone();
    for book in [&mut book, &mut other] {
        book.on_run_started(0, &user("a"), run(1), &cores(1));
    }
    book.on_run_started(5_000, &user("a"), run(2), &cores(16));
    book.advance(20_000);
    book.advance(40_000);
    book.on_run_finished(50_000, &run(2), UsageCharge::ThrownAway);
    book.advance(60_000);
    other.advance(60_000);
    assert_eq!(book.ranking().debt("a"), other.ranking().debt("a"));
}

#[test]
fn given_a_checkpoint_when_the_rest_is_thrown_away_then_the_user_pays_what_was_kept() {
    let (mut book, mut other) = (book(), book());
    book.on_run_started(0, &user("a"), run(1), &cores(4));
    other.on_run_started(0, &user("a"), run(1), &cores(4));
    book.on_run_finished(30_000, &run(1), UsageCharge::Kept(12_000));
    other.on_run_finished(12_000, &run(1), UsageCharge::Used);
    book.advance(30_000);
    other.advance(30_000);
    assert_eq!(book.ranking().debt("a"), other.ranking().debt("a"));
}

#[test]
fn given_events_told_twice_or_of_unknown_runs_when_taken_then_nothing_changes() {
    let mut book = book();
    book.on_run_finished(0, &run(9), UsageCharge::ThrownAway);
    book.on_run_started(0, &user("a"), run(1), &cores(1));
    book.on_run_started(0, &user("a"), run(1), &cores(1));
    book.on_run_started(0, &user("b"), run(1), &cores(1));
    assert_eq!(book.show(0, &user("a")).rate_millicores, 1_000);
    book.on_run_finished(1_000, &run(1), UsageCharge::Used);
    book.on_run_finished(9_000, &run(1), UsageCharge::ThrownAway);
    assert_eq!(book.show(9_000, &user("a")).rate_millicores, 0);
    assert!(book.show(9_000, &user("a")).present_core_ms > 800);
    assert_eq!(book.show(9_000, &user("b")).present_core_ms, 0);
}

#[test]
fn given_work_when_time_passes_then_versions_come_each_second_with_one_write_for_a_changed_user() {
    let mut book = book();
    book.on_run_started(0, &user("a"), run(1), &cores(1));
    book.on_run_started(0, &user("b"), run(2), &cores(2));
    let mut versions = Vec::new();
    for now in (0..=10_000).step_by(20) {
        let writes = book.advance(now);
        let keys: BTreeSet<_> = writes.iter().map(|write| write.key.clone()).collect();
        assert_eq!(keys.len(), writes.len(), "a key twice in {writes:?}");
        if !writes.is_empty() {
            assert_eq!(writes.len(), 3);
            versions.push((now, book.version().number));
        }
        assert!(book.age(now) < 1_000 + 20);
    }
    assert_eq!(
        versions,
        (1..=10).map(|n| (n * 1_000, n)).collect::<Vec<_>>()
    );
}

#[test]
fn given_nothing_owed_when_time_passes_then_nothing_is_written() {
    let mut book = book();
    assert!((0..100_000)
        .step_by(100)
        .all(|now| book.advance(now).is_empty()));
}

#[test]
fn given_debts_but_no_work_when_time_passes_then_versions_stay_young_and_users_fade_out() {
    let mut book = book();
    let mut state = State::new();
    book.on_run_started(0, &user("a"), run(1), &cores(1));
    book.on_run_finished(10_000, &run(1), UsageCharge::Used);
    for now in (10_000..13 * HALF_LIFE).step_by(100) {
        apply(&mut state, book.advance(now));
        assert!(
            state.is_empty()
                || !state.contains_key("debt/a")
                || book.age(now) <= settings().most_age_ms
        );
    }
    assert!(!state.contains_key("debt/a"), "faded: {state:?}");
    assert_eq!(book.users().count(), 0);
}

#[test]
fn given_small_uses_when_they_come_again_and_again_then_they_add_up() {
    let mut book = book();
    for number in 0..30 {
        let now = number * 1_000;
        book.on_run_started(now, &user("a"), run(number), &cores(1));
        book.on_run_finished(now + 100, &run(number), UsageCharge::Used);
        book.advance(now + 999);
    }
    book.advance(31_000);
    let debt = book.ranking().debt("a");
    assert!(
        debt > 2_000 && debt < 3_000,
        "a tenth of a core for 30 s: {debt}"
    );
}

#[test]
fn given_a_new_primary_when_it_recovers_then_debts_time_and_versions_go_on() {
    let mut state = State::new();
    let mut book = book();
    book.on_run_started(0, &user("a"), run(1), &cores(3));
    (0..=20_000)
        .step_by(1_000)
        .for_each(|now| apply(&mut state, book.advance(now)));
    let before = (
        book.ranking().debt("a"),
        book.version(),
        book.agreed_time(20_000),
    );
    // Another machine: its steady clock began at another time.
    let mut next = FairShareAccounts::recover(settings(), 2, 777_000_000, records(&state));
    assert_eq!(
        (
            next.ranking().debt("a"),
            next.version(),
            next.agreed_time(777_000_000)
        ),
        before
    );
    next.on_run_started(777_000_000, &user("a"), run(1), &cores(3));
    let writes = next.advance(777_005_000);
    assert!(!writes.is_empty());
    assert_eq!(
        next.version(),
        RankingVersion {
            epoch: 2,
            number: before.1.number + 1
        }
    );
    assert_eq!(next.agreed_time(777_005_000), 25_000);
    let mut whole = FairShareAccounts::new(settings(), 1, 0);
    whole.on_run_started(0, &user("a"), run(1), &cores(3));
    whole.advance(25_000);
    assert_eq!(
        next.ranking().debt("a"),
        whole.ranking().debt("a"),
        "as if there had been one primary"
    );
}

#[test]
fn given_a_steady_time_told_late_when_taken_then_the_agreed_time_does_not_go_back() {
    let mut book = book();
    book.on_run_started(5_000, &user("a"), run(1), &cores(1));
    book.advance(9_000);
    let before = (book.agreed_time(9_000), book.version());
    assert!(book.advance(3_000).is_empty());
    book.on_run_finished(2_000, &run(1), UsageCharge::Used);
    assert_eq!((book.agreed_time(2_000), book.version()), before);
}

#[test]
fn given_damaged_records_when_recovered_then_only_those_users_begin_anew() {
    let mut state = State::new();
    let mut book = book();
    book.on_run_started(0, &user("a"), run(1), &cores(3));
    book.on_run_started(0, &user("b/c"), run(2), &cores(3));
    apply(&mut state, book.advance(70_000));
    state.insert("debt/a".into(), "{".into());
    state.insert("job/x".into(), "[1]".into());
    let next = FairShareAccounts::recover(settings(), 2, 5, records(&state));
    assert_eq!(next.damaged(), [user("a")]);
    assert_eq!(next.ranking().debt("a"), 0);
    assert_eq!(next.ranking().debt("b/c"), book.ranking().debt("b/c"));
    // Without the version's record the time is known to a half-life, by what was used.
    state.insert("debt-version".into(), "7".into());
    let next = FairShareAccounts::recover(settings(), 3, 5, records(&state));
    assert_eq!(next.agreed_time(5), HALF_LIFE);
    assert!(next.ranking().debt("b/c") > 0);
}

#[test]
fn given_another_half_life_when_recovered_then_debts_read_the_same_and_are_written_anew() {
    let mut state = State::new();
    let mut book = book();
    book.on_run_started(0, &user("a"), run(1), &cores(3));
    apply(&mut state, book.advance(71_234));
    let mut next = FairShareAccounts::recover(
        FairShareSettings::with_half_life(3 * HALF_LIFE),
        2,
        0,
        records(&state),
    );
    let (found, wanted) = (next.ranking().debt("a"), book.ranking().debt("a"));
    assert!(found.abs_diff(wanted) <= 1, "{found}, before {wanted}");
    let writes = next.advance(1_000);
    assert!(
        writes.iter().any(|write| &*write.key == "debt/a"),
        "{writes:?}"
    );
}

#[test]
fn given_more_users_than_may_be_kept_when_a_version_is_made_then_the_least_debts_go() {
    let mut book = FairShareAccounts::new(
        FairShareSettings {
            most_users: 100,
            ..settings()
        },
        1,
        0,
    );
    let mut state = State::new();
    for number in 0..150 {
        book.on_run_started(
            0,
            &user(&format!("u{number:03}")),
            run(number),
            &cores(number + 1),
        );
    }
    apply(&mut state, book.advance(10_000));
    assert_eq!(book.ranking().users(), 100);
    assert_eq!(state.len(), 101);
    assert!(state.contains_key("debt/u149") && !state.contains_key("debt/u049"));
}

#[test]
fn given_a_hundred_thousand_users_when_versions_are_made_then_the_state_stays_small() {
    let mut book = book();
    let mut state = State::new();
    for number in 0..100_000 {
        book.on_run_started(
            number / 100,
            &user(&format!("u{number}")),
            run(number),
            &cores(2),
        );
    }
    for number in 0..100_000 {
        book.on_run_finished(number / 100 + 2_000, &run(number), UsageCharge::Used);
    }
    apply(&mut state, book.advance(5_000));
    assert_eq!(state.len(), 100_001);
    let bytes: usize = state.values().map(|value| value.len()).sum();
    assert!(bytes < 100_000 * 30, "{bytes} bytes");
    (0..200).for_each(|n| apply(&mut state, book.advance(5_000 + 10 * HALF_LIFE + n * 1_000)));
    assert_eq!(state.len(), 1, "all have faded");
}

#[test]
fn given_queues_with_a_team_when_charged_then_the_team_is_the_user() {
    let mut settings = settings();
    settings
        .user_of_queue
        .insert("r-1".into(), "geology".into());
    assert_eq!(&*settings.user_of(&user("r-1")), "geology");
    assert_eq!(&*settings.user_of(&user("r-2")), "r-2");
}

#[rstest]
#[case::half_life(FairShareSettings { half_life_ms: 9_999, ..settings() }, "half_life_ms is 9999: give 10000 to 2592000000")]
#[case::versions(FairShareSettings { version_every_ms: 10, ..settings() }, "version_every_ms is 10: give 1000 to 60000")]
#[case::age(FairShareSettings { most_age_ms: 10, ..settings() }, "most_age_ms is 10: give 2000")]
#[case::users(FairShareSettings { most_users: 0, ..settings() }, "most_users is 0: give 1")]
#[case::half(FairShareSettings { half_delay_core_s: 0, ..settings() }, "half_delay_core_s is 0: give 1")]
fn given_a_setting_out_of_range_when_checked_then_the_remedy_is_named(
    #[case] settings: FairShareSettings,
    #[case] text: &str,
) {
    let error = settings.check().expect_err("out of range").to_string();
    assert!(error.contains(text), "{error}");
}

#[test]
fn given_a_weight_of_zero_when_checked_then_it_is_refused() {
    let mut settings = settings();
    assert_eq!(settings.check(), Ok(()));
    settings.weights.insert("a".into(), 0);
    assert_eq!(settings.check(), Err(SettingsError::Weight("a".into())));
}

#[test]
fn given_settings_never_checked_when_used_then_nothing_panics() {
    let wild = FairShareSettings {
        half_life_ms: 0,
        gpu_millicores: u64::MAX,
        gb_millicores: u64::MAX,
        most_delay_ms: u64::MAX,
        half_delay_core_s: u64::MAX,
        largest_rate_cores: u64::MAX,
        ..settings()
    };
    let all = Resources {
        cpu: u64::MAX,
        mem_mb: u64::MAX,
        gpu: u64::MAX,
    };
    let mut book = FairShareAccounts::new(wild.clone(), u64::MAX, u64::MAX);
    book.on_run_started(u64::MAX, &user("a"), run(1), &all);
    book.advance(u64::MAX);
    let mut book = FairShareAccounts::new(wild.clone(), 1, 0);
    book.on_run_started(0, &user("a"), run(1), &all);
    book.advance(u64::MAX);
    book.on_run_finished(u64::MAX, &run(1), UsageCharge::Kept(u64::MAX));
    let _ = book.order_key("a", u32::MAX, u64::MAX);
    let _ = streamusher_fair_share::bounds::largest_inversion_ms(&wild, u64::MAX);
}

#[test]
fn given_a_user_that_always_works_when_written_then_its_record_stays_small() {
    let mut book = book();
    let mut state = State::new();
    book.on_run_started(0, &user("a"), run(1), &cores(100));
    for now in (0..40 * HALF_LIFE).step_by(1_000) {
        apply(&mut state, book.advance(now));
    }
    let bytes = state["debt/a"].len();
    println!("{bytes} bytes");
    assert!(bytes < 400, "{bytes} bytes: {}", state["debt/a"]);
}
