//! Updates on their way down the relay tree in virtual time, while members die, freeze, are cut off or hear of rosters late.

mod support;

use rstest::rstest;
use std::sync::Arc;
use streamusher_configuration::relay::{RelayPeer, Tree};
use support::fleet::{settled, Fleet, APPLY_BOUND, DELAY};

#[rstest]
#[case(5)]
#[case(20)]
#[case(100)]
#[case(300)]
#[case(1_000)]
fn given_a_third_of_the_inner_members_die_around_an_update_when_published_then_all_others_have_it_in_2_s(
    #[case] size: usize,
) {
    let mut slowest = 0;
    let seeds = (900 / size).clamp(2, 30) as u64;
    for seed in 0..seeds {
        let mut fleet = settled(size, seed, 3);
        let inner = fleet.inner();
        let third = inner.len().div_ceil(3);
        let lost = fleet.draw(inner, third);
        // Half of them die before the update is published, the others while it is on its way.
        let (before, during) = lost.split_at(third / 2 + (seed % 2) as usize * (third % 2));
        let lead = fleet.numbers.below(700);
        before.iter().for_each(|member| fleet.kill(member));
        fleet.run_for(lead);
        fleet.take_account();
        let start = fleet.now;
        fleet.update(2);
        for member in during {
            let step = fleet.numbers.below(4);
            fleet.run_for(step);
            fleet.kill(member);
        }
        fleet.run_until(start + APPLY_BOUND);
        assert_eq!(fleet.without(2), [] as [Arc<str>; 0], "seed {seed}");
        slowest = slowest.max(fleet.last_applied(2) - start);
        if seed == 0 {
            println!(
                "{size} members, {third} lost, in 2 s: {:?}",
                fleet.take_account()
            );
        }
        // Adopted members stay served: the next update is as fast as in calm.
        let start = fleet.now;
        fleet.update(3);
        fleet.run_until(start + APPLY_BOUND);
        assert_eq!(fleet.without(3), [] as [Arc<str>; 0], "seed {seed}");
    }
    println!("{size} members, {seeds} seeds: slowest {slowest} ms");
}

#[test]
fn given_a_whole_line_of_ancestors_dies_when_an_update_is_published_then_the_last_one_still_has_it_in_2_s(
) {
    for seed in 0..10 {
        let mut fleet = settled(600, seed, 3);
        let tree = Tree::new(&fleet.roster);
        let deepest = fleet
            .roster
            .members
            .iter()
            .max_by_key(|member| tree.ancestors(member).len())
            .cloned();
        for ancestor in tree.ancestors(&deepest.expect("a member")) {
            if let RelayPeer::Member(address) = ancestor {
                fleet.kill(&address);
            }
        }
        let start = fleet.now;
        fleet.update(2);
        fleet.run_until(start + APPLY_BOUND);
        assert_eq!(fleet.without(2), [] as [Arc<str>; 0], "seed {seed}");
    }
}

#[rstest]
#[case(20)]
#[case(200)]
fn given_cut_members_when_healed_then_they_catch_up_in_2_s_and_with_changes_where_these_suffice(
    #[case] size: usize,
) {
    for seed in 0..(200 / size as u64) {
        let mut fleet = settled(size, seed, 40);
        let members = fleet.roster.members.clone();
        let cut = fleet.draw(members, size / 4);
        fleet.cut.extend(cut.iter().cloned());
        fleet.update(2);
        fleet.run_for(2_500);
        fleet.update(4);
        fleet.run_for(2_500);
        let mut lacking = fleet.without(4);
        lacking.sort();
        let mut expected = cut.clone();
        expected.sort();
        assert_eq!(
            lacking, expected,
            "seed {seed}: all others have it, and none of the cut ones can"
        );
        fleet.cut.clear();
        fleet.take_account();
        fleet.run_for(APPLY_BOUND);
        assert_eq!(fleet.without(4), [] as [Arc<str>; 0], "seed {seed}");
        let whole = fleet.history[&4].get().len() as u64;
        let account = fleet.take_account();
        assert!(
            account.updates.bytes < whole * cut.len() as u64 / 2,
            "seed {seed}: {account:?}, whole {whole}"
        );
    }
}

#[test]
fn given_messages_lost_repeated_and_out_of_order_when_versions_rise_then_none_goes_back_and_all_arrive(
) {
    for seed in 0..12 {
        let mut fleet = settled(60, seed, 3);
        (fleet.loss, fleet.repeats, fleet.jitter) = (150, 200, 120);
        let mut version = 1;
        for _ in 0..40 {
            version += 1 + fleet.numbers.below(3);
            if fleet.numbers.below(4) == 0 {
                fleet.replace(version, 3);
            } else {
                fleet.update(version);
            }
            let pause = fleet.numbers.below(300);
            fleet.run_for(pause);
        }
        fleet.run_for(4_000);
        assert_eq!(fleet.without(version), [] as [Arc<str>; 0], "seed {seed}");
    }
}

#[test]
fn given_random_troubles_when_they_end_then_all_live_members_have_the_newest_version_and_none_went_back(
) {
    for seed in 0..16 {
        let size = 10 + 17 * (seed as usize % 8);
        let mut fleet = settled(size, seed, 3);
        fleet.roster_delay = 800;
        let mut version = 1;
        for _ in 0..25 {
            trouble(&mut fleet);
            version += 1;
            fleet.update(version);
            let pause = fleet.numbers.below(900);
            fleet.run_for(pause);
        }
        fleet.cut.clear();
        let unfrozen = fleet
            .members
            .values()
            .map(|member| member.frozen_until)
            .max()
            .unwrap_or(0);
        fleet.run_until(unfrozen.max(fleet.now));
        fleet.run_for(APPLY_BOUND);
        assert_eq!(fleet.without(version), [] as [Arc<str>; 0], "seed {seed}");
    }
}

/// Something happens to a random member.
fn trouble(fleet: &mut Fleet) {
    let all: Vec<Arc<str>> = fleet.members.keys().cloned().collect();
    let member = fleet.numbers.one_of(&all).clone();
    match fleet.numbers.below(7) {
        0 => fleet.kill(&member),
        1 => fleet.start(&member),
        2 => drop(fleet.cut.insert(member)),
        3 => fleet.cut.clear(),
        4 => {
            let until = fleet.now + fleet.numbers.below(3_000);
            fleet.freeze(&member, until);
        }
        5 => {
            let live = fleet.members.iter().filter(|(_, member)| member.alive);
            let live = live.map(|(address, _)| address.clone()).collect();
            fleet.set_roster(live);
        }
        _ => {
            let epoch = fleet.roots.len() as u64;
            let former = fleet.acting;
            fleet.cut_roots.insert(former);
            fleet.fail_over(epoch);
        }
    }
}

#[test]
fn given_rosters_that_arrive_at_different_times_when_an_update_is_published_then_all_have_it_in_2_s(
) {
    for seed in 0..3 {
        let mut fleet = settled(200, seed, 3);
        fleet.roster_delay = 3_000;
        let members = fleet.roster.members.clone();
        let kept = fleet.draw(members, 150);
        let added: Vec<Arc<str>> = (0..40)
            .map(|index| format!("10.250.0.{index}:7381").into())
            .collect();
        fleet.set_roster(kept.into_iter().chain(added.clone()).collect());
        for member in &added {
            fleet.start(member);
        }
        for version in 2..10 {
            let start = fleet.now;
            fleet.update(version);
            fleet.run_until(start + APPLY_BOUND);
            assert_eq!(
                fleet.without(version),
                [] as [Arc<str>; 0],
                "seed {seed}, version {version}"
            );
        }
    }
}

#[test]
fn given_a_parent_that_is_cut_off_from_above_only_when_an_update_is_published_then_its_children_have_it_in_2_s(
) {
    let mut fleet = settled(100, 9, 3);
    let tree = Tree::new(&fleet.roster);
    let parent = tree.children_of_root()[0].clone();
    let children = tree.children(&parent);
    assert!(!children.is_empty());
    for other in fleet
        .members
        .keys()
        .filter(|other| !children.contains(other))
    {
        fleet.cut_pairs.insert((
            RelayPeer::Member(parent.clone()),
            RelayPeer::Member(other.clone()),
        ));
    }
    fleet
        .cut_pairs
        .insert((RelayPeer::Member(parent.clone()), RelayPeer::Core));
    let start = fleet.now;
    fleet.update(2);
    fleet.run_until(start + APPLY_BOUND);
    assert_eq!(fleet.without(2), std::slice::from_ref(&parent));
    // Once they are adopted they stay so, though their parent goes on sending heartbeats.
    for version in 3..33 {
        fleet.update(version);
        fleet.run_for(100);
        assert_eq!(fleet.without(version), std::slice::from_ref(&parent));
        fleet.run_for(200);
    }
}

#[test]
fn given_a_frozen_member_when_it_wakes_then_it_asks_at_once() {
    let mut fleet = settled(100, 11, 3);
    let member = fleet.inner()[0].clone();
    let until = fleet.now + 5_000;
    fleet.freeze(&member, until);
    // What waits at it is lost, as after a reset of its connections.
    fleet.cut.insert(member.clone());
    fleet.update(2);
    fleet.run_until(until - 1);
    fleet.cut.clear();
    assert_eq!(fleet.without(2), [member]);
    fleet.run_until(until + 3 * DELAY);
    assert_eq!(fleet.without(2), [] as [Arc<str>; 0]);
}

#[test]
fn given_a_new_primary_when_the_former_one_still_talks_then_members_follow_the_new_one() {
    for seed in 0..10 {
        let mut fleet = settled(100, seed, 3);
        fleet.fail_over(1);
        fleet.run_for(300);
        fleet.update(2);
        fleet.run_for(APPLY_BOUND);
        assert_eq!(fleet.without(2), [] as [Arc<str>; 0], "seed {seed}");
        // Whatever the former one says is older.
        fleet.run_for(5_000);
        assert_eq!(fleet.without(2), [] as [Arc<str>; 0], "seed {seed}");
    }
}

#[test]
fn given_no_primary_for_a_while_when_there_is_one_again_then_all_follow_and_the_questions_meanwhile_were_few(
) {
    let mut fleet = settled(1_000, 12, 3);
    fleet.cut_roots.insert(0);
    fleet.run_for(10_000);
    let questions = fleet.take_account().questions.messages;
    assert!(
        questions < 1_000 * 10 * 3,
        "{questions} questions of 1,000 members in 10 s"
    );
    println!("1,000 members without a root for 10 s: {questions} questions");
    fleet.fail_over(1);
    let start = fleet.now;
    fleet.update(2);
    fleet.run_until(start + APPLY_BOUND);
    assert_eq!(fleet.without(2), [] as [Arc<str>; 0]);
}
