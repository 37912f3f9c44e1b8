//! The gate as a process: its listeners, its readiness, and its end.

use super::passing;
use super::relay::{Relay, RelayStatus};
use crate::control_plane::ControlPlaneClient;
use crate::process;
use http::{Method, StatusCode};
use serde::Serialize;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use streamusher_protocol::config::Limits;
use streamusher_protocol::internal::{ClusterView, GATE_PORT_OFFSET, RELAY_PATH};
use streamusher_protocol::Millis;
use streamusher_runtime::http::{text, Request, Response, ServerHandle, ServerLimits};
use streamusher_runtime::logs::{self, LastError};
use streamusher_runtime::settings::{self, ProcessSettings};
use streamusher_runtime::signals::{Signal, Signals};

/// What the platform asks each second.
pub const READINESS_PATH: &str = "/streamusher/readiness";

/// The gate is ready while its primary answered within this span.
const FRESH_MS: Millis = 1_500;

/// From SIGTERM on: the platform misses two of its checks, one a second, and sends no new clients.
const LEAVE_AFTER: Duration = Duration::from_millis(2_000);

/// From SIGTERM on: clients that were sent before the second miss have arrived.
const CLOSE_AFTER: Duration = Duration::from_millis(3_500);

/// Kept of `grace_s` for the end itself.
const BEFORE_KILL: Duration = Duration::from_millis(500);

/// Descriptors that are not for clients: the platform's 200, and this process's own calls and listeners.
const OWN_DESCRIPTORS: u64 = 300;

/// Kept to each core machine: clients' calls come several at once.
const RESTING_CONNECTIONS: usize = 8;

/// Longest body, whatever the configuration allows: a gate has little memory, and the primary takes no more.
const MOST_BODY: u64 = 8 << 20;

/// Longest head, whatever the configuration allows: each connection may hold one.
const MOST_HEADER: u64 = 1 << 20;

/// Relay messages hold whole configurations with thousands of routes.
const INTERNAL_LIMITS: ServerLimits = ServerLimits {
    max_body: 16 << 20,
    max_header: 8_192,
    body_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(10),
    max_connections: 32,
};

/// The platform's question: nothing but a head.
const READINESS_LIMITS: ServerLimits = ServerLimits {
    max_body: 1_024,
    max_header: 8_192,
    body_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(30),
    max_connections: 32,
};

/// Checks that the settings are those of a gate.
///
/// # Errors
/// The message names key, value and remedy.
pub fn check(settings: &ProcessSettings) -> Result<(), String> {
    if !settings.serves("front") {
        return Err(format!(
            "key serves = {:?}: run the gate in a role that serves \"front\"",
            settings.serves
        ));
    }
    if settings.listen.front.is_none() {
        return Err("key listen.front is missing: give the address that clients call".to_owned());
    }
    if settings.listen.ready.is_none() {
        return Err(
            "key listen.ready is missing: give the address that the platform asks for readiness"
                .to_owned(),
        );
    }
    Ok(())
}

/// Runs the gate until SIGTERM, and then until its clients are served.
///
/// # Errors
/// The settings are not a gate's, an address can't be bound, or signals can't be heard.
pub async fn run(settings: ProcessSettings) -> anyhow::Result<()> {
    check(&settings).map_err(anyhow::Error::msg)?;
    let missing = || anyhow::anyhow!("no listen.front or listen.ready");
    let mut signals = Signals::new()?;
    let front = process::bind(
        settings.listen.front.ok_or_else(missing)?,
        client_limits(&settings, &Limits::default()),
    )
    .await?;
    let ready = process::bind(settings.listen.ready.ok_or_else(missing)?, READINESS_LIMITS).await?;
    let gate = Gate::new(&settings);
    gate.start(settings.internal_address(GATE_PORT_OFFSET));
    let member = gate.relay().clone();
    tokio::task::spawn_local(follow_limits(
        member.clone(),
        front.handle(),
        settings.clone(),
    ));
    tokio::task::spawn_local(async move { member.run().await });
    let asked = gate.clone();
    tokio::task::spawn_local(ready.run(move |call| std::future::ready(asked.readiness(&call))));
    let handle = front.handle();
    let serving = gate.clone();
    let served = tokio::task::spawn_local(front.run(move |call| serving.clone().answer(call)));
    log::info!("the gate takes clients");
    while signals.next().await? == Signal::Reload {
        gate.reload();
    }
    log::info!("the gate leaves");
    gate.leave();
    close(
        &handle,
        Duration::from_millis(settings.bounds.grace_ms()),
        served,
    )
    .await;
    Ok(())
}

/// Leaves without losing a request; ends before `grace` is over.
async fn close(handle: &ServerHandle, grace: Duration, served: tokio::task::JoinHandle<()>) {
    let end = grace.saturating_sub(BEFORE_KILL);
    let close_after = CLOSE_AFTER.min(end / 2);
    let leave_after = LEAVE_AFTER.min(close_after / 2);
    tokio::time::sleep(leave_after).await;
    handle.leave();
    tokio::time::sleep(close_after.saturating_sub(leave_after)).await;
    handle.close();
    if !process::at_most(end.saturating_sub(close_after), served).await {
        log::warn!("ended with requests under way: they took longer than the grace");
    }
}

/// Applies the limits of each configuration that comes. Never ends.
async fn follow_limits(relay: Relay, server: ServerHandle, settings: ProcessSettings) {
    loop {
        relay.changed().await;
        if let Some(configuration) = relay.configuration() {
            server.set_limits(client_limits(&settings, &configuration.limits));
        }
    }
}

fn client_limits(settings: &ProcessSettings, limits: &Limits) -> ServerLimits {
    let max_connections = settings.limits.connections(OWN_DESCRIPTORS);
    ServerLimits {
        max_body: limits.max_body_bytes.min(MOST_BODY) as usize,
        max_header: limits.max_header_bytes.min(MOST_HEADER) as usize,
        body_timeout: Duration::from_millis(limits.header_timeout_ms),
        idle_timeout: Duration::from_millis(limits.idle_timeout_ms),
        max_connections,
    }
}

/// The gate's shared state; clones share it.
#[derive(Clone)]
pub struct Gate {
    shared: Rc<Shared>,
}

struct Shared {
    link: ControlPlaneClient,
    relay: Relay,
    leaving: Cell<bool>,
    passed: Cell<u64>,
    refused: Cell<u64>,
}

#[derive(Serialize)]
struct Status {
    role: &'static str,
    ready: bool,
    leaving: bool,
    passed: u64,
    refused: u64,
    control_plane: ClusterView,
    last_error: Option<LastError>,
    relay: RelayStatus,
}

impl Gate {
    /// A gate that knows the settings' seeds; [`Gate::start`] makes it work.
    pub fn new(settings: &ProcessSettings) -> Gate {
        let link = ControlPlaneClient::new(
            settings.core_addresses_of_seeds(),
            process::random_number(),
            RESTING_CONNECTIONS,
        );
        Gate {
            shared: Rc::new(Shared {
                relay: Relay::new(link.clone(), settings.internal_address(GATE_PORT_OFFSET)),
                link,
                leaving: Cell::default(),
                passed: Cell::default(),
                refused: Cell::default(),
            }),
        }
    }

    /// Begins to look for the primary; serves status and relay messages at `address`. It becomes a member of the relay tree
    /// only by [`Relay::run`].
    pub fn start(&self, address: std::net::SocketAddr) {
        let link = self.shared.link.clone();
        tokio::task::spawn_local(async move { link.run().await });
        let gate = self.clone();
        tokio::task::spawn_local(gate.serve_internal(address));
    }

    async fn serve_internal(self, address: std::net::SocketAddr) {
        match process::bind(address, INTERNAL_LIMITS).await {
            Ok(server) => {
                server
                    .run(move |call| std::future::ready(self.internal(&call)))
                    .await
            }
            Err(error) => log::warn!("no internal interface: {error}"),
        }
    }

    /// Answers a call at the internal interface.
    pub fn internal(&self, call: &Request) -> Response {
        match call.uri().path() {
            RELAY_PATH => self.shared.relay.answer(call),
            _ => process::answer_status(call, || self.status()),
        }
    }

    /// The gate as a member of the relay tree.
    pub fn relay(&self) -> &Relay {
        &self.shared.relay
    }

    /// The link to the control plane.
    pub fn link(&self) -> &ControlPlaneClient {
        &self.shared.link
    }

    /// Answers a client.
    pub async fn answer(self, call: Request) -> Response {
        let answer = passing::pass(&self.shared.link, self.shared.relay.version(), &call).await;
        let refused = answer.status().is_server_error();
        let counter = if refused {
            &self.shared.refused
        } else {
            &self.shared.passed
        };
        counter.set(counter.get().saturating_add(1));
        answer
    }

    /// Answers the platform's question whether clients may be sent here.
    pub fn readiness(&self, call: &Request) -> Response {
        if call.method() != Method::GET || call.uri().path() != READINESS_PATH {
            return text(
                StatusCode::NOT_FOUND,
                format!("only GET {READINESS_PATH} is here\n"),
            );
        }
        match self.is_ready() {
            true => text(StatusCode::OK, "ready\n"),
            false => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        }
    }

    /// From now on the gate is not ready.
    pub fn leave(&self) {
        self.shared.leaving.set(true);
    }

    fn is_ready(&self) -> bool {
        !self.shared.leaving.get() && self.shared.link.is_fresh(FRESH_MS)
    }

    fn reload(&self) {
        settings::reload(|settings| {
            self.shared
                .link
                .set_seeds(settings.core_addresses_of_seeds())
        });
    }

    fn status(&self) -> Status {
        Status {
            role: "gate",
            ready: self.is_ready(),
            leaving: self.shared.leaving.get(),
            passed: self.shared.passed.get(),
            refused: self.shared.refused.get(),
            control_plane: self.shared.link.view(),
            last_error: logs::last_error(),
            relay: self.shared.relay.status(),
        }
    }
}
