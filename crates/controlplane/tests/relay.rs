//! The primary of three control machines as the root of the relay tree, with members over loopback.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use http::StatusCode;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use streamusher_configuration::relay::{RelayEnvelope, RelayMessage};
use streamusher_protocol::config::{REPLACE_PATH, UPDATE_PATH};
use streamusher_protocol::internal::{
    GateLeaseRequest, GateLeaseResponse, GATE_LEASE_PATH, RELAY_PATH,
};
use streamusher_runtime::http::{empty, parse_json, Request, Server, ServerLimits};
use support::cluster::{body_text, is_ok, run_bounded, Cluster};
use tokio::sync::Notify;

const MAX_WAIT: Duration = Duration::from_mins(1);

/// A member of the relay tree that records the messages it receives.
struct Member {
    address: SocketAddr,
    received: Rc<RefCell<Vec<RelayMessage>>>,
    notify: Rc<Notify>,
}

impl Member {
    fn start() -> Member {
        let server = Server::bind("127.0.0.1:0".parse().unwrap(), ServerLimits::default()).unwrap();
        let address = server.local_address().unwrap();
        let received: Rc<RefCell<Vec<RelayMessage>>> = Rc::default();
        let notify = Rc::new(Notify::new());
        let (messages, notify_test) = (Rc::clone(&received), Rc::clone(&notify));
        tokio::task::spawn_local(server.run(move |request: Request| {
            let envelope: RelayEnvelope = parse_json(request.body()).unwrap();
            assert_eq!(request.uri().path(), RELAY_PATH);
            messages.borrow_mut().extend(envelope.messages);
            notify_test.notify_one();
            std::future::ready(empty(StatusCode::NO_CONTENT))
        }));
        Member {
            address,
            received,
            notify,
        }
    }

    fn lease_request(&self, membership_version: u64) -> GateLeaseRequest {
        GateLeaseRequest {
            address: self.address.to_string().into(),
            membership_version,
        }
    }

    /// Waits until a message that satisfies `expected` has been received.
    async fn wait_for_message(&self, expected: impl Fn(&RelayMessage) -> bool) {
        let waiting = async {
            while !self.received.borrow().iter().any(&expected) {
                self.notify.notified().await;
            }
        };
        tokio::time::timeout(MAX_WAIT, waiting)
            .await
            .expect("the expected message was not received in time");
    }
}

fn is_snapshot(expected: u64) -> impl Fn(&RelayMessage) -> bool {
    move |message| matches!(message, RelayMessage::Snapshot { version, .. } if *version == expected)
}

fn is_delta(expected: u64) -> impl Fn(&RelayMessage) -> bool {
    move |message| match message {
        RelayMessage::Deltas(changes) => changes
            .last()
            .is_some_and(|change| change.version == expected),
        _ => false,
    }
}

fn is_heartbeat(expected: u64) -> impl Fn(&RelayMessage) -> bool {
    move |message| matches!(message, RelayMessage::Heartbeat { version, .. } if *version == expected)
}

/// Renews a member's lease until the membership in the response contains it.
async fn join(cluster: &mut Cluster, member: &Member, roster: u64) -> GateLeaseResponse {
    let address = member.address.to_string();
    let response = cluster
        .post_until(GATE_LEASE_PATH, &member.lease_request(roster), |response| {
            let lease = parse_json::<GateLeaseResponse>(response.body()).unwrap_or_default();
            let members = lease.members.unwrap_or_default();
            members.iter().any(|member| **member == *address)
        })
        .await;
    parse_json(response.body()).unwrap()
}

async fn replace(cluster: &mut Cluster, base: &str, version: u64) {
    let primary = cluster.primary().await;
    let body = json!({"version": version, "routes": [], "services": []}).to_string();
    let response = cluster
        .operator_request(primary, REPLACE_PATH, Some(base), &body)
        .await;
    assert!(is_ok(&response), "{}", body_text(&response));
}

#[test]
fn member_gets_whole_configuration_first_and_then_changes() {
    run_bounded(async {
        let mut cluster = Cluster::start().await;
        let member = Member::start();
        let lease = join(&mut cluster, &member, 0).await;
        assert_eq!(lease.configuration_version, 0);

        replace(&mut cluster, "0", 5).await;
        member.wait_for_message(is_snapshot(5)).await;
        let primary = cluster.primary().await;
        let update = cluster
            .operator_request(primary, UPDATE_PATH, Some("5"), r#"{"version":8}"#)
            .await;

        assert!(is_ok(&update));
        member.wait_for_message(is_delta(8)).await;
        let response = cluster
            .post(
                primary,
                GATE_LEASE_PATH,
                &member.lease_request(lease.membership_version),
            )
            .await;
        let renewed: GateLeaseResponse = parse_json(response.body()).unwrap();
        assert_eq!((renewed.configuration_version, renewed.members), (8, None));
    });
}

#[test]
fn new_primary_has_newer_membership_and_sends_committed_configuration() {
    run_bounded(async {
        let mut cluster = Cluster::start().await;
        let member = Member::start();
        let before = join(&mut cluster, &member, 0).await;
        replace(&mut cluster, "0", 5).await;
        member.wait_for_message(is_snapshot(5)).await;

        let former = cluster.primary().await;
        cluster.stop_machine(former).await;
        let new_member = Member::start();
        join(&mut cluster, &member, before.membership_version).await;
        let after = join(&mut cluster, &new_member, 0).await;

        assert!(after.membership_version > before.membership_version);
        assert_eq!(after.configuration_version, 5);
        new_member.wait_for_message(is_heartbeat(5)).await;
        let envelope = json!({"from": {"Member": new_member.address.to_string()}, "messages": [{"Ask": {"have": 0}}]});
        cluster
            .post_until(RELAY_PATH, &envelope, |response| {
                response.status() == StatusCode::NO_CONTENT
            })
            .await;
        new_member.wait_for_message(is_snapshot(5)).await;
        replace(&mut cluster, "5", 9).await;
        member.wait_for_message(is_snapshot(9)).await;
        new_member.wait_for_message(is_snapshot(9)).await;
    });
}

#[test]
fn replica_names_the_primary_to_members() {
    run_bounded(async {
        let mut cluster = Cluster::start().await;
        let member = Member::start();
        let primary = cluster.primary().await;
        let other = (primary + 1) % 3;
        let envelope = json!({"from": {"Member": member.address.to_string()}, "messages": []});

        let lease = cluster
            .post(other, GATE_LEASE_PATH, &member.lease_request(0))
            .await;
        let relay = cluster.post(other, RELAY_PATH, &envelope).await;
        let malformed = cluster
            .post(primary, GATE_LEASE_PATH, &json!({"address": 7}))
            .await;

        for response in [lease, relay] {
            assert_eq!(response.status(), StatusCode::MISDIRECTED_REQUEST);
            let body: Value = parse_json(response.body()).unwrap();
            assert_eq!(
                body["view"]["primary"]["internal"],
                cluster.internal(primary).to_string()
            );
        }
        assert_eq!(malformed.status(), StatusCode::BAD_REQUEST);
    });
}
