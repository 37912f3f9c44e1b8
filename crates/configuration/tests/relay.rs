//! Distribution of configurations through the relay tree without faults, and the handling of irregular
//! messages, in virtual time.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use rstest::rstest;
use serde_json::value::RawValue;
use std::sync::Arc;
use streamusher_configuration::relay::{
    ConfigurationDelta, OutboundMessage, RelayMembership, RelayMessage, RelayNode, RelayPeer,
    RelayTree, RootHeartbeat, FAN_OUT,
};
use support::fleet::{settled_fleet, APPLY_BOUND, DELAY};

#[rstest]
#[case(5, 1)]
#[case(10, 2)]
#[case(50, 2)]
#[case(100, 3)]
#[case(300, 3)]
#[case(1_000, 4)]
fn version_reaches_each_member_once_within_one_delay_per_level(
    #[case] size: usize,
    #[case] depth: u64,
) {
    let mut fleet = settled_fleet(size, 1, 5);
    for (version, whole) in [(2, false), (3, false), (7, true), (9, false)] {
        let start = fleet.now;
        if whole {
            fleet.replace(version, 6);
        } else {
            fleet.update(version);
        }
        fleet.run_for(1_000);
        assert_eq!(fleet.lagging_members(version), [] as [Arc<str>; 0]);
        assert_eq!(fleet.last_applied(version) - start, depth * DELAY);
        let traffic = fleet.take_traffic();
        assert_eq!(traffic.updates.messages, size as u64);
        assert_eq!(traffic.requests.messages, 0);
        println!("{size} members, whole {whole}: {traffic:?}");
    }
}

#[test]
fn member_that_lacks_too_many_updates_gets_a_snapshot() {
    let mut fleet = settled_fleet(30, 3, 5);
    let member = fleet.membership.members[7].clone();
    fleet.partitioned.insert(member.clone());
    for version in 2..40 {
        fleet.update(version);
        fleet.run_for(50);
    }
    fleet.partitioned.clear();
    fleet.run_for(APPLY_BOUND);
    assert_eq!(fleet.lagging_members(39), [] as [Arc<str>; 0]);
    let applied: Vec<u64> = fleet.members[&member]
        .applied
        .iter()
        .map(|(version, _)| *version)
        .collect();
    assert_eq!(applied, [1, 39]);
}

#[test]
fn restarted_member_gets_newest_version_within_a_few_delays() {
    let mut fleet = settled_fleet(100, 5, 5);
    fleet.update(2);
    fleet.run_for(500);
    for member in fleet.inner_members() {
        fleet.start(&member);
        let start = fleet.now;
        fleet.run_for(3 * DELAY);
        assert_eq!(
            fleet.lagging_members(2),
            [] as [Arc<str>; 0],
            "{member} at {start}"
        );
    }
}

#[test]
fn process_outside_the_membership_gets_updates_as_temporary_child() {
    let mut fleet = settled_fleet(100, 6, 5);
    let newcomer: Arc<str> = "10.9.9.9:7381".into();
    fleet.start(&newcomer);
    fleet.run_for(100);
    assert_eq!(fleet.lagging_members(1), [] as [Arc<str>; 0]);
    for version in 2..62 {
        fleet.update(version);
        fleet.run_for(100);
        assert_eq!(fleet.lagging_members(version), [] as [Arc<str>; 0]);
    }
}

#[test]
fn configuration_of_5000_routes_is_sent_once_and_its_updates_are_small() {
    let mut fleet = settled_fleet(40, 13, 5);
    let start = fleet.now;
    fleet.replace(2, 5_000);
    fleet.run_for(APPLY_BOUND);
    assert_eq!(fleet.lagging_members(2), [] as [Arc<str>; 0]);
    // An announcement, a request and a snapshot for each of two levels.
    assert_eq!(fleet.last_applied(2) - start, 2 * 3 * DELAY);
    let length = fleet.texts[&2].get().len() as u64;
    let traffic = fleet.take_traffic();
    assert!(traffic.updates.bytes < length * 41, "{traffic:?}");
    assert_eq!(traffic.requests.messages, 40);
    println!("40 members, whole configuration of {length} bytes: {traffic:?}");
    fleet.update(3);
    fleet.run_for(APPLY_BOUND);
    assert_eq!(fleet.lagging_members(3), [] as [Arc<str>; 0]);
    let traffic = fleet.take_traffic();
    assert!(traffic.updates.bytes < 40 * 1_000, "{traffic:?}");
}

#[test]
fn announced_version_that_does_not_arrive_is_requested() {
    let mut fleet = settled_fleet(30, 14, 3);
    let member = fleet.membership.members[9].clone();
    let ancestors = RelayTree::new(&fleet.membership).ancestors(&member);
    fleet.partitioned.insert(member.clone());
    fleet.update(2);
    fleet.run_for(30);
    fleet.partitioned.clear();
    fleet.announce_version(&member, 2);
    fleet.run_for(100 + 2 * DELAY);
    assert_eq!(
        fleet.lagging_members(2),
        [] as [Arc<str>; 0],
        "{ancestors:?}"
    );
}

#[test]
fn inapplicable_delta_leads_to_request_for_snapshot() {
    let mut fleet = settled_fleet(30, 15, 3);
    let member = fleet.membership.members[9].clone();
    fleet.partitioned.insert(member.clone());
    fleet.update(2);
    fleet.run_for(30);
    fleet.partitioned.clear();
    let parent = RelayTree::new(&fleet.membership).ancestors(&member)[0].clone();
    for update in [
        r"[2]",
        r#"{"version":3}"#,
        r#"{"version":2,"upsert":{"routes":[{"name":5}]}}"#,
        "null",
    ] {
        let update: Arc<RawValue> = RawValue::from_string(update.into()).expect("JSON").into();
        let change = ConfigurationDelta {
            base_version: 1,
            version: 2,
            update,
        };
        fleet.inject(&member, parent.clone(), RelayMessage::Deltas(vec![change]));
    }
    fleet.run_for(2 * DELAY + 1);
    assert_eq!(fleet.lagging_members(2), [] as [Arc<str>; 0]);
}

#[test]
fn snapshot_is_requested_until_it_arrives() {
    let raw =
        |text: &str| -> Arc<RawValue> { RawValue::from_string(text.into()).expect("JSON").into() };
    let mut node = RelayNode::new("10.0.0.1:7381".into(), 0);
    let whole = RelayMessage::Snapshot {
        version: 1,
        text: raw(r#"{"version":1,"zones":5}"#),
    };
    node.on_message(1, &RelayPeer::Primary, whole);
    let change = ConfigurationDelta {
        base_version: 1,
        version: 2,
        update: raw(r#"{"version":2,"upsert":{"zones":[{"name":"z"}]}}"#),
    };
    let actions = node.on_message(2, &RelayPeer::Primary, RelayMessage::Deltas(vec![change]));
    assert_eq!(requests(&actions.messages), [0]);
    assert_eq!(
        requests(&node.tick(600).messages),
        [0],
        "the request is repeated until a snapshot arrives"
    );
    node.on_message(
        610,
        &RelayPeer::Primary,
        RelayMessage::Snapshot {
            version: 2,
            text: raw(r#"{"version":2}"#),
        },
    );
    assert_eq!(node.version(), 2);
    assert_eq!(
        requests(&node.on_version_announced(620, 3).messages),
        [0; 0]
    );
    assert_eq!(requests(&node.tick(720).messages), [2]);
}

/// Returns the known versions stated in requests.
fn requests(messages: &[OutboundMessage]) -> Vec<u64> {
    let versions = messages
        .iter()
        .filter_map(|outbound| match outbound.message {
            RelayMessage::Request { known_version } => Some(known_version),
            _ => None,
        });
    versions.collect()
}

#[test]
fn older_membership_is_ignored() {
    let addresses: Vec<Arc<str>> = (0..30)
        .map(|index| format!("10.0.{index}.1:7381").into())
        .collect();
    let newer = RelayMembership {
        version: 5,
        members: addresses.clone(),
    };
    let older = RelayMembership {
        version: 4,
        members: vec![addresses[0].clone()],
    };
    let inner = RelayTree::new(&newer).children_of_root()[0].clone();
    let mut node = RelayNode::new(inner, 0);
    node.set_membership(0, &newer);
    node.set_membership(0, &older);
    node.set_membership(
        0,
        &RelayMembership {
            version: 5,
            ..older
        },
    );
    let receiver_counts: Vec<usize> = node
        .tick(250)
        .messages
        .iter()
        .map(|outbound| outbound.receivers.len())
        .collect();
    assert_eq!(
        receiver_counts,
        [FAN_OUT],
        "heartbeats to its children according to the newer membership"
    );
}

#[test]
fn unreadable_or_older_snapshot_is_dropped() {
    let mut fleet = settled_fleet(10, 16, 3);
    fleet.update(5);
    fleet.run_for(100);
    let member = fleet.membership.members[2].clone();
    for (version, text) in [
        (9, "{}"),
        (9, "5"),
        (9, r#"{"version":8}"#),
        (4, r#"{"version":4}"#),
    ] {
        let text: Arc<RawValue> = RawValue::from_string(text.into()).expect("JSON").into();
        fleet.inject(
            &member,
            RelayPeer::Primary,
            RelayMessage::Snapshot { version, text },
        );
    }
    fleet.inject(
        &member,
        RelayPeer::Primary,
        RelayMessage::Deltas(Vec::new()),
    );
    let root_heartbeat = RootHeartbeat { epoch: 0, count: 0 };
    fleet.inject(
        &member,
        RelayPeer::Primary,
        RelayMessage::Heartbeat {
            version: 2,
            root_heartbeat,
            is_temporary: false,
            request_required: true,
        },
    );
    fleet.run_for(1_000);
    assert_eq!(fleet.lagging_members(5), [] as [Arc<str>; 0]);
}

#[test]
fn known_deltas_are_skipped_without_a_request() {
    let mut fleet = settled_fleet(30, 17, 3);
    let member = fleet.membership.members[9].clone();
    fleet.update(2);
    fleet.run_for(50);
    fleet.partitioned.insert(member.clone());
    fleet.update(3);
    fleet.update(4);
    fleet.run_for(50);
    fleet.partitioned.clear();
    fleet.take_traffic();
    let changes = (2..=4)
        .map(|version| fleet.deltas[&version].clone())
        .collect();
    fleet.inject(&member, RelayPeer::Primary, RelayMessage::Deltas(changes));
    fleet.run_for(1);
    assert_eq!(fleet.lagging_members(4), [] as [Arc<str>; 0]);
    assert_eq!(fleet.take_traffic().requests.messages, 0);
}

#[test]
fn duplicated_messages_cause_no_requests() {
    let mut fleet = settled_fleet(60, 18, 3);
    fleet.duplication_permille = 1_000;
    for version in 2..20 {
        fleet.update(version);
        fleet.run_for(60);
        assert_eq!(fleet.lagging_members(version), [] as [Arc<str>; 0]);
    }
    assert_eq!(fleet.take_traffic().requests.messages, 0);
}

#[test]
fn idle_leaf_wakes_only_at_its_heartbeat_timeout() {
    let node = RelayNode::new("10.0.0.1:7381".into(), 1_000);
    assert_eq!(node.next_tick(), 1_600);
}

#[test]
fn messages_round_trip_through_json() {
    let raw =
        |text: &str| -> Arc<RawValue> { RawValue::from_string(text.into()).expect("JSON").into() };
    let change = ConfigurationDelta {
        base_version: 1,
        version: 2,
        update: raw(r#"{"version": 2,  "x":1.00}"#),
    };
    let messages = [
        RelayMessage::Heartbeat {
            version: 3,
            root_heartbeat: RootHeartbeat { epoch: 1, count: 2 },
            is_temporary: true,
            request_required: false,
        },
        RelayMessage::Deltas(vec![change.clone(), change]),
        RelayMessage::Snapshot {
            version: 3,
            text: raw(r#"{"version":3}"#),
        },
        RelayMessage::Request { known_version: 7 },
    ];
    for message in messages {
        let text = serde_json::to_string(&message).expect("JSON");
        let again: RelayMessage = serde_json::from_str(&text).expect("a decodable message");
        assert_eq!(serde_json::to_string(&again).expect("JSON"), text);
    }
    for text in [
        "{}",
        "null",
        "5",
        r#"{"Ask":{}}"#,
        r#"{"Ask":{"have":-1}}"#,
        r#"{"Whole":{"version":1}}"#,
        r#"{"Ask":{"have":1}"#,
    ] {
        assert!(
            serde_json::from_str::<RelayMessage>(text).is_err(),
            "{text}"
        );
    }
}
