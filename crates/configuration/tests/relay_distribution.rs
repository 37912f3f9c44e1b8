//! Leases of members, their rosters, and the primary's end of the relay tree.

use std::sync::Arc;
use streamusher_configuration::relay::{
    ConfigurationPublisher, MemberLeases, OutboundMessage, Published, RelayEnvelope,
    RelayMembership, RelayMessage, RelayPeer, GATHERING, LEASE, ROSTER_INTERVAL,
};
use streamusher_protocol::internal::GateLeaseRequest;
use streamusher_protocol::Millis;

const START: Millis = 1_000;

fn member(number: u32) -> Arc<str> {
    format!("10.0.0.{number}:7381").into()
}

fn lease(number: u32, membership_version: u64) -> GateLeaseRequest {
    GateLeaseRequest {
        address: member(number),
        membership_version,
    }
}

fn published(version: u64, update: Option<(u64, &str)>) -> Published {
    let text = format!(r#"{{"version":{version}}}"#).into();
    Published {
        version,
        text,
        update: update.map(|(base, update)| (base, update.into())),
    }
}

/// A primary that has gathered members 1 and 2.
fn gathered() -> (ConfigurationPublisher, Millis) {
    let mut distribution = ConfigurationPublisher::new(3, START);
    distribution.lease(START, &lease(1, 0));
    distribution.lease(START, &lease(2, 0));
    let now = START + GATHERING;
    distribution.tick(now);
    (distribution, now)
}

fn kinds(sends: &[OutboundMessage]) -> Vec<&'static str> {
    let kind = |send: &OutboundMessage| match &send.message {
        RelayMessage::Heartbeat { .. } => "heartbeat",
        RelayMessage::Changes(_) => "changes",
        RelayMessage::Whole { .. } => "whole",
        RelayMessage::Ask { .. } => "ask",
    };
    sends.iter().map(kind).collect()
}

#[test]
fn given_a_new_primary_when_members_renew_then_their_first_roster_waits_until_all_could() {
    let mut leases = MemberLeases::new(3, START);
    leases.renew(START, &member(2));
    assert_eq!(leases.tick(START + GATHERING - 1), None);
    leases.renew(START + GATHERING - 1, &member(1));

    let members = leases
        .tick(START + GATHERING)
        .map(|roster| roster.members.clone());

    assert_eq!(members, Some(vec![member(1), member(2)]));
}

#[test]
fn given_a_roster_when_nothing_changes_then_its_version_stays() {
    let mut leases = MemberLeases::new(3, START);
    leases.renew(START, &member(1));
    let first = leases.tick(START + GATHERING).cloned();
    leases.renew(START + GATHERING, &member(1));

    assert_eq!(leases.tick(START + GATHERING + LEASE - 1), None);
    assert_eq!(leases.roster().cloned(), first);
}

#[test]
fn given_a_member_when_its_lease_is_over_then_it_leaves_the_roster() {
    let mut leases = MemberLeases::new(3, START);
    leases.renew(START, &member(1));
    leases.renew(START + GATHERING, &member(2));
    let before = leases.tick(START + GATHERING).cloned().unwrap_or_default();

    let after = leases.tick(START + LEASE).cloned().unwrap_or_default();

    assert_eq!(after.members, [member(2)]);
    assert!(after.version > before.version);
}

#[test]
fn given_members_that_come_one_after_the_other_then_rosters_keep_their_interval() {
    let mut leases = MemberLeases::new(3, START);
    leases.renew(START, &member(1));
    let now = START + GATHERING;
    leases.tick(now);
    leases.renew(now + 1, &member(2));

    assert_eq!(leases.tick(now + ROSTER_INTERVAL - 1), None);
    assert_eq!(
        leases
            .tick(now + ROSTER_INTERVAL)
            .map(|roster| roster.members.len()),
        Some(2)
    );
}

#[test]
fn given_a_later_epoch_then_its_first_roster_is_newer_than_any_of_the_former() {
    let newest = |epoch: u64, changes: Millis| {
        let mut leases = MemberLeases::new(epoch, START);
        let mut version = 0;
        for change in 0..changes {
            let now = START + GATHERING + change * LEASE;
            leases.renew(now, &member(change as u32));
            version = leases
                .tick(now)
                .map_or(version, |roster: &RelayMembership| roster.version);
        }
        version
    };

    assert!(newest(4, 1) > newest(3, 10_000));
    assert!(newest(0, 1) > 0);
}

#[test]
fn given_a_lease_when_the_roster_is_known_then_it_is_not_sent_again() {
    let (mut distribution, now) = gathered();

    let first = distribution.lease(now, &lease(1, 0));
    let second = distribution.lease(now, &lease(1, first.membership_version));

    assert_eq!(first.members, Some(vec![member(1), member(2)]));
    assert_eq!(
        (second.membership_version, second.members),
        (first.membership_version, None)
    );
}

#[test]
fn given_a_primary_that_gathers_when_a_lease_is_renewed_then_the_former_roster_stays_in_use() {
    let mut distribution = ConfigurationPublisher::new(3, START);

    let reply = distribution.lease(START, &lease(1, 77));

    assert_eq!((reply.membership_version, reply.members), (0, None));
}

#[test]
fn given_members_when_a_configuration_is_published_then_all_children_get_it_once() {
    let (mut distribution, now) = gathered();

    let sends = distribution.publish(&published(5, None));
    let again = distribution.publish(&published(5, None));
    let older = distribution.publish(&published(4, None));

    assert_eq!(kinds(&sends), ["whole"]);
    assert_eq!(sends[0].to.len(), 2);
    assert!(again.is_empty() && older.is_empty());
    assert_eq!(
        distribution.lease(now, &lease(1, 0)).configuration_version,
        5
    );
}

#[test]
fn given_an_update_when_its_base_was_published_then_only_the_change_goes_down() {
    let (mut distribution, _) = gathered();
    distribution.publish(&published(5, None));

    let fitting = distribution.publish(&published(7, Some((5, r#"{"version":7}"#))));
    let with_gap = distribution.publish(&published(11, Some((9, r#"{"version":11}"#))));

    assert_eq!(
        (kinds(&fitting), kinds(&with_gap)),
        (vec!["changes"], vec!["whole"])
    );
}

#[test]
fn given_a_text_that_is_no_json_when_published_then_nothing_is_sent() {
    let (mut distribution, _) = gathered();
    let broken = Published {
        text: "{".into(),
        ..published(5, None)
    };

    assert!(distribution.publish(&broken).is_empty());
    assert_eq!(distribution.version(), 0);
}

#[test]
fn given_a_member_when_it_asks_then_it_gets_a_heartbeat_and_what_is_newer() {
    let (mut distribution, now) = gathered();
    distribution.publish(&published(5, None));
    let question = |have| RelayEnvelope {
        from: RelayPeer::Member(member(9)),
        messages: vec![RelayMessage::Ask { have }],
    };

    assert_eq!(
        kinds(&distribution.receive(now, question(0))),
        ["heartbeat", "whole"]
    );
    assert_eq!(
        kinds(&distribution.receive(now, question(5))),
        ["heartbeat"]
    );
}
