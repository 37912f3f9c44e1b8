//! The gate as a member of the relay tree, through which it receives the configuration.
//!
//! A member renews its lease at the primary. The response carries the version of the committed configuration
//! and, if it has changed, the membership. The state machine [`RelayNode`] derives the tree from that and
//! decides which messages to send to which peers. This module sends and receives the messages over HTTP and
//! runs the state machine's timer.

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
    RelayPeer, LEASE_RENEWAL_INTERVAL_MS,
};
use streamusher_protocol::config::Configuration;
use streamusher_protocol::internal::{
    GateLeaseRequest, GateLeaseResponse, GATE_LEASE_PATH, RELAY_PATH,
};
use streamusher_protocol::Millis;
use streamusher_runtime::clock;
use streamusher_runtime::http::{empty, parse_json, text, Outbox, Request, Response};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time-out of requests to the primary: as long as one attempt to forward a client's request, so that a slow
/// response to a lease renewal does not make the primary suspected.
const PRIMARY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest single wait for a primary; the next wait begins after it.
const PRIMARY_WAIT: Duration = Duration::from_hours(1);

/// Shortest sleep between two ticks, so that other tasks run even if a tick is always due.
const MIN_SLEEP_MS: Millis = 1;

/// A member of the relay tree. Clones share their state.
#[derive(Clone)]
pub struct RelayMember {
    shared: Rc<Shared>,
}

struct Shared {
    client: ControlPlaneClient,
    node: RefCell<RelayNode>,
    outbox: RefCell<Outbox<RelayMessage>>,
    configuration: RefCell<Option<Arc<Configuration>>>,
    /// Notified when a newer configuration has been received.
    configuration_changed: Notify,
    /// Time until which the timer sleeps.
    next_wakeup: Cell<Millis>,
    /// Notified when the timer must wake up before `next_wakeup`.
    earlier_wakeup: Notify,
}

/// The relay tree's section of a gate's status document.
#[derive(Serialize)]
pub struct RelayStatus {
    address: Arc<str>,
    #[serde(rename = "configuration")]
    configuration_version: u64,
    #[serde(rename = "roster")]
    membership_version: u64,
    parent: Option<RelayPeer>,
    #[serde(rename = "adopter")]
    temporary_parent: Option<RelayPeer>,
    #[serde(rename = "told")]
    children: Vec<RelayPeer>,
}

impl RelayMember {
    /// Creates a member that other members reach at `address`. It joins the relay tree through
    /// [`RelayMember::run`].
    pub fn new(client: ControlPlaneClient, address: SocketAddr) -> RelayMember {
        let address: Arc<str> = address.to_string().into();
        let sender = RelayPeer::Member(address.clone());
        let encode = move |messages| {
            let envelope = RelayEnvelope {
                sender: sender.clone(),
                messages,
            };
            serde_json::to_vec(&envelope).unwrap_or_default()
        };
        let shared = Shared {
            client,
            node: RefCell::new(RelayNode::new(address, clock::steady())),
            outbox: RefCell::new(Outbox::new(RELAY_PATH, encode)),
            configuration: RefCell::default(),
            configuration_changed: Notify::new(),
            next_wakeup: Cell::new(Millis::MAX),
            earlier_wakeup: Notify::new(),
        };
        RelayMember {
            shared: Rc::new(shared),
        }
    }

    /// The newest configuration received; `None` before the first.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.shared.configuration.borrow().clone()
    }

    /// Version of the newest configuration received; 0 before the first.
    pub fn version(&self) -> u64 {
        self.shared.node.borrow().version()
    }

    /// Completes when a newer configuration has been received.
    pub async fn changed(&self) {
        self.shared.configuration_changed.notified().await;
    }

    /// The relay tree's section of the status document.
    pub fn status(&self) -> RelayStatus {
        let node = self.shared.node.borrow();
        RelayStatus {
            address: node.address().clone(),
            configuration_version: node.version(),
            membership_version: node.membership_version(),
            parent: node.parent().cloned(),
            temporary_parent: node.temporary_parent().cloned(),
            children: node.receivers().cloned().collect(),
        }
    }

    /// Handles a request to [`RELAY_PATH`], which carries messages from another member or from the primary.
    pub fn respond(&self, request: &Request) -> Response {
        if request.method() != Method::POST {
            return text(StatusCode::METHOD_NOT_ALLOWED, "use POST\n");
        }
        match parse_json::<RelayEnvelope>(request.body()) {
            Ok(envelope) => {
                self.on_envelope(envelope);
                empty(StatusCode::NO_CONTENT)
            }
            Err(error) => text(StatusCode::BAD_REQUEST, format!("{error}\n")),
        }
    }

    fn on_envelope(&self, envelope: RelayEnvelope) {
        for message in envelope.messages {
            self.update(|node, now| node.on_message(now, &envelope.sender, message));
        }
    }

    /// Renews the lease and runs the state machine's timer. Never returns; must run within a `LocalSet`.
    pub async fn run(&self) {
        tokio::join!(self.renew_lease(), self.run_timer());
    }

    async fn renew_lease(&self) {
        loop {
            let deadline = Instant::now() + PRIMARY_WAIT;
            let Some(primary) = self.shared.client.wait_for_primary(deadline).await else {
                continue;
            };
            let request = self.lease_request();
            let outcome = self
                .shared
                .client
                .post(&primary, GATE_LEASE_PATH, &request, PRIMARY_TIMEOUT)
                .await;
            if let RequestOutcome::Responded(response) = outcome {
                match parse_json::<GateLeaseResponse>(response.body()) {
                    Ok(response) => self.on_lease_response(response),
                    Err(error) => log::debug!("malformed response to a gate lease: {error}"),
                }
            }
            tokio::time::sleep(Duration::from_millis(LEASE_RENEWAL_INTERVAL_MS)).await;
        }
    }

    fn lease_request(&self) -> GateLeaseRequest {
        let node = self.shared.node.borrow();
        GateLeaseRequest {
            address: node.address().clone(),
            membership_version: node.membership_version(),
        }
    }

    fn on_lease_response(&self, response: GateLeaseResponse) {
        if let Some(members) = response.members {
            let membership = RelayMembership {
                version: response.membership_version,
                members,
            };
            self.update(|node, now| node.set_membership(now, &membership));
        }
        self.update(|node, now| node.on_version_announced(now, response.configuration_version));
    }

    async fn run_timer(&self) {
        loop {
            let next_tick = self.shared.node.borrow().next_tick();
            self.shared.next_wakeup.set(next_tick);
            let sleep_ms = next_tick.saturating_sub(clock::steady()).max(MIN_SLEEP_MS);
            tokio::select! {
                () = self.shared.earlier_wakeup.notified() => {}
                () = tokio::time::sleep(Duration::from_millis(sleep_ms)) => {
                    self.update(RelayNode::tick);
                }
            }
        }
    }

    /// Applies `change` to the state machine and executes the resulting actions.
    fn update(&self, change: impl FnOnce(&mut RelayNode, Millis) -> RelayActions) {
        let (actions, next_tick) = {
            let mut node = self.shared.node.borrow_mut();
            let actions = change(&mut node, clock::steady());
            (actions, node.next_tick())
        };
        for outbound in actions.messages {
            self.send(&outbound);
        }
        if let Some(configuration) = actions.configuration {
            self.on_configuration(configuration);
        }
        if next_tick < self.shared.next_wakeup.get() {
            self.shared.earlier_wakeup.notify_one();
        }
    }

    fn on_configuration(&self, configuration: Arc<Configuration>) {
        log::info!("configuration {} received", configuration.version);
        *self.shared.configuration.borrow_mut() = Some(configuration);
        self.shared.configuration_changed.notify_one();
    }

    fn send(&self, outbound: &OutboundMessage) {
        for receiver in &outbound.receivers {
            let message = outbound.message.clone();
            match receiver {
                RelayPeer::Member(address) => {
                    self.shared.outbox.borrow_mut().send(address, message);
                }
                RelayPeer::Primary => self.send_to_primary(message),
            }
        }
    }

    fn send_to_primary(&self, message: RelayMessage) {
        let Some(primary) = self.shared.client.primary() else {
            return;
        };
        let address = self.shared.node.borrow().address().clone();
        let envelope = RelayEnvelope {
            sender: RelayPeer::Member(address),
            messages: vec![message],
        };
        let client = self.shared.client.clone();
        tokio::task::spawn_local(async move {
            // The response is ignored: the primary answers with a separate message.
            let _ = client
                .post(&primary, RELAY_PATH, &envelope, PRIMARY_TIMEOUT)
                .await;
        });
    }
}
