//! Versions told from node to node: lost, late, repeated, on another base; ages.

mod support;

use streamusher_fair_share::follower::Taken;
use streamusher_fair_share::{
    FairShareAccounts, FairShareSettings, RankingReplica, RankingVersion,
};
use support::*;

const HALF_LIFE: u64 = 60_000;

fn settings() -> FairShareSettings {
    FairShareSettings::with_half_life(HALF_LIFE)
}

/// A book at its first version, made at 1 s.
fn book() -> FairShareAccounts {
    let mut book = FairShareAccounts::new(settings(), 1, 0);
    book.on_run_started(0, &user("a"), run(1), &cores(3));
    book.on_run_started(0, &user("b"), run(2), &cores(1));
    book.advance(1_000);
    book
}

#[test]
fn given_a_node_that_heard_nothing_when_asked_then_it_says_so() {
    let follower = RankingReplica::new(settings());
    assert!(follower.is_stale(0));
    assert!(
        follower.ranking().is_none()
            && follower.held().is_none()
            && follower.update_since(0, None).is_none()
    );
}

#[test]
fn given_an_update_when_taken_then_the_node_ranks_as_the_primary_does() {
    let mut book = book();
    let mut follower = RankingReplica::new(settings());
    assert_eq!(
        follower.take(500, &book.update_since(1_000, None)),
        Taken::Yes
    );
    for now in [2_000, 3_000, 9_000] {
        book.advance(now);
        let update = book.update_since(now, follower.held());
        assert!(update.base.is_some(), "a difference is enough");
        assert_eq!(follower.take(now, &update), Taken::Yes);
        let ranking = follower.ranking().expect("a version");
        assert_eq!(ranking.version(), book.version());
        for user in ["a", "b", "c"] {
            assert_eq!(ranking.order_key(user, 1, 7), book.order_key(user, 1, 7));
        }
    }
}

#[test]
fn given_a_difference_from_another_version_when_taken_then_it_is_not_applied() {
    let mut book = book();
    let mut follower = RankingReplica::new(settings());
    follower.take(0, &book.update_since(1_000, None));
    book.advance(2_000);
    let held_by_another = Some(book.version());
    book.advance(3_000);
    let difference = book.update_since(3_000, held_by_another);
    let before = follower.held();
    assert_eq!(follower.take(0, &difference), Taken::OtherBase);
    assert_eq!(follower.held(), before);
}

#[test]
fn given_an_older_version_when_it_comes_late_then_the_newer_one_stays() {
    let mut book = book();
    let mut follower = RankingReplica::new(settings());
    let late = book.update_since(1_000, None);
    book.advance(2_000);
    follower.take(0, &book.update_since(2_000, None));
    assert_eq!(follower.take(0, &late), Taken::Old);
    assert_eq!(
        follower.held(),
        Some(RankingVersion {
            epoch: 1,
            number: 2
        })
    );
}

#[test]
fn given_a_later_primary_when_its_version_comes_then_it_wins_whatever_the_numbers() {
    let mut state = State::new();
    let mut book = FairShareAccounts::new(settings(), 1, 0);
    book.on_run_started(0, &user("a"), run(1), &cores(3));
    apply(&mut state, book.advance(1_000));
    let mut next = FairShareAccounts::recover(settings(), 2, 0, records(&state));
    // The deposed primary goes on alone; nothing of it is committed.
    (2..9).for_each(|second| drop(book.advance(second * 1_000)));
    next.on_run_started(0, &user("b"), run(2), &cores(3));
    next.advance(1_000);
    let mut follower = RankingReplica::new(settings());
    follower.take(0, &book.update_since(9_000, None));
    assert_eq!(
        follower.take(0, &next.update_since(1_000, follower.held())),
        Taken::Yes
    );
    assert_eq!(
        follower.held(),
        Some(RankingVersion {
            epoch: 2,
            number: 2
        })
    );
    assert_eq!(
        follower.take(0, &book.update_since(9_000, follower.held())),
        Taken::Old
    );
}

#[test]
fn given_silence_when_time_passes_then_the_age_counts_from_the_question_and_the_node_says_that_it_is_stale(
) {
    let mut book = book();
    book.advance(2_000);
    let mut follower = RankingReplica::new(settings());
    // Asked at 10,000 of its own clock; answered at an age of 400; came any time later.
    follower.take(10_000, &book.update_since(2_400, None));
    assert_eq!(follower.age(10_000), 400);
    assert!(follower.age(12_000) >= 2_400 && follower.age(12_000) < 2_500);
    assert!(!follower.is_stale(12_000) && follower.is_stale(15_000));
    assert!(follower.ranking().is_some(), "it ranks by the last version");
    // The same version, told by a node that knows its age less well, and one that knows it better.
    follower.take(
        11_000,
        &streamusher_fair_share::RankingUpdate {
            age_ms: 9_000,
            ..book.update_since(2_400, None)
        },
    );
    assert!(follower.age(12_000) < 2_500);
    follower.take(11_900, &book.update_since(2_400, None));
    assert!(follower.age(12_000) < 600);
}

#[test]
fn given_a_relay_when_it_tells_on_then_the_age_includes_its_own() {
    let mut book = book();
    book.advance(2_000);
    let (mut relay, mut node) = (
        RankingReplica::new(settings()),
        RankingReplica::new(settings()),
    );
    relay.take(50_000, &book.update_since(2_100, None));
    node.take(0, &relay.update_since(50_700, None).expect("an update"));
    assert!(node.age(0) >= 800);
    assert_eq!(
        node.ranking().expect("a version").debt("a"),
        book.ranking().debt("a")
    );
}

#[test]
fn given_a_node_that_lost_many_versions_when_it_asks_then_it_is_told_the_whole() {
    let mut book = book();
    let mut follower = RankingReplica::new(settings());
    follower.take(0, &book.update_since(1_000, None));
    (2..60).for_each(|second| drop(book.advance(second * 1_000)));
    let update = book.update_since(60_000, follower.held());
    assert_eq!(update.base, None);
    assert_eq!(follower.take(0, &update), Taken::Yes);
    assert_eq!(
        follower.ranking().expect("a version").debt("b"),
        book.ranking().debt("b")
    );
}

#[test]
fn given_an_update_when_it_crosses_the_wire_then_it_stays_the_same() {
    let book = book();
    let update = book.update_since(1_234, None);
    let text = serde_json::to_string(&update).expect("text");
    assert_eq!(
        serde_json::from_str::<streamusher_fair_share::RankingUpdate>(&text).expect("an update"),
        update
    );
}
