//! Relay tree computed from a membership: its shape, and that all processes compute the same one.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use rstest::rstest;
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_configuration::relay::{RelayMembership, RelayPeer, RelayTree, FAN_OUT};
use support::TestRng;

fn membership(size: usize) -> RelayMembership {
    RelayMembership {
        version: 1,
        members: (0..size)
            .map(|index| format!("10.0.{index}.1:7381").into())
            .collect(),
    }
}

fn parents(tree: &RelayTree, members: &[Arc<str>]) -> BTreeMap<Arc<str>, RelayPeer> {
    let mut parents = BTreeMap::new();
    let root = tree
        .children_of_root()
        .into_iter()
        .map(|child| (child, RelayPeer::Primary));
    let others = members.iter().flat_map(|parent| {
        tree.children(parent)
            .into_iter()
            .map(move |child| (child, RelayPeer::Member(parent.clone())))
    });
    for (child, parent) in root.chain(others) {
        assert!(
            parents.insert(child.clone(), parent).is_none(),
            "{child} has two parents"
        );
    }
    parents
}

#[rstest]
#[case(0, 0)]
#[case(1, 1)]
#[case(5, 1)]
#[case(8, 1)]
#[case(9, 2)]
#[case(72, 2)]
#[case(73, 3)]
#[case(584, 3)]
#[case(1_000, 4)]
#[case(4_680, 4)]
#[case(4_681, 5)]
fn each_member_has_one_parent_and_depth_is_least(#[case] size: usize, #[case] depth: usize) {
    let membership = membership(size);
    let tree = RelayTree::new(&membership);
    let parents = parents(&tree, &membership.members);
    assert_eq!(parents.len(), size);
    for member in &membership.members {
        let ancestors = tree.ancestors(member);
        assert_eq!(ancestors[0], parents[member]);
        assert_eq!(ancestors.last(), Some(&RelayPeer::Primary));
        assert!(tree.children(member).len() <= FAN_OUT);
        for pair in ancestors.windows(2) {
            let RelayPeer::Member(nearer) = &pair[0] else {
                panic!("only the last ancestor is the primary")
            };
            assert_eq!(parents[nearer], pair[1]);
        }
    }
    let deepest = membership
        .members
        .iter()
        .map(|member| tree.ancestors(member).len())
        .max();
    assert_eq!(deepest.unwrap_or(0), depth);
}

#[test]
fn tree_does_not_depend_on_order_or_duplicates() {
    let ordered = membership(100);
    let mut shuffled = ordered.clone();
    shuffled.members.extend(ordered.members[..20].to_vec());
    let mut rng = TestRng(1);
    for index in 0..shuffled.members.len() {
        let other = rng.index(shuffled.members.len());
        shuffled.members.swap(index, other);
    }
    let (one, other) = (RelayTree::new(&ordered), RelayTree::new(&shuffled));
    for member in &ordered.members {
        assert_eq!(one.ancestors(member), other.ancestors(member));
        assert_eq!(one.children(member), other.children(member));
    }
}

#[test]
fn process_outside_the_membership_has_the_ancestors_it_would_have_as_member() {
    let without = membership(100);
    let mut with = without.clone();
    with.members.push("10.9.9.9:7381".into());
    let tree = RelayTree::new(&without);
    assert_eq!(
        tree.ancestors("10.9.9.9:7381"),
        RelayTree::new(&with).ancestors("10.9.9.9:7381")
    );
    assert!(tree.children("10.9.9.9:7381").is_empty());
    assert_eq!(
        RelayTree::default().ancestors("10.9.9.9:7381"),
        [RelayPeer::Primary]
    );
}

/// Processes of different releases must compute the same order. The expected order was computed by a separate
/// implementation of the hash, in Python.
#[test]
fn order_of_members_is_that_of_all_releases() {
    let tree = RelayTree::new(&membership(12));
    let first: Vec<String> = tree
        .children_of_root()
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        first,
        [
            "10.0.11.1:7381",
            "10.0.4.1:7381",
            "10.0.1.1:7381",
            "10.0.7.1:7381",
            "10.0.10.1:7381",
            "10.0.6.1:7381",
            "10.0.8.1:7381",
            "10.0.2.1:7381",
        ]
    );
}

/// Two members with different memberships must never be each other's ancestors, or their requests could form
/// a cycle.
#[test]
fn ancestry_is_never_reversed_between_memberships() {
    let all = membership(60).members;
    let mut above = std::collections::BTreeSet::new();
    for seed in 0..200 {
        let mut rng = TestRng(seed);
        let share = 20 + rng.below(80);
        let members = all
            .iter()
            .filter(|_| rng.below(100) < share)
            .cloned()
            .collect();
        let tree = RelayTree::new(&RelayMembership {
            version: seed,
            members,
        });
        for member in &all {
            for ancestor in tree.ancestors(member) {
                if let RelayPeer::Member(ancestor) = ancestor {
                    above.insert((ancestor, member.clone()));
                }
            }
        }
    }
    let reversed = above
        .iter()
        .find(|(one, other)| above.contains(&(other.clone(), one.clone())));
    assert_eq!(reversed, None);
}
