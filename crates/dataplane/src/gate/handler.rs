//! A gate's state and its HTTP handlers: for clients, for the platform's readiness probe and for other
//! processes.

use super::forwarding;
use super::relay::RelayMember;
use super::status::GateStatus;
use crate::control_plane::ControlPlaneClient;
use crate::process;
use http::{Method, StatusCode};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use streamusher_protocol::internal::{GATE_PORT_OFFSET, RELAY_PATH};
use streamusher_protocol::Millis;
use streamusher_runtime::http::{text, Request, Response, ServerLimits};
use streamusher_runtime::logs;
use streamusher_runtime::settings::{self, ProcessSettings};

/// Path of the platform's readiness probe, which is sent once a second.
pub const READINESS_PATH: &str = "/streamusher/readiness";

/// Longest time since the primary's last response for which a gate is ready.
const MAX_PRIMARY_AGE_MS: Millis = 1_500;

/// Idle connections kept to each member: several client requests arrive at the same time.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Limits of the internal listener: messages of the relay tree carry whole configurations with thousands of
/// routes.
const INTERNAL_SERVER_LIMITS: ServerLimits = ServerLimits {
    max_body_bytes: 16 << 20,
    max_header_bytes: 8_192,
    body_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(10),
    max_connections: 32,
};

/// A gate. Clones share their state.
#[derive(Clone)]
pub struct Gate {
    shared: Rc<Shared>,
}

struct Shared {
    client: ControlPlaneClient,
    relay: RelayMember,
    is_shutting_down: Cell<bool>,
    forwarded: Cell<u64>,
    failed: Cell<u64>,
}

impl Gate {
    /// Creates a gate that knows only the seeds of the settings; [`Gate::start`] starts it.
    pub fn new(settings: &ProcessSettings) -> Gate {
        let client = ControlPlaneClient::new(
            settings.core_addresses_of_seeds(),
            process::random_number(),
            MAX_IDLE_CONNECTIONS,
        );
        let relay_address = settings.internal_address(GATE_PORT_OFFSET);
        let shared = Shared {
            relay: RelayMember::new(client.clone(), relay_address),
            client,
            is_shutting_down: Cell::default(),
            forwarded: Cell::default(),
            failed: Cell::default(),
        };
        Gate {
            shared: Rc::new(shared),
        }
    }

    /// Starts discovery of the primary, and serves the status document and relay messages at
    /// `internal_address`. Must be called within a `LocalSet`. The gate joins the relay tree only through
    /// [`RelayMember::run`].
    pub fn start(&self, internal_address: SocketAddr) {
        let client = self.shared.client.clone();
        tokio::task::spawn_local(async move { client.run().await });
        let gate = self.clone();
        tokio::task::spawn_local(gate.serve_internal(internal_address));
    }

    async fn serve_internal(self, address: SocketAddr) {
        let server = match process::bind(address, INTERNAL_SERVER_LIMITS).await {
            Ok(server) => server,
            Err(error) => {
                log::warn!("internal interface unavailable: {error}");
                return;
            }
        };
        server
            .run(move |request| std::future::ready(self.respond_internal(&request)))
            .await;
    }

    /// Handles a request of another process: a relay message or a request for the status document.
    pub fn respond_internal(&self, request: &Request) -> Response {
        match request.uri().path() {
            RELAY_PATH => self.shared.relay.respond(request),
            _ => process::respond_status(request, || self.status()),
        }
    }

    /// The gate as a member of the relay tree.
    pub fn relay(&self) -> &RelayMember {
        &self.shared.relay
    }

    /// The client for requests to the control plane's primary.
    pub fn control_plane(&self) -> &ControlPlaneClient {
        &self.shared.client
    }

    /// Handles a client's request by forwarding it to the primary.
    pub async fn respond(self, request: Request) -> Response {
        let configuration_version = self.shared.relay.version();
        let response =
            forwarding::forward(&self.shared.client, configuration_version, &request).await;
        let counter = if response.status().is_server_error() {
            &self.shared.failed
        } else {
            &self.shared.forwarded
        };
        counter.set(counter.get().saturating_add(1));
        response
    }

    /// Handles the platform's readiness probe: 200 if clients may be routed to this gate, otherwise 503.
    pub fn respond_readiness(&self, request: &Request) -> Response {
        if request.method() != Method::GET || request.uri().path() != READINESS_PATH {
            let body = format!("only GET {READINESS_PATH} is here\n");
            return text(StatusCode::NOT_FOUND, body);
        }
        if self.is_ready() {
            text(StatusCode::OK, "ready\n")
        } else {
            text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }

    /// Starts the shutdown: from now on the gate reports that it is not ready.
    pub fn begin_shutdown(&self) {
        self.shared.is_shutting_down.set(true);
    }

    /// Reloads the seeds from the settings file.
    pub fn reload(&self) {
        settings::reload(|settings| {
            let seeds = settings.core_addresses_of_seeds();
            self.shared.client.set_seeds(seeds);
        });
    }

    fn is_ready(&self) -> bool {
        !self.shared.is_shutting_down.get() && self.shared.client.is_fresh(MAX_PRIMARY_AGE_MS)
    }

    fn status(&self) -> GateStatus {
        GateStatus {
            role: "gate",
            ready: self.is_ready(),
            leaving: self.shared.is_shutting_down.get(),
            forwarded: self.shared.forwarded.get(),
            failed: self.shared.failed.get(),
            control_plane: self.shared.client.view(),
            last_error: logs::last_error(),
            relay: self.shared.relay.status(),
        }
    }
}
