//! Discovery in virtual time: which member is the primary, and which addresses to probe.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use std::sync::Arc;
use streamusher_dataplane::control_plane::PrimaryDiscovery;
use streamusher_protocol::internal::{ClusterView, CoreAddress};
use streamusher_protocol::Millis;

fn core_address(number: u8) -> CoreAddress {
    CoreAddress {
        internal: format!("10.0.0.{number}:7300").into(),
        control: format!("10.0.0.{number}:8100").into(),
    }
}

fn internal(number: u8) -> Arc<str> {
    core_address(number).internal
}

fn view(epoch: u64, primary: Option<u8>, members: &[u8]) -> ClusterView {
    ClusterView {
        epoch,
        primary: primary.map(core_address),
        members: members.iter().map(|number| core_address(*number)).collect(),
    }
}

fn discovery() -> PrimaryDiscovery {
    PrimaryDiscovery::new(vec![core_address(1), core_address(2), core_address(3)], 42)
}

/// All addresses probed from `from` to `end` while every probe fails.
fn probed_until(discovery: &mut PrimaryDiscovery, from: Millis, end: Millis) -> Vec<Arc<str>> {
    let mut probed = Vec::new();
    let mut now = from;
    while now <= end {
        for address in discovery.take_due_probes(now) {
            discovery.on_request_failed(now, &address);
            probed.push(address);
        }
        now = discovery.next_probe_at().max(now + 1);
    }
    probed
}

#[test]
fn several_seeds_are_probed_at_once_at_the_start() {
    let mut discovery = discovery();

    let probed = discovery.take_due_probes(0);

    assert_eq!(probed.len(), 3);
    assert!(discovery.primary().is_none());
}

#[test]
fn primary_and_members_of_a_view_are_followed() {
    let mut discovery = discovery();

    discovery.on_view(10, &internal(2), &view(4, Some(7), &[1, 2, 7]));

    assert_eq!(discovery.primary(), Some(&core_address(7)));
    assert!(discovery.is_known(&internal(7)));
    assert!(!discovery.is_fresh(10, 1_500));
    assert_eq!(discovery.take_due_probes(10_000), [internal(7)]);
}

#[test]
fn own_view_of_the_primary_makes_it_fresh() {
    let mut discovery = discovery();

    discovery.on_view(100, &internal(1), &view(0, Some(1), &[1, 2, 3]));

    assert!(discovery.is_fresh(1_600, 1_500));
    assert!(!discovery.is_fresh(1_601, 1_500));
    assert!(discovery.take_due_probes(500).is_empty());
}

#[test]
fn suspicion_is_cleared_by_the_primary_itself_only() {
    let mut discovery = discovery();
    discovery.on_view(0, &internal(1), &view(3, Some(1), &[1, 2, 3]));

    discovery.on_request_failed(100, &internal(1));
    discovery.on_view(120, &internal(2), &view(3, Some(1), &[1, 2, 3]));
    let suspected = discovery.primary().cloned();
    discovery.on_view(140, &internal(1), &view(3, Some(1), &[1, 2, 3]));

    assert_eq!(suspected, None);
    assert_eq!(discovery.primary(), Some(&core_address(1)));
}

#[test]
fn primary_of_a_newer_epoch_replaces_a_suspected_one() {
    let mut discovery = discovery();
    discovery.on_view(0, &internal(1), &view(3, Some(1), &[1, 2, 3]));
    discovery.on_request_failed(100, &internal(1));

    discovery.on_view(400, &internal(3), &view(4, Some(2), &[2, 3]));

    assert_eq!(discovery.primary(), Some(&core_address(2)));
    assert_eq!(discovery.epoch(), 4);
}

#[test]
fn view_of_an_earlier_epoch_is_ignored() {
    let mut discovery = discovery();
    discovery.on_view(0, &internal(2), &view(4, Some(2), &[1, 2, 3]));

    discovery.on_view(10, &internal(1), &view(3, Some(1), &[1]));

    assert_eq!(discovery.primary(), Some(&core_address(2)));
    assert_eq!(discovery.members().len(), 3);
}

#[test]
fn rejection_with_a_newer_view_names_the_next_primary() {
    let mut discovery = discovery();
    discovery.on_view(0, &internal(1), &view(3, Some(1), &[1, 2, 3]));

    discovery.on_not_primary(100, &internal(1), &view(5, Some(2), &[1, 2, 3]));

    assert_eq!(discovery.primary(), Some(&core_address(2)));
}

#[test]
fn rejection_that_names_its_sender_leaves_it_suspected() {
    let mut discovery = discovery();
    discovery.on_view(0, &internal(1), &view(3, Some(1), &[1, 2, 3]));

    discovery.on_not_primary(100, &internal(1), &view(3, Some(1), &[1, 2, 3]));

    assert_eq!(discovery.primary(), None);
}

#[test]
fn members_and_seeds_are_probed_in_rounds_while_all_are_silent() {
    let mut discovery = discovery();
    discovery.on_view(0, &internal(8), &view(3, Some(8), &[7, 8]));
    discovery.on_request_failed(0, &internal(8));

    let probed = probed_until(&mut discovery, 0, 2_000);

    for number in [1, 2, 3, 7, 8] {
        assert!(probed.contains(&internal(number)), "{number}");
    }
    assert!(
        (10 * 3..=21 * 3).contains(&probed.len()),
        "{}",
        probed.len()
    );
}

#[test]
fn address_with_a_probe_in_flight_is_not_probed_again() {
    let mut discovery = discovery();

    let first = discovery.take_due_probes(0);
    let second = discovery.take_due_probes(1_000);

    assert_eq!(first.len(), 3);
    assert!(second.is_empty());
}

#[test]
fn responding_primary_is_not_probed() {
    let mut discovery = discovery();
    discovery.on_view(0, &internal(1), &view(0, Some(1), &[1, 2, 3]));

    let probed: usize = (1..20)
        .map(|step| {
            discovery.on_response(step * 350, &internal(1));
            discovery.take_due_probes(step * 350 + 349).len()
        })
        .sum();

    assert_eq!(probed, 0);
}

#[test]
fn replaced_seeds_are_probed() {
    let mut discovery = discovery();
    discovery.set_seeds(vec![core_address(9)]);

    assert_eq!(discovery.take_due_probes(0), [internal(9)]);
}

#[test]
fn nothing_is_probed_without_seeds() {
    let mut discovery = PrimaryDiscovery::new(Vec::new(), 1);

    assert!(discovery.take_due_probes(0).is_empty());
    assert!(discovery.next_probe_at() > 0);
}

#[test]
fn each_member_but_the_primary_is_watched_in_turn() {
    let mut discovery = discovery();
    assert_eq!(
        discovery.watch_target(),
        None,
        "no member is known before the first view"
    );
    discovery.on_view(0, &internal(1), &view(1, Some(1), &[1, 2, 3]));

    let first = discovery.watch_target();
    discovery.advance_watch_target();
    let second = discovery.watch_target();

    let mut watched = [first.unwrap(), second.unwrap()];
    watched.sort();
    assert_eq!(watched, [internal(2), internal(3)]);
}

#[test]
fn requests_are_superseded_only_once_another_primary_is_known() {
    let mut discovery = discovery();
    discovery.on_view(0, &internal(1), &view(1, Some(1), &[1, 2]));
    discovery.on_request_failed(10, &internal(1));
    assert!(!discovery.is_superseded(&internal(1)));

    discovery.on_view(20, &internal(2), &view(2, Some(2), &[1, 2]));

    assert!(discovery.is_superseded(&internal(1)));
    assert!(!discovery.is_superseded(&internal(2)));
}
