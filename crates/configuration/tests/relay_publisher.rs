//! Leases of members, the resulting memberships, and the primary's side of the relay tree.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use std::sync::Arc;
use streamusher_configuration::relay::{
    ConfigurationPublisher, MemberLeases, OutboundMessage, RelayEnvelope, RelayMembership,
    RelayMessage, RelayPeer, LEASE_MS, MEMBERSHIP_INTERVAL_MS, MEMBERSHIP_WARM_UP_MS,
};
use streamusher_configuration::{PublishedConfiguration, PublishedUpdate};
use streamusher_protocol::internal::GateLeaseRequest;
use streamusher_protocol::Millis;

const START: Millis = 1_000;

fn member(number: u32) -> Arc<str> {
    format!("10.0.0.{number}:7381").into()
}

fn lease_request(number: u32, membership_version: u64) -> GateLeaseRequest {
    GateLeaseRequest {
        address: member(number),
        membership_version,
    }
}

fn published(version: u64, update: Option<(u64, &str)>) -> PublishedConfiguration {
    let text = format!(r#"{{"version":{version}}}"#).into();
    PublishedConfiguration {
        version,
        text,
        update: update.map(|(base_version, text)| PublishedUpdate {
            base_version,
            text: text.into(),
        }),
    }
}

/// Creates the publisher of a primary at which members 1 and 2 hold leases; returns it with the time of the
/// first membership.
fn publisher_with_two_members() -> (ConfigurationPublisher, Millis) {
    let mut publisher = ConfigurationPublisher::new(3, START);
    publisher.renew_lease(START, &lease_request(1, 0));
    publisher.renew_lease(START, &lease_request(2, 0));
    let now = START + MEMBERSHIP_WARM_UP_MS;
    publisher.tick(now);
    (publisher, now)
}

fn kinds(messages: &[OutboundMessage]) -> Vec<&'static str> {
    let kind = |outbound: &OutboundMessage| match &outbound.message {
        RelayMessage::Heartbeat { .. } => "heartbeat",
        RelayMessage::Deltas(_) => "deltas",
        RelayMessage::Snapshot { .. } => "snapshot",
        RelayMessage::Request { .. } => "request",
    };
    messages.iter().map(kind).collect()
}

#[test]
fn first_membership_waits_until_all_members_could_renew() {
    let mut leases = MemberLeases::new(3, START);
    leases.renew(START, &member(2));
    assert_eq!(leases.tick(START + MEMBERSHIP_WARM_UP_MS - 1), None);
    leases.renew(START + MEMBERSHIP_WARM_UP_MS - 1, &member(1));

    let members = leases
        .tick(START + MEMBERSHIP_WARM_UP_MS)
        .map(|membership| membership.members.clone());

    assert_eq!(members, Some(vec![member(1), member(2)]));
}

#[test]
fn membership_version_stays_while_nothing_changes() {
    let mut leases = MemberLeases::new(3, START);
    leases.renew(START, &member(1));
    let first = leases.tick(START + MEMBERSHIP_WARM_UP_MS).cloned();
    leases.renew(START + MEMBERSHIP_WARM_UP_MS, &member(1));

    assert_eq!(
        leases.tick(START + MEMBERSHIP_WARM_UP_MS + LEASE_MS - 1),
        None
    );
    assert_eq!(leases.membership().cloned(), first);
}

#[test]
fn member_leaves_when_its_lease_expires() {
    let mut leases = MemberLeases::new(3, START);
    leases.renew(START, &member(1));
    leases.renew(START + MEMBERSHIP_WARM_UP_MS, &member(2));
    let before = leases
        .tick(START + MEMBERSHIP_WARM_UP_MS)
        .cloned()
        .unwrap_or_default();

    let after = leases.tick(START + LEASE_MS).cloned().unwrap_or_default();

    assert_eq!(after.members, [member(2)]);
    assert!(after.version > before.version);
}

#[test]
fn memberships_keep_their_least_interval() {
    let mut leases = MemberLeases::new(3, START);
    leases.renew(START, &member(1));
    let now = START + MEMBERSHIP_WARM_UP_MS;
    leases.tick(now);
    leases.renew(now + 1, &member(2));

    assert_eq!(leases.tick(now + MEMBERSHIP_INTERVAL_MS - 1), None);
    assert_eq!(
        leases
            .tick(now + MEMBERSHIP_INTERVAL_MS)
            .map(|membership| membership.members.len()),
        Some(2)
    );
}

#[test]
fn membership_of_later_epoch_is_newer() {
    let newest = |epoch: u64, changes: u32| {
        let mut leases = MemberLeases::new(epoch, START);
        let mut version = 0;
        for change in 0..changes {
            let now = START + MEMBERSHIP_WARM_UP_MS + Millis::from(change) * LEASE_MS;
            leases.renew(now, &member(change));
            version = leases
                .tick(now)
                .map_or(version, |membership: &RelayMembership| membership.version);
        }
        version
    };

    assert!(newest(4, 1) > newest(3, 10_000));
    assert!(newest(0, 1) > 0);
}

#[test]
fn members_are_omitted_if_the_requester_has_the_newest_membership() {
    let (mut publisher, now) = publisher_with_two_members();

    let first = publisher.renew_lease(now, &lease_request(1, 0));
    let second = publisher.renew_lease(now, &lease_request(1, first.membership_version));

    assert_eq!(first.members, Some(vec![member(1), member(2)]));
    assert_eq!(
        (second.membership_version, second.members),
        (first.membership_version, None)
    );
}

/// The member keeps the membership that it received from the former primary.
#[test]
fn no_membership_is_sent_during_warm_up() {
    let mut publisher = ConfigurationPublisher::new(3, START);

    let response = publisher.renew_lease(START, &lease_request(1, 77));

    assert_eq!((response.membership_version, response.members), (0, None));
}

#[test]
fn published_configuration_goes_to_all_children_once() {
    let (mut publisher, now) = publisher_with_two_members();

    let messages = publisher.publish(&published(5, None));
    let again = publisher.publish(&published(5, None));
    let older = publisher.publish(&published(4, None));

    assert_eq!(kinds(&messages), ["snapshot"]);
    assert_eq!(messages[0].receivers.len(), 2);
    assert!(again.is_empty() && older.is_empty());
    assert_eq!(
        publisher
            .renew_lease(now, &lease_request(1, 0))
            .configuration_version,
        5
    );
}

#[test]
fn update_of_published_version_goes_down_as_delta() {
    let (mut publisher, _) = publisher_with_two_members();
    publisher.publish(&published(5, None));

    let fitting = publisher.publish(&published(7, Some((5, r#"{"version":7}"#))));
    let with_gap = publisher.publish(&published(11, Some((9, r#"{"version":11}"#))));

    assert_eq!(
        (kinds(&fitting), kinds(&with_gap)),
        (vec!["deltas"], vec!["snapshot"])
    );
}

#[test]
fn text_that_is_not_json_is_not_published() {
    let (mut publisher, _) = publisher_with_two_members();
    let broken = PublishedConfiguration {
        text: "{".into(),
        ..published(5, None)
    };

    assert!(publisher.publish(&broken).is_empty());
    assert_eq!(publisher.version(), 0);
}

#[test]
fn request_is_answered_with_heartbeat_and_newer_configuration() {
    let (mut publisher, now) = publisher_with_two_members();
    publisher.publish(&published(5, None));
    let request = |known_version| RelayEnvelope {
        sender: RelayPeer::Member(member(9)),
        messages: vec![RelayMessage::Request { known_version }],
    };

    assert_eq!(
        kinds(&publisher.on_envelope(now, request(0))),
        ["heartbeat", "snapshot"]
    );
    assert_eq!(
        kinds(&publisher.on_envelope(now, request(5))),
        ["heartbeat"]
    );
}
