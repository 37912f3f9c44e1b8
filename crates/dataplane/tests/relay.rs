//! Gates as members of the relay tree over loopback. A simulated primary runs the state machine of the tree's
//! root.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

#[path = "support/primary.rs"]
mod primary;

use http::StatusCode;
use primary::{request, run, settings, view};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use streamusher_configuration::relay::{
    ConfigurationPublisher, OutboundMessage, RelayEnvelope, RelayMessage, RelayPeer,
};
use streamusher_configuration::{PublishedConfiguration, PublishedUpdate};
use streamusher_dataplane::control_plane::ControlPlaneClient;
use streamusher_dataplane::gate::relay::RelayMember;
use streamusher_dataplane::gate::Gate;
use streamusher_protocol::internal::{
    ClusterView, NotPrimary, CLUSTER_PATH, GATE_LEASE_PATH, RELAY_PATH, STATUS_PATH,
};
use streamusher_runtime::clock;
use streamusher_runtime::http::{
    empty, json as json_response, parse_json, text, Outbox, Request, Response, Server,
    ServerHandle, ServerLimits,
};
use tokio::task::{spawn_local, JoinHandle};

/// Interval between ticks of the simulated primary's state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// A control machine that is the primary until [`ControlMachine::hand_over`].
#[derive(Clone)]
struct ControlMachine {
    address: SocketAddr,
    state: Rc<State>,
}

struct State {
    epoch: u64,
    publisher: RefCell<ConfigurationPublisher>,
    outbox: RefCell<Outbox<RelayMessage>>,
    successor: RefCell<Option<ClusterView>>,
}

impl ControlMachine {
    fn start(epoch: u64) -> ControlMachine {
        let server = Server::bind("127.0.0.1:0".parse().unwrap(), ServerLimits::default()).unwrap();
        let address = server.local_address().unwrap();
        let body = |messages| {
            serde_json::to_vec(&RelayEnvelope {
                sender: RelayPeer::Primary,
                messages,
            })
            .unwrap()
        };
        let state = State {
            epoch,
            publisher: RefCell::new(ConfigurationPublisher::new(epoch, clock::steady())),
            outbox: RefCell::new(Outbox::new(RELAY_PATH, body)),
            successor: RefCell::default(),
        };
        let machine = ControlMachine {
            address,
            state: Rc::new(state),
        };
        let serving = machine.clone();
        spawn_local(server.run(move |request| std::future::ready(serving.respond(&request))));
        let ticking = machine.clone();
        spawn_local(async move { ticking.tick().await });
        machine
    }

    async fn tick(&self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        while self.state.successor.borrow().is_none() {
            ticks.tick().await;
            let messages = self.state.publisher.borrow_mut().tick(clock::steady());
            self.send(messages);
        }
    }

    fn respond(&self, request: &Request) -> Response {
        let now = clock::steady();
        let successor = self.state.successor.borrow().clone();
        match (request.uri().path(), successor) {
            (CLUSTER_PATH, successor) => {
                let own = view(self.state.epoch, Some(self.address));
                json_response(StatusCode::OK, &successor.unwrap_or(own))
            }
            (_, Some(view)) => json_response(StatusCode::MISDIRECTED_REQUEST, &NotPrimary { view }),
            (GATE_LEASE_PATH, _) => {
                let lease = parse_json(request.body()).unwrap();
                json_response(
                    StatusCode::OK,
                    &self.state.publisher.borrow_mut().renew_lease(now, &lease),
                )
            }
            (RELAY_PATH, _) => {
                let envelope = parse_json(request.body()).unwrap();
                let messages = self.state.publisher.borrow_mut().on_envelope(now, envelope);
                self.send(messages);
                empty(StatusCode::NO_CONTENT)
            }
            _ => text(StatusCode::NOT_FOUND, "not found\n"),
        }
    }

    fn publish(&self, version: u64, update_of: Option<u64>) {
        let text = json!({"version": version, "limits": {"max_body_bytes": version}}).to_string();
        let update = json!({"version": version, "upsert": {"limits": {"max_body_bytes": version}}})
            .to_string();
        let update = update_of.map(|base_version| PublishedUpdate {
            base_version,
            text: update.into(),
        });
        let published = PublishedConfiguration {
            version,
            text: text.into(),
            update,
        };
        let messages = self.state.publisher.borrow_mut().publish(&published);
        self.send(messages);
    }

    fn hand_over(&self, to: &ControlMachine) {
        *self.state.successor.borrow_mut() = Some(view(to.state.epoch, Some(to.address)));
    }

    fn send(&self, messages: Vec<OutboundMessage>) {
        for outbound in messages {
            for receiver in &outbound.receivers {
                let RelayPeer::Member(address) = receiver else {
                    panic!("the primary sends to members only")
                };
                self.state
                    .outbox
                    .borrow_mut()
                    .send(address, outbound.message.clone());
            }
        }
    }
}

struct Member {
    relay: RelayMember,
    server: ServerHandle,
    running: JoinHandle<()>,
    newest: Cell<u64>,
}

impl Member {
    fn start(machine: &ControlMachine) -> Member {
        let server = Server::bind("127.0.0.1:0".parse().unwrap(), ServerLimits::default()).unwrap();
        let client =
            ControlPlaneClient::new(settings(machine.address).core_addresses_of_seeds(), 7, 2);
        let relay = RelayMember::new(client.clone(), server.local_address().unwrap());
        let handle = server.handle();
        let (serving, member) = (relay.clone(), relay.clone());
        spawn_local(server.run(move |request| std::future::ready(serving.respond(&request))));
        let running = spawn_local(async move {
            tokio::join!(client.run(), member.run());
        });
        Member {
            relay,
            server: handle,
            running,
            newest: Cell::new(0),
        }
    }

    /// Waits until the member has the version `wanted`, and checks that its version never decreases
    /// meanwhile.
    async fn wait_for_version(&self, wanted: u64) {
        while self.relay.version() < wanted {
            self.relay.changed().await;
            let version = self.relay.version();
            assert!(
                version >= self.newest.get(),
                "version decreased from {} to {version}",
                self.newest.get()
            );
            self.newest.set(version);
        }
        assert_eq!(
            self.relay
                .configuration()
                .map(|configuration| configuration.version),
            Some(wanted)
        );
    }

    fn status(&self) -> Value {
        serde_json::to_value(self.relay.status()).unwrap()
    }

    fn children(&self) -> usize {
        self.status()["told"].as_array().map_or(0, Vec::len)
    }

    /// Stops abruptly: the member neither responds to nor notifies any peer.
    fn stop_abruptly(&self) {
        self.server.close();
        self.running.abort();
    }
}

async fn wait_for_version(members: &[Member], version: u64) {
    for member in members {
        member.wait_for_version(version).await;
    }
}

/// Waits until all members know the membership that contains all of them.
async fn wait_for_membership(members: &[Member], machine: &ControlMachine) {
    let is_known = |member: &Member| {
        let publisher = machine.state.publisher.borrow();
        let membership = publisher.leases().membership();
        membership.is_some_and(|membership| {
            membership.members.len() == members.len()
                && member.status()["roster"] == membership.version
        })
    };
    while !members.iter().all(is_known) {
        tokio::task::yield_now().await;
    }
}

#[test]
fn published_changes_reach_all_gates() {
    run(async {
        let machine = ControlMachine::start(1);
        let members: Vec<Member> = (0..3).map(|_| Member::start(&machine)).collect();
        machine.publish(5, None);
        wait_for_version(&members, 5).await;
        wait_for_membership(&members, &machine).await;

        machine.publish(9, Some(5));

        wait_for_version(&members, 9).await;
        for member in &members {
            assert_eq!(member.status()["parent"], "Core");
            assert_eq!(
                member.relay.configuration().unwrap().limits.max_body_bytes,
                9
            );
        }
    });
}

#[test]
fn changes_reach_all_gates_after_an_inner_gate_fails() {
    run(async {
        let machine = ControlMachine::start(1);
        let mut members: Vec<Member> = (0..12).map(|_| Member::start(&machine)).collect();
        machine.publish(5, None);
        wait_for_version(&members, 5).await;
        wait_for_membership(&members, &machine).await;
        let inner = members
            .iter()
            .position(|member| member.children() >= 4)
            .expect("a member with at least 4 children");

        members.swap_remove(inner).stop_abruptly();
        machine.publish(9, Some(5));

        wait_for_version(&members, 9).await;
        wait_for_membership(&members, &machine).await;
        machine.publish(11, Some(9));
        wait_for_version(&members, 11).await;
    });
}

#[test]
fn gates_follow_a_new_primary_and_never_apply_an_older_version() {
    run(async {
        let first = ControlMachine::start(1);
        let members: Vec<Member> = (0..3).map(|_| Member::start(&first)).collect();
        first.publish(5, None);
        wait_for_version(&members, 5).await;
        wait_for_membership(&members, &first).await;

        let second = ControlMachine::start(2);
        second.publish(5, None);
        first.hand_over(&second);
        first.publish(3, None);
        second.publish(8, Some(5));

        wait_for_version(&members, 8).await;
        wait_for_membership(&members, &second).await;
        second.publish(12, None);
        wait_for_version(&members, 12).await;
    });
}

#[test]
fn malformed_relay_requests_are_rejected() {
    run(async {
        let machine = ControlMachine::start(1);
        let member = Member::start(&machine);

        let malformed = member
            .relay
            .respond(&request("POST", RELAY_PATH, "{\"from\":7}"));
        let wrong_method = member.relay.respond(&request("GET", RELAY_PATH, ""));

        assert_eq!(malformed.status(), StatusCode::BAD_REQUEST);
        assert_eq!(wrong_method.status(), StatusCode::METHOD_NOT_ALLOWED);
    });
}

#[test]
fn status_reports_the_position_in_the_relay_tree() {
    run(async {
        let machine = ControlMachine::start(1);
        let gate = Gate::new(&settings(machine.address));

        let status = gate.respond_internal(&request("GET", STATUS_PATH, ""));
        let elsewhere = gate.respond_internal(&request("GET", "/internal/other", ""));

        let status: Value = parse_json(status.body()).unwrap();
        assert_eq!(status["relay"]["parent"], "Core");
        assert_eq!(status["relay"]["configuration"], 0);
        assert_eq!(elsewhere.status(), StatusCode::NOT_FOUND);
    });
}
