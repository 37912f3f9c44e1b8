//! Updates on their way down the relay tree while all is well, and what odd messages do, in virtual time.

mod support;

use rstest::rstest;
use serde_json::value::RawValue;
use std::sync::Arc;
use streamusher_configuration::relay::{
    ConfigurationDelta, OutboundMessage, RelayMembership, RelayMessage, RelayNode, RelayPeer,
    RootHeartbeat, Tree, FAN_OUT,
};
use support::fleet::{settled, APPLY_BOUND, DELAY};

#[rstest]
#[case(5, 1)]
#[case(10, 2)]
#[case(50, 2)]
#[case(100, 3)]
#[case(300, 3)]
#[case(1_000, 4)]
fn given_all_well_when_a_version_is_published_then_each_gets_it_once_within_a_delay_for_each_level(
    #[case] size: usize,
    #[case] depth: u64,
) {
    let mut fleet = settled(size, 1, 5);
    for (version, whole) in [(2, false), (3, false), (7, true), (9, false)] {
        let start = fleet.now;
        if whole {
            fleet.replace(version, 6);
        } else {
            fleet.update(version);
        }
        fleet.run_for(1_000);
        assert_eq!(fleet.without(version), [] as [Arc<str>; 0]);
        assert_eq!(fleet.last_applied(version) - start, depth * DELAY);
        let account = fleet.take_account();
        assert_eq!(account.updates.messages, size as u64);
        assert_eq!(account.questions.messages, 0);
        println!("{size} members, whole {whole}: {account:?}");
    }
}

#[test]
fn given_a_long_cut_when_healed_then_what_has_too_many_changes_comes_whole() {
    let mut fleet = settled(30, 3, 5);
    let member = fleet.roster.members[7].clone();
    fleet.cut.insert(member.clone());
    for version in 2..40 {
        fleet.update(version);
        fleet.run_for(50);
    }
    fleet.cut.clear();
    fleet.run_for(APPLY_BOUND);
    assert_eq!(fleet.without(39), [] as [Arc<str>; 0]);
    let applied: Vec<u64> = fleet.members[&member]
        .applied
        .iter()
        .map(|(version, _)| *version)
        .collect();
    assert_eq!(applied, [1, 39]);
}

#[test]
fn given_a_member_that_starts_anew_when_told_the_roster_then_it_has_the_newest_version_in_a_few_delays(
) {
    let mut fleet = settled(100, 5, 5);
    fleet.update(2);
    fleet.run_for(500);
    for member in fleet.inner() {
        fleet.start(&member);
        let start = fleet.now;
        fleet.run_for(3 * DELAY);
        assert_eq!(fleet.without(2), [] as [Arc<str>; 0], "{member} at {start}");
    }
}

#[test]
fn given_a_member_that_no_roster_names_yet_when_it_starts_then_it_is_adopted_and_gets_updates() {
    let mut fleet = settled(100, 6, 5);
    let newcomer: Arc<str> = "10.9.9.9:7381".into();
    fleet.start(&newcomer);
    fleet.run_for(100);
    assert_eq!(fleet.without(1), [] as [Arc<str>; 0]);
    for version in 2..62 {
        fleet.update(version);
        fleet.run_for(100);
        assert_eq!(fleet.without(version), [] as [Arc<str>; 0]);
    }
}

#[test]
fn given_a_configuration_of_5000_routes_when_published_then_it_is_sent_to_each_once_and_changes_of_it_are_small(
) {
    let mut fleet = settled(40, 13, 5);
    let start = fleet.now;
    fleet.replace(2, 5_000);
    fleet.run_for(APPLY_BOUND);
    assert_eq!(fleet.without(2), [] as [Arc<str>; 0]);
    // Word, question and configuration for each of two levels.
    assert_eq!(fleet.last_applied(2) - start, 2 * 3 * DELAY);
    let length = fleet.history[&2].get().len() as u64;
    let account = fleet.take_account();
    assert!(account.updates.bytes < length * 41, "{account:?}");
    assert_eq!(account.questions.messages, 40);
    println!("40 members, whole configuration of {length} bytes: {account:?}");
    fleet.update(3);
    fleet.run_for(APPLY_BOUND);
    assert_eq!(fleet.without(3), [] as [Arc<str>; 0]);
    let account = fleet.take_account();
    assert!(account.updates.bytes < 40 * 1_000, "{account:?}");
}

#[test]
fn given_word_of_a_newer_version_when_it_does_not_come_then_the_member_asks_for_it() {
    let mut fleet = settled(30, 14, 3);
    let member = fleet.roster.members[9].clone();
    let ancestors = Tree::new(&fleet.roster).ancestors(&member);
    fleet.cut.insert(member.clone());
    fleet.update(2);
    fleet.run_for(30);
    fleet.cut.clear();
    fleet.heard_of(&member, 2);
    fleet.run_for(100 + 2 * DELAY);
    assert_eq!(fleet.without(2), [] as [Arc<str>; 0], "{ancestors:?}");
}

#[test]
fn given_a_change_that_does_not_fit_when_it_comes_then_the_configuration_is_asked_for_whole() {
    let mut fleet = settled(30, 15, 3);
    let member = fleet.roster.members[9].clone();
    fleet.cut.insert(member.clone());
    fleet.update(2);
    fleet.run_for(30);
    fleet.cut.clear();
    let parent = Tree::new(&fleet.roster).ancestors(&member)[0].clone();
    for update in [
        r#"[2]"#,
        r#"{"version":3}"#,
        r#"{"version":2,"upsert":{"routes":[{"name":5}]}}"#,
        "null",
    ] {
        let update: Arc<RawValue> = RawValue::from_string(update.into()).expect("JSON").into();
        let change = ConfigurationDelta {
            base: 1,
            version: 2,
            update,
        };
        fleet.inject(&member, parent.clone(), RelayMessage::Changes(vec![change]));
    }
    fleet.run_for(2 * DELAY + 1);
    assert_eq!(fleet.without(2), [] as [Arc<str>; 0]);
}

#[test]
fn given_a_text_that_the_next_change_does_not_fit_when_it_comes_then_the_newest_is_asked_for_whole_until_it_comes(
) {
    let raw =
        |text: &str| -> Arc<RawValue> { RawValue::from_string(text.into()).expect("JSON").into() };
    let mut node = RelayNode::new("10.0.0.1:7381".into(), 0);
    let whole = RelayMessage::Whole {
        version: 1,
        text: raw(r#"{"version":1,"zones":5}"#),
    };
    node.receive(1, &RelayPeer::Core, whole);
    let change = ConfigurationDelta {
        base: 1,
        version: 2,
        update: raw(r#"{"version":2,"upsert":{"zones":[{"name":"z"}]}}"#),
    };
    let actions = node.receive(2, &RelayPeer::Core, RelayMessage::Changes(vec![change]));
    assert_eq!(questions(&actions.sends), [0]);
    assert_eq!(
        questions(&node.tick(600).sends),
        [0],
        "again while nothing came"
    );
    node.receive(
        610,
        &RelayPeer::Core,
        RelayMessage::Whole {
            version: 2,
            text: raw(r#"{"version":2}"#),
        },
    );
    assert_eq!(node.version(), 2);
    assert_eq!(questions(&node.heard_of(620, 3).sends), [0; 0]);
    assert_eq!(questions(&node.tick(720).sends), [2]);
}

/// The versions given in questions.
fn questions(sends: &[OutboundMessage]) -> Vec<u64> {
    let asked = sends.iter().filter_map(|send| match send.message {
        RelayMessage::Ask { have } => Some(have),
        _ => None,
    });
    asked.collect()
}

#[test]
fn given_a_roster_when_an_older_one_comes_later_then_it_is_passed_over() {
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
    let inner = Tree::new(&newer).children_of_root()[0].clone();
    let mut node = RelayNode::new(inner, 0);
    node.set_roster(0, &newer);
    node.set_roster(0, &older);
    node.set_roster(
        0,
        &RelayMembership {
            version: 5,
            ..older
        },
    );
    let told: Vec<usize> = node
        .tick(250)
        .sends
        .iter()
        .map(|send| send.to.len())
        .collect();
    assert_eq!(
        told,
        [FAN_OUT],
        "heartbeats to its children by the newer one"
    );
}

#[test]
fn given_an_unreadable_or_older_configuration_when_it_comes_then_it_is_dropped() {
    let mut fleet = settled(10, 16, 3);
    fleet.update(5);
    fleet.run_for(100);
    let member = fleet.roster.members[2].clone();
    for (version, text) in [
        (9, "{}"),
        (9, "5"),
        (9, r#"{"version":8}"#),
        (4, r#"{"version":4}"#),
    ] {
        let text: Arc<RawValue> = RawValue::from_string(text.into()).expect("JSON").into();
        fleet.inject(
            &member,
            RelayPeer::Core,
            RelayMessage::Whole { version, text },
        );
    }
    fleet.inject(&member, RelayPeer::Core, RelayMessage::Changes(Vec::new()));
    let pulse = RootHeartbeat { epoch: 0, count: 0 };
    fleet.inject(
        &member,
        RelayPeer::Core,
        RelayMessage::Heartbeat {
            version: 2,
            pulse,
            adopted: false,
            ask: true,
        },
    );
    fleet.run_for(1_000);
    assert_eq!(fleet.without(5), [] as [Arc<str>; 0]);
}

#[test]
fn given_changes_of_which_some_are_here_already_when_they_come_then_the_others_are_taken_without_a_question(
) {
    let mut fleet = settled(30, 17, 3);
    let member = fleet.roster.members[9].clone();
    fleet.update(2);
    fleet.run_for(50);
    fleet.cut.insert(member.clone());
    fleet.update(3);
    fleet.update(4);
    fleet.run_for(50);
    fleet.cut.clear();
    fleet.take_account();
    let changes = (2..=4)
        .map(|version| fleet.changes[&version].clone())
        .collect();
    fleet.inject(&member, RelayPeer::Core, RelayMessage::Changes(changes));
    fleet.run_for(1);
    assert_eq!(fleet.without(4), [] as [Arc<str>; 0]);
    assert_eq!(fleet.take_account().questions.messages, 0);
}

#[test]
fn given_every_message_twice_when_versions_rise_then_nobody_asks() {
    let mut fleet = settled(60, 18, 3);
    fleet.repeats = 1_000;
    for version in 2..20 {
        fleet.update(version);
        fleet.run_for(60);
        assert_eq!(fleet.without(version), [] as [Arc<str>; 0]);
    }
    assert_eq!(fleet.take_account().questions.messages, 0);
}

#[test]
fn given_a_leaf_when_at_rest_then_it_wakes_for_its_patience_only() {
    let node = RelayNode::new("10.0.0.1:7381".into(), 1_000);
    assert_eq!(node.next_tick(), 1_600);
}

#[test]
fn given_all_messages_when_written_and_read_then_they_are_the_same() {
    let raw =
        |text: &str| -> Arc<RawValue> { RawValue::from_string(text.into()).expect("JSON").into() };
    let change = ConfigurationDelta {
        base: 1,
        version: 2,
        update: raw(r#"{"version": 2,  "x":1.00}"#),
    };
    let messages = [
        RelayMessage::Heartbeat {
            version: 3,
            pulse: RootHeartbeat { epoch: 1, count: 2 },
            adopted: true,
            ask: false,
        },
        RelayMessage::Changes(vec![change.clone(), change]),
        RelayMessage::Whole {
            version: 3,
            text: raw(r#"{"version":3}"#),
        },
        RelayMessage::Ask { have: 7 },
    ];
    for message in messages {
        let text = serde_json::to_string(&message).expect("JSON");
        let again: RelayMessage = serde_json::from_str(&text).expect("it is read");
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
