//! Gates as members of the relay tree over loopback, with the root's state machine at a stand-in for the primary.

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

/// Interval of the ticks of the stand-in's state machine.
const TICK: Duration = Duration::from_millis(20);

/// A control machine that is the primary until it hands over.
#[derive(Clone)]
struct ControlMachine {
    address: SocketAddr,
    state: Rc<State>,
}

struct State {
    epoch: u64,
    distribution: RefCell<ConfigurationPublisher>,
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
            distribution: RefCell::new(ConfigurationPublisher::new(epoch, clock::steady())),
            outbox: RefCell::new(Outbox::new(RELAY_PATH, body)),
            successor: RefCell::default(),
        };
        let core = ControlMachine {
            address,
            state: Rc::new(state),
        };
        let serving = core.clone();
        spawn_local(server.run(move |request| std::future::ready(serving.respond(&request))));
        let ticking = core.clone();
        spawn_local(async move { ticking.tick().await });
        core
    }

    async fn tick(&self) {
        let mut ticks = tokio::time::interval(TICK);
        while self.state.successor.borrow().is_none() {
            ticks.tick().await;
            let sends = self.state.distribution.borrow_mut().tick(clock::steady());
            self.send(sends);
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
                    &self
                        .state
                        .distribution
                        .borrow_mut()
                        .renew_lease(now, &lease),
                )
            }
            (RELAY_PATH, _) => {
                let envelope = parse_json(request.body()).unwrap();
                let sends = self
                    .state
                    .distribution
                    .borrow_mut()
                    .on_envelope(now, envelope);
                self.send(sends);
                empty(StatusCode::NO_CONTENT)
            }
            _ => text(StatusCode::NOT_FOUND, "not here\n"),
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
        let sends = self.state.distribution.borrow_mut().publish(&published);
        self.send(sends);
    }

    fn hand_over(&self, to: &ControlMachine) {
        *self.state.successor.borrow_mut() = Some(view(to.state.epoch, Some(to.address)));
    }

    fn send(&self, sends: Vec<OutboundMessage>) {
        for send in sends {
            for to in &send.receivers {
                let RelayPeer::Member(address) = to else {
                    panic!("the core tells members only")
                };
                self.state
                    .outbox
                    .borrow_mut()
                    .send(address, send.message.clone());
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
    fn start(core: &ControlMachine) -> Member {
        let server = Server::bind("127.0.0.1:0".parse().unwrap(), ServerLimits::default()).unwrap();
        let client =
            ControlPlaneClient::new(settings(core.address).core_addresses_of_seeds(), 7, 2);
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

    /// Waits for a version; none that arrives meanwhile may be older than the one before.
    async fn until(&self, wanted: u64) {
        while self.relay.version() < wanted {
            self.relay.changed().await;
            let version = self.relay.version();
            assert!(
                version >= self.newest.get(),
                "from {} back to {version}",
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

    /// Ends as a process does: it neither answers nor tells anyone.
    fn die(&self) {
        self.server.close();
        self.running.abort();
    }
}

async fn all_have(members: &[Member], version: u64) {
    for member in members {
        member.until(version).await;
    }
}

/// Waits until all know the roster that names all of them.
async fn all_are_in(members: &[Member], core: &ControlMachine) {
    let is_known = |member: &Member| {
        let distribution = core.state.distribution.borrow();
        let roster = distribution.leases().membership();
        roster.is_some_and(|roster| {
            roster.members.len() == members.len() && member.status()["roster"] == roster.version
        })
    };
    while !members.iter().all(is_known) {
        tokio::task::yield_now().await;
    }
}

#[test]
fn published_changes_reach_all_gates() {
    run(async {
        let core = ControlMachine::start(1);
        let members: Vec<Member> = (0..3).map(|_| Member::start(&core)).collect();
        core.publish(5, None);
        all_have(&members, 5).await;
        all_are_in(&members, &core).await;

        core.publish(9, Some(5));

        all_have(&members, 9).await;
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
fn changes_get_past_a_dead_inner_gate() {
    run(async {
        let core = ControlMachine::start(1);
        let mut members: Vec<Member> = (0..12).map(|_| Member::start(&core)).collect();
        core.publish(5, None);
        all_have(&members, 5).await;
        all_are_in(&members, &core).await;
        let inner = members
            .iter()
            .position(|member| member.children() >= 4)
            .expect("an inner member");

        members.swap_remove(inner).die();
        core.publish(9, Some(5));

        all_have(&members, 9).await;
        all_are_in(&members, &core).await;
        core.publish(11, Some(9));
        all_have(&members, 11).await;
    });
}

#[test]
fn gates_follow_a_new_primary_and_never_go_back() {
    run(async {
        let first = ControlMachine::start(1);
        let members: Vec<Member> = (0..3).map(|_| Member::start(&first)).collect();
        first.publish(5, None);
        all_have(&members, 5).await;
        all_are_in(&members, &first).await;

        let second = ControlMachine::start(2);
        second.publish(5, None);
        first.hand_over(&second);
        first.publish(3, None);
        second.publish(8, Some(5));

        all_have(&members, 8).await;
        all_are_in(&members, &second).await;
        second.publish(12, None);
        all_have(&members, 12).await;
    });
}

#[test]
fn malformed_relay_requests_are_rejected() {
    run(async {
        let core = ControlMachine::start(1);
        let member = Member::start(&core);

        let malformed = member
            .relay
            .respond(&request("POST", RELAY_PATH, "{\"from\":7}"));
        let wrong_method = member.relay.respond(&request("GET", RELAY_PATH, ""));

        assert_eq!(malformed.status(), StatusCode::BAD_REQUEST);
        assert_eq!(wrong_method.status(), StatusCode::METHOD_NOT_ALLOWED);
    });
}

#[test]
fn status_shows_the_place_in_the_tree() {
    run(async {
        let core = ControlMachine::start(1);
        let gate = Gate::new(&settings(core.address));

        let status = gate.respond_internal(&request("GET", STATUS_PATH, ""));
        let elsewhere = gate.respond_internal(&request("GET", "/internal/other", ""));

        let status: Value = parse_json(status.body()).unwrap();
        assert_eq!(status["relay"]["parent"], "Core");
        assert_eq!(status["relay"]["configuration"], 0);
        assert_eq!(elsewhere.status(), StatusCode::NOT_FOUND);
    });
}
