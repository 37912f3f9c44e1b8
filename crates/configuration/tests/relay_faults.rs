//! Distribution of updates through the relay tree in virtual time, while members crash, freeze, are
//! partitioned or receive memberships late.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use rstest::rstest;
use std::sync::Arc;
use streamusher_configuration::relay::{RelayPeer, RelayTree};
use support::fleet::{settled_fleet, Fleet, APPLY_BOUND, DELAY};

#[rstest]
#[case(5)]
#[case(20)]
#[case(100)]
#[case(300)]
#[case(1_000)]
fn update_reaches_all_in_2_s_when_a_third_of_inner_members_die(#[case] size: usize) {
    let mut slowest = 0;
    let seeds = (900 / size).clamp(2, 30) as u64;
    for seed in 0..seeds {
        let mut fleet = settled_fleet(size, seed, 3);
        let inner = fleet.inner_members();
        let third = inner.len().div_ceil(3);
        let killed = fleet.choose_random(inner, third);
        // Half of the killed members crash before the update is published, the others while it is being
        // distributed.
        let (before, during) = killed.split_at(third / 2 + (seed % 2) as usize * (third % 2));
        let lead_time = fleet.rng.below(700);
        for member in before {
            fleet.kill(member);
        }
        fleet.run_for(lead_time);
        fleet.take_traffic();
        let start = fleet.now;
        fleet.update(2);
        for member in during {
            let step = fleet.rng.below(4);
            fleet.run_for(step);
            fleet.kill(member);
        }
        fleet.run_until(start + APPLY_BOUND);
        assert_eq!(fleet.lagging_members(2), [] as [Arc<str>; 0], "seed {seed}");
        slowest = slowest.max(fleet.last_applied(2) - start);
        if seed == 0 {
            println!(
                "{size} members, {third} lost, in 2 s: {:?}",
                fleet.take_traffic()
            );
        }
        // Orphaned members remain temporary children: they must receive the next update within the same
        // bound.
        let start = fleet.now;
        fleet.update(3);
        fleet.run_until(start + APPLY_BOUND);
        assert_eq!(fleet.lagging_members(3), [] as [Arc<str>; 0], "seed {seed}");
    }
    println!("{size} members, {seeds} seeds: slowest {slowest} ms");
}

#[test]
fn update_reaches_member_in_2_s_when_all_its_ancestors_die() {
    for seed in 0..10 {
        let mut fleet = settled_fleet(600, seed, 3);
        let tree = RelayTree::new(&fleet.membership);
        let deepest = fleet
            .membership
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
        assert_eq!(fleet.lagging_members(2), [] as [Arc<str>; 0], "seed {seed}");
    }
}

#[rstest]
#[case(20)]
#[case(200)]
fn partitioned_members_catch_up_in_2_s_with_deltas_where_these_suffice(#[case] size: usize) {
    for seed in 0..(200 / size as u64) {
        let mut fleet = settled_fleet(size, seed, 40);
        let members = fleet.membership.members.clone();
        let partitioned = fleet.choose_random(members, size / 4);
        fleet.partitioned.extend(partitioned.iter().cloned());
        fleet.update(2);
        fleet.run_for(2_500);
        fleet.update(4);
        fleet.run_for(2_500);
        let mut lagging = fleet.lagging_members(4);
        lagging.sort();
        let mut expected = partitioned.clone();
        expected.sort();
        assert_eq!(
            lagging, expected,
            "seed {seed}: exactly the partitioned members lack the version"
        );
        fleet.partitioned.clear();
        fleet.take_traffic();
        fleet.run_for(APPLY_BOUND);
        assert_eq!(fleet.lagging_members(4), [] as [Arc<str>; 0], "seed {seed}");
        let snapshot_bytes = fleet.texts[&4].get().len() as u64;
        let traffic = fleet.take_traffic();
        assert!(
            traffic.updates.bytes < snapshot_bytes * partitioned.len() as u64 / 2,
            "seed {seed}: {traffic:?}, whole {snapshot_bytes}"
        );
    }
}

#[test]
fn versions_only_rise_and_arrive_under_loss_duplication_and_reordering() {
    for seed in 0..12 {
        let mut fleet = settled_fleet(60, seed, 3);
        (
            fleet.loss_permille,
            fleet.duplication_permille,
            fleet.max_jitter,
        ) = (150, 200, 120);
        let mut version = 1;
        for _ in 0..40 {
            version += 1 + fleet.rng.below(3);
            if fleet.rng.below(4) == 0 {
                fleet.replace(version, 3);
            } else {
                fleet.update(version);
            }
            let pause = fleet.rng.below(300);
            fleet.run_for(pause);
        }
        fleet.run_for(4_000);
        assert_eq!(
            fleet.lagging_members(version),
            [] as [Arc<str>; 0],
            "seed {seed}"
        );
    }
}

#[test]
fn all_live_members_have_the_newest_version_after_random_faults() {
    for seed in 0..16_u32 {
        let size = 10 + 17 * (seed as usize % 8);
        let seed = u64::from(seed);
        let mut fleet = settled_fleet(size, seed, 3);
        fleet.membership_delay = 800;
        let mut version = 1;
        for _ in 0..25 {
            inject_random_fault(&mut fleet);
            version += 1;
            fleet.update(version);
            let pause = fleet.rng.below(900);
            fleet.run_for(pause);
        }
        fleet.partitioned.clear();
        let unfrozen = fleet
            .members
            .values()
            .map(|member| member.frozen_until)
            .max()
            .unwrap_or(0);
        fleet.run_until(unfrozen.max(fleet.now));
        fleet.run_for(APPLY_BOUND);
        assert_eq!(
            fleet.lagging_members(version),
            [] as [Arc<str>; 0],
            "seed {seed}"
        );
    }
}

/// Injects a random fault: a crash, restart, partition, healing, freeze, membership change or failover.
fn inject_random_fault(fleet: &mut Fleet) {
    let all: Vec<Arc<str>> = fleet.members.keys().cloned().collect();
    let member = fleet.rng.one_of(&all).clone();
    match fleet.rng.below(7) {
        0 => fleet.kill(&member),
        1 => fleet.start(&member),
        2 => drop(fleet.partitioned.insert(member)),
        3 => fleet.partitioned.clear(),
        4 => {
            let until = fleet.now + fleet.rng.below(3_000);
            fleet.freeze(&member, until);
        }
        5 => {
            let live = fleet.members.iter().filter(|(_, member)| member.alive);
            let live = live.map(|(address, _)| address.clone()).collect();
            fleet.set_membership(live);
        }
        _ => {
            let epoch = fleet.roots.len() as u64;
            let former = fleet.acting_root;
            fleet.partitioned_roots.insert(former);
            fleet.fail_over(epoch);
        }
    }
}

#[test]
fn update_reaches_all_in_2_s_while_memberships_differ() {
    for seed in 0..3 {
        let mut fleet = settled_fleet(200, seed, 3);
        fleet.membership_delay = 3_000;
        let members = fleet.membership.members.clone();
        let kept = fleet.choose_random(members, 150);
        let added: Vec<Arc<str>> = (0..40)
            .map(|index| format!("10.250.0.{index}:7381").into())
            .collect();
        fleet.set_membership(kept.into_iter().chain(added.clone()).collect());
        for member in &added {
            fleet.start(member);
        }
        for version in 2..10 {
            let start = fleet.now;
            fleet.update(version);
            fleet.run_until(start + APPLY_BOUND);
            assert_eq!(
                fleet.lagging_members(version),
                [] as [Arc<str>; 0],
                "seed {seed}, version {version}"
            );
        }
    }
}

#[test]
fn update_reaches_children_in_2_s_when_their_parent_is_partitioned_from_above() {
    let mut fleet = settled_fleet(100, 9, 3);
    let tree = RelayTree::new(&fleet.membership);
    let parent = tree.children_of_root()[0].clone();
    let children = tree.children(&parent);
    assert!(!children.is_empty());
    for other in fleet
        .members
        .keys()
        .filter(|other| !children.contains(other))
    {
        fleet.partitioned_pairs.insert((
            RelayPeer::Member(parent.clone()),
            RelayPeer::Member(other.clone()),
        ));
    }
    fleet
        .partitioned_pairs
        .insert((RelayPeer::Member(parent.clone()), RelayPeer::Primary));
    let start = fleet.now;
    fleet.update(2);
    fleet.run_until(start + APPLY_BOUND);
    assert_eq!(fleet.lagging_members(2), std::slice::from_ref(&parent));
    // The children remain temporary children of other peers, although their own parent continues to send
    // heartbeats.
    for version in 3..33 {
        fleet.update(version);
        fleet.run_for(100);
        assert_eq!(
            fleet.lagging_members(version),
            std::slice::from_ref(&parent)
        );
        fleet.run_for(200);
    }
}

#[test]
fn frozen_member_sends_request_at_once_when_it_resumes() {
    let mut fleet = settled_fleet(100, 11, 3);
    let member = fleet.inner_members()[0].clone();
    let until = fleet.now + 5_000;
    fleet.freeze(&member, until);
    // Messages sent to the frozen member are lost, as after a reset of its connections.
    fleet.partitioned.insert(member.clone());
    fleet.update(2);
    fleet.run_until(until - 1);
    fleet.partitioned.clear();
    assert_eq!(fleet.lagging_members(2), [member]);
    fleet.run_until(until + 3 * DELAY);
    assert_eq!(fleet.lagging_members(2), [] as [Arc<str>; 0]);
}

#[test]
fn members_follow_new_primary_while_the_former_one_still_sends() {
    for seed in 0..10 {
        let mut fleet = settled_fleet(100, seed, 3);
        fleet.fail_over(1);
        fleet.run_for(300);
        fleet.update(2);
        fleet.run_for(APPLY_BOUND);
        assert_eq!(fleet.lagging_members(2), [] as [Arc<str>; 0], "seed {seed}");
        // The members must ignore the former primary, whose heartbeats have an older epoch.
        fleet.run_for(5_000);
        assert_eq!(fleet.lagging_members(2), [] as [Arc<str>; 0], "seed {seed}");
    }
}

#[test]
fn members_send_few_requests_without_primary_and_follow_the_next_one() {
    let mut fleet = settled_fleet(1_000, 12, 3);
    fleet.partitioned_roots.insert(0);
    fleet.run_for(10_000);
    let requests = fleet.take_traffic().requests.messages;
    assert!(
        requests < 1_000 * 10 * 3,
        "{requests} requests of 1,000 members in 10 s"
    );
    println!("1,000 members without a root for 10 s: {requests} requests");
    fleet.fail_over(1);
    let start = fleet.now;
    fleet.update(2);
    fleet.run_until(start + APPLY_BOUND);
    assert_eq!(fleet.lagging_members(2), [] as [Arc<str>; 0]);
}
