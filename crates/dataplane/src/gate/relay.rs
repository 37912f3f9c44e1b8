//! The gate as a member of the relay tree: its lease at the primary, and its copy of the configuration.

use crate::control_plane::{ControlPlaneClient, RequestOutcome};
use http::{Method, StatusCode};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use streamusher_configuration::relay::{
    OutboundMessage, RelayActions, RelayEnvelope, RelayMembership, RelayMessage, RelayNode,
    RelayPeer, LEASE_RENEWAL,
};
use streamusher_protocol::config::Configuration;
use streamusher_protocol::internal::{
    GateLeaseRequest, GateLeaseResponse, GATE_LEASE_PATH, RELAY_PATH,
};
use streamusher_protocol::Millis;
use streamusher_runtime::clock;
use streamusher_runtime::http::{empty, parse_json, text, Outbox, Request, Response};
use tokio::sync::Notify;

/// As long as a client's call may wait: a primary that is slow is not thought lost for a lease.
const CORE_DEADLINE: Duration = Duration::from_millis(1_500);

/// A member of the relay tree; clones share it.
#[derive(Clone)]
pub struct Relay {
    shared: Rc<Shared>,
}

struct Shared {
    link: ControlPlaneClient,
    node: RefCell<RelayNode>,
    outbox: RefCell<Outbox<RelayMessage>>,
    configuration: RefCell<Option<Arc<Configuration>>>,
    /// A newer configuration has come.
    changed: Notify,
    /// The loop sleeps until then.
    planned: Cell<Millis>,
    /// The loop is to wake earlier.
    earlier: Notify,
}

/// State for operators.
#[derive(Serialize)]
pub struct RelayStatus {
    address: Arc<str>,
    configuration: u64,
    roster: u64,
    parent: Option<RelayPeer>,
    adopter: Option<RelayPeer>,
    told: Vec<RelayPeer>,
}

impl Relay {
    /// A member that others reach at `address`; [`Relay::run`] makes it one.
    pub fn new(link: ControlPlaneClient, address: SocketAddr) -> Relay {
        let address: Arc<str> = address.to_string().into();
        let from = RelayPeer::Member(address.clone());
        let body_of = move |messages| {
            body(&RelayEnvelope {
                from: from.clone(),
                messages,
            })
        };
        let shared = Shared {
            link,
            node: RefCell::new(RelayNode::new(address, clock::steady())),
            outbox: RefCell::new(Outbox::new(RELAY_PATH, body_of)),
            configuration: RefCell::default(),
            changed: Notify::new(),
            planned: Cell::new(Millis::MAX),
            earlier: Notify::new(),
        };
        Relay {
            shared: Rc::new(shared),
        }
    }

    /// The newest configuration that has come.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.shared.configuration.borrow().clone()
    }

    /// Its version; 0 for none.
    pub fn version(&self) -> u64 {
        self.shared.node.borrow().version()
    }

    /// Ends when a newer configuration has come.
    pub async fn changed(&self) {
        self.shared.changed.notified().await;
    }

    /// State for operators.
    pub fn status(&self) -> RelayStatus {
        let node = self.shared.node.borrow();
        RelayStatus {
            address: node.address().clone(),
            configuration: node.version(),
            roster: node.roster(),
            parent: node.parent().cloned(),
            adopter: node.adopter().cloned(),
            told: node.receivers().cloned().collect(),
        }
    }

    /// Answers a call at [`RELAY_PATH`].
    pub fn answer(&self, call: &Request) -> Response {
        if call.method() != Method::POST {
            return text(StatusCode::METHOD_NOT_ALLOWED, "use POST\n");
        }
        match parse_json::<RelayEnvelope>(call.body()) {
            Ok(envelope) => {
                for message in envelope.messages {
                    self.act(|node, now| node.receive(now, &envelope.from, message));
                }
                empty(StatusCode::NO_CONTENT)
            }
            Err(error) => text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        }
    }

    /// Renews the lease and does what is due. Never ends; within a `LocalSet`.
    pub async fn run(&self) {
        tokio::join!(self.keep_lease(), self.keep_time());
    }

    async fn keep_lease(&self) {
        loop {
            let far = tokio::time::Instant::now() + Duration::from_secs(3_600);
            let Some(target) = self.shared.link.wait_for_primary(far).await else {
                continue;
            };
            let lease = {
                let node = self.shared.node.borrow();
                GateLeaseRequest {
                    address: node.address().clone(),
                    membership_version: node.roster(),
                }
            };
            let outcome = self
                .shared
                .link
                .post(&target, GATE_LEASE_PATH, &lease, CORE_DEADLINE)
                .await;
            if let RequestOutcome::Responded(answer) = outcome {
                match parse_json::<GateLeaseResponse>(answer.body()) {
                    Ok(reply) => self.leased(reply),
                    Err(error) => log::debug!("the primary's answer to a lease: {error}"),
                }
            }
            tokio::time::sleep(Duration::from_millis(LEASE_RENEWAL)).await;
        }
    }

    fn leased(&self, reply: GateLeaseResponse) {
        let GateLeaseResponse {
            configuration_version,
            membership_version,
            members,
        } = reply;
        if let Some(members) = members {
            let roster = RelayMembership {
                version: membership_version,
                members,
            };
            self.act(|node, now| node.set_roster(now, &roster));
        }
        self.act(|node, now| node.heard_of(now, configuration_version));
    }

    async fn keep_time(&self) {
        loop {
            let due = self.shared.node.borrow().next_tick();
            self.shared.planned.set(due);
            // At least a millisecond, so that others get their turn whatever is due.
            let pause = Duration::from_millis(due.saturating_sub(clock::steady()).max(1));
            tokio::select! {
                () = self.shared.earlier.notified() => {}
                () = tokio::time::sleep(pause) => self.act(RelayNode::tick),
            }
        }
    }

    fn act(&self, change: impl FnOnce(&mut RelayNode, Millis) -> RelayActions) {
        let (actions, due) = {
            let mut node = self.shared.node.borrow_mut();
            let actions = change(&mut node, clock::steady());
            (actions, node.next_tick())
        };
        for send in actions.sends {
            self.send(send);
        }
        if let Some(configuration) = actions.configuration {
            log::info!("configuration {} has come", configuration.version);
            *self.shared.configuration.borrow_mut() = Some(configuration);
            self.shared.changed.notify_one();
        }
        if due < self.shared.planned.get() {
            self.shared.earlier.notify_one();
        }
    }

    fn send(&self, send: OutboundMessage) {
        for to in send.to {
            match to {
                RelayPeer::Member(address) => {
                    self.shared
                        .outbox
                        .borrow_mut()
                        .send(&address, send.message.clone());
                }
                RelayPeer::Core => self.send_to_core(send.message.clone()),
            }
        }
    }

    fn send_to_core(&self, message: RelayMessage) {
        let Some(target) = self.shared.link.primary() else {
            return;
        };
        let from = RelayPeer::Member(self.shared.node.borrow().address().clone());
        let link = self.shared.link.clone();
        tokio::task::spawn_local(async move {
            let envelope = RelayEnvelope {
                from,
                messages: vec![message],
            };
            // Its answer is a message of its own.
            let _ = link
                .post(&target, RELAY_PATH, &envelope, CORE_DEADLINE)
                .await;
        });
    }
}

fn body(envelope: &RelayEnvelope) -> Vec<u8> {
    serde_json::to_vec(envelope).unwrap_or_default()
}
