//! The tree that all compute alike from the same roster.

mod support;

use rstest::rstest;
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_configuration::relay::{RelayMembership, RelayPeer, Tree, FAN_OUT};
use support::Numbers;

fn roster(size: usize) -> RelayMembership {
    RelayMembership {
        version: 1,
        members: (0..size)
            .map(|index| format!("10.0.{index}.1:7381").into())
            .collect(),
    }
}

fn parents(tree: &Tree, members: &[Arc<str>]) -> BTreeMap<Arc<str>, RelayPeer> {
    let mut parents = BTreeMap::new();
    let root = tree
        .children_of_root()
        .into_iter()
        .map(|child| (child, RelayPeer::Core));
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
fn given_a_roster_when_the_tree_is_made_then_each_has_one_parent_and_the_depth_is_least(
    #[case] size: usize,
    #[case] depth: usize,
) {
    let roster = roster(size);
    let tree = Tree::new(&roster);
    let parents = parents(&tree, &roster.members);
    assert_eq!(parents.len(), size);
    for member in &roster.members {
        let ancestors = tree.ancestors(member);
        assert_eq!(ancestors[0], parents[member]);
        assert_eq!(ancestors.last(), Some(&RelayPeer::Core));
        assert!(tree.children(member).len() <= FAN_OUT);
        for pair in ancestors.windows(2) {
            let RelayPeer::Member(nearer) = &pair[0] else {
                panic!("the core is the last")
            };
            assert_eq!(parents[nearer], pair[1]);
        }
    }
    let deepest = roster
        .members
        .iter()
        .map(|member| tree.ancestors(member).len())
        .max();
    assert_eq!(deepest.unwrap_or(0), depth);
}

#[test]
fn given_the_same_members_in_another_order_or_twice_when_the_tree_is_made_then_it_is_the_same() {
    let straight = roster(100);
    let mut mixed = straight.clone();
    mixed.members.extend(straight.members[..20].to_vec());
    let mut numbers = Numbers(1);
    for index in 0..mixed.members.len() {
        let other = numbers.below(mixed.members.len() as u64) as usize;
        mixed.members.swap(index, other);
    }
    let (one, other) = (Tree::new(&straight), Tree::new(&mixed));
    for member in &straight.members {
        assert_eq!(one.ancestors(member), other.ancestors(member));
        assert_eq!(one.children(member), other.children(member));
    }
}

#[test]
fn given_one_that_is_not_in_the_roster_when_it_looks_for_ancestors_then_it_stands_where_it_would_if_it_were(
) {
    let without = roster(100);
    let mut with = without.clone();
    with.members.push("10.9.9.9:7381".into());
    let tree = Tree::new(&without);
    assert_eq!(
        tree.ancestors("10.9.9.9:7381"),
        Tree::new(&with).ancestors("10.9.9.9:7381")
    );
    assert!(tree.children("10.9.9.9:7381").is_empty());
    assert_eq!(
        Tree::default().ancestors("10.9.9.9:7381"),
        [RelayPeer::Core]
    );
}

/// Processes of different releases must agree. Computed by another implementation of the hash, in Python.
#[test]
fn given_12_addresses_when_ordered_then_the_order_is_the_one_agreed_for_ever() {
    let tree = Tree::new(&roster(12));
    let first: Vec<String> = tree
        .children_of_root()
        .iter()
        .map(|member| member.to_string())
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

/// Members with different rosters can therefore never be each other's ancestors, and nobody asks in a circle.
#[test]
fn given_any_two_rosters_when_one_is_the_others_ancestor_in_one_then_it_is_not_the_reverse_in_the_other(
) {
    let all = roster(60).members;
    let mut above = std::collections::BTreeSet::new();
    for seed in 0..200 {
        let mut numbers = Numbers(seed);
        let share = 20 + numbers.below(80);
        let members = all
            .iter()
            .filter(|_| numbers.below(100) < share)
            .cloned()
            .collect();
        let tree = Tree::new(&RelayMembership {
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
