//! Tests of versions sent between nodes: lost, late, repeated or relative to another base; and of their ages.
#![allow(clippy::expect_used, reason = "a test fails by panicking")]

mod support;

use streamusher_fair_share::UpdateOutcome;
use streamusher_fair_share::{
    FairShareAccounts, FairShareSettings, RankingReplica, RankingVersion,
};
use support::{apply, cores, records, run, user, State};

const HALF_LIFE: u64 = 60_000;

fn settings() -> FairShareSettings {
    FairShareSettings::with_half_life(HALF_LIFE)
}

/// Creates accounts at their first version, created at 1 s.
fn accounts_with_version() -> FairShareAccounts {
    let mut accounts = FairShareAccounts::new(settings(), 1, 0);
    accounts.on_run_started(0, &user("a"), run(1), &cores(3));
    accounts.on_run_started(0, &user("b"), run(2), &cores(1));
    accounts.publish_if_due(1_000);
    accounts
}

#[test]
fn replica_without_a_version_is_stale_and_empty() {
    let replica = RankingReplica::new(settings());
    assert!(replica.is_stale(0));
    assert!(
        replica.ranking().is_none()
            && replica.version().is_none()
            && replica.update_since(0, None).is_none()
    );
}

#[test]
fn replica_ranks_as_the_primary_after_an_update() {
    let mut accounts = accounts_with_version();
    let mut replica = RankingReplica::new(settings());
    assert_eq!(
        replica.apply(500, &accounts.update_since(1_000, None)),
        UpdateOutcome::Applied
    );
    for now in [2_000, 3_000, 9_000] {
        accounts.publish_if_due(now);
        let update = accounts.update_since(now, replica.version());
        assert!(
            update.base.is_some(),
            "the update should be a difference, not the complete version"
        );
        assert_eq!(replica.apply(now, &update), UpdateOutcome::Applied);
        let ranking = replica.ranking().expect("a version");
        assert_eq!(ranking.version(), accounts.version());
        for user in ["a", "b", "c"] {
            assert_eq!(
                ranking.order_key(user, 1, 7),
                accounts.order_key(user, 1, 7)
            );
        }
    }
}

#[test]
fn difference_from_another_version_is_not_applied() {
    let mut accounts = accounts_with_version();
    let mut replica = RankingReplica::new(settings());
    replica.apply(0, &accounts.update_since(1_000, None));
    accounts.publish_if_due(2_000);
    let held_by_another = Some(accounts.version());
    accounts.publish_if_due(3_000);
    let difference = accounts.update_since(3_000, held_by_another);
    let before = replica.version();
    assert_eq!(replica.apply(0, &difference), UpdateOutcome::UnknownBase);
    assert_eq!(replica.version(), before);
}

#[test]
fn late_older_version_is_not_applied() {
    let mut accounts = accounts_with_version();
    let mut replica = RankingReplica::new(settings());
    let late = accounts.update_since(1_000, None);
    accounts.publish_if_due(2_000);
    replica.apply(0, &accounts.update_since(2_000, None));
    assert_eq!(replica.apply(0, &late), UpdateOutcome::Outdated);
    assert_eq!(
        replica.version(),
        Some(RankingVersion {
            epoch: 1,
            number: 2
        })
    );
}

#[test]
fn version_of_a_later_epoch_is_newer_whatever_its_number() {
    let mut state = State::new();
    let mut accounts = FairShareAccounts::new(settings(), 1, 0);
    accounts.on_run_started(0, &user("a"), run(1), &cores(3));
    apply(&mut state, accounts.publish_if_due(1_000));
    let mut successor = FairShareAccounts::recover(settings(), 2, 0, records(&state));
    // The deposed primary continues on its own, and none of its versions are committed.
    (2..9).for_each(|second| drop(accounts.publish_if_due(second * 1_000)));
    successor.on_run_started(0, &user("b"), run(2), &cores(3));
    successor.publish_if_due(1_000);
    let mut replica = RankingReplica::new(settings());
    replica.apply(0, &accounts.update_since(9_000, None));
    assert_eq!(
        replica.apply(0, &successor.update_since(1_000, replica.version())),
        UpdateOutcome::Applied
    );
    assert_eq!(
        replica.version(),
        Some(RankingVersion {
            epoch: 2,
            number: 2
        })
    );
    assert_eq!(
        replica.apply(0, &accounts.update_since(9_000, replica.version())),
        UpdateOutcome::Outdated
    );
}

#[test]
fn age_counts_from_the_request_and_makes_the_replica_stale() {
    let mut accounts = accounts_with_version();
    accounts.publish_if_due(2_000);
    let mut replica = RankingReplica::new(settings());
    // Requested at 10,000 ms of the replica's clock, answered at an age of 400 ms, and received at any later
    // time.
    replica.apply(10_000, &accounts.update_since(2_400, None));
    assert_eq!(replica.age_ms(10_000), 400);
    assert!(replica.age_ms(12_000) >= 2_400 && replica.age_ms(12_000) < 2_500);
    assert!(!replica.is_stale(12_000) && replica.is_stale(15_000));
    assert!(
        replica.ranking().is_some(),
        "a stale replica continues to rank by its last version"
    );
    // The same version from a node with a looser age bound, and then with a tighter one.
    replica.apply(
        11_000,
        &streamusher_fair_share::RankingUpdate {
            age_ms: 9_000,
            ..accounts.update_since(2_400, None)
        },
    );
    assert!(replica.age_ms(12_000) < 2_500);
    replica.apply(11_900, &accounts.update_since(2_400, None));
    assert!(replica.age_ms(12_000) < 600);
}

#[test]
fn relayed_age_includes_the_age_at_the_relay() {
    let mut accounts = accounts_with_version();
    accounts.publish_if_due(2_000);
    let (mut relay, mut node) = (
        RankingReplica::new(settings()),
        RankingReplica::new(settings()),
    );
    relay.apply(50_000, &accounts.update_since(2_100, None));
    node.apply(0, &relay.update_since(50_700, None).expect("an update"));
    assert!(node.age_ms(0) >= 800);
    assert_eq!(
        node.ranking().expect("a version").usage_core_ms("a"),
        accounts.ranking().usage_core_ms("a")
    );
}

#[test]
fn replica_far_behind_is_sent_the_complete_version() {
    let mut accounts = accounts_with_version();
    let mut replica = RankingReplica::new(settings());
    replica.apply(0, &accounts.update_since(1_000, None));
    (2..60).for_each(|second| drop(accounts.publish_if_due(second * 1_000)));
    let update = accounts.update_since(60_000, replica.version());
    assert_eq!(update.base, None);
    assert_eq!(replica.apply(0, &update), UpdateOutcome::Applied);
    assert_eq!(
        replica.ranking().expect("a version").usage_core_ms("b"),
        accounts.ranking().usage_core_ms("b")
    );
}

#[test]
fn update_is_unchanged_by_encoding() {
    let accounts = accounts_with_version();
    let update = accounts.update_since(1_234, None);
    let text = serde_json::to_string(&update).expect("text");
    assert_eq!(
        serde_json::from_str::<streamusher_fair_share::RankingUpdate>(&text).expect("an update"),
        update
    );
}
