//! The gate process: its listeners and its graceful shutdown.

use super::client_limits::{follow_configuration, server_limits};
use super::Gate;
use crate::process::{self, completes_within};
use crate::role_settings::{require_address, require_party, RoleSettingsError};
use std::net::SocketAddr;
use std::time::Duration;
use streamusher_protocol::config::Limits;
use streamusher_protocol::internal::GATE_PORT_OFFSET;
use streamusher_runtime::http::{ServerHandle, ServerLimits};
use streamusher_runtime::settings::ProcessSettings;
use streamusher_runtime::signals::{Signal, Signals};
use tokio::task::{spawn_local, JoinHandle};

/// Time from SIGTERM until responses carry `Connection: close`. In this time two of the platform's readiness
/// probes, sent once a second, fail, and the platform stops routing new clients to this gate.
const CONNECTION_CLOSE_DELAY: Duration = Duration::from_secs(2);

/// Time from SIGTERM until the gate stops accepting connections: clients routed here before the second failed
/// probe have connected by then.
const LISTENER_CLOSE_DELAY: Duration = Duration::from_millis(3_500);

/// Part of `grace_s` reserved for the exit of the process itself.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// Limits of the listener for readiness probes, which consist of a request header only.
const READINESS_SERVER_LIMITS: ServerLimits = ServerLimits {
    max_body_bytes: 1_024,
    max_header_bytes: 8_192,
    body_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(30),
    max_connections: 32,
};

/// Addresses at which a gate listens.
#[derive(Clone, Copy, Debug)]
struct GateAddresses {
    front: SocketAddr,
    readiness: SocketAddr,
}

impl GateAddresses {
    fn from_settings(settings: &ProcessSettings) -> Result<GateAddresses, RoleSettingsError> {
        require_party(settings, "gate", "front")?;
        let listen = &settings.listen;
        Ok(GateAddresses {
            front: require_address(listen.front, "listen.front", "clients call")?,
            readiness: require_address(
                listen.ready,
                "listen.ready",
                "the platform asks for readiness",
            )?,
        })
    }
}

/// Checks that the settings are those of a gate.
///
/// # Errors
/// The role does not serve `front`, or `listen.front` or `listen.ready` is missing.
pub fn check(settings: &ProcessSettings) -> Result<(), RoleSettingsError> {
    GateAddresses::from_settings(settings).map(|_addresses| ())
}

/// Runs the gate until SIGTERM or SIGINT, and then until the requests of its clients are answered. SIGHUP
/// reloads the seeds.
///
/// # Errors
/// The settings are not a gate's, an address cannot be bound, or signals cannot be received.
pub async fn run(settings: ProcessSettings) -> anyhow::Result<()> {
    let addresses = GateAddresses::from_settings(&settings)?;
    let mut signals = Signals::new()?;
    let initial_limits = server_limits(&settings, &Limits::default());
    let front = process::bind(addresses.front, initial_limits).await?;
    let readiness = process::bind(addresses.readiness, READINESS_SERVER_LIMITS).await?;
    let grace = Duration::from_millis(settings.bounds.grace_ms());
    let gate = Gate::new(&settings);
    gate.start(settings.internal_address(GATE_PORT_OFFSET));
    start_relay(&gate, front.handle(), settings);
    let probed_gate = gate.clone();
    spawn_local(
        readiness.run(move |request| std::future::ready(probed_gate.respond_readiness(&request))),
    );
    let front_handle = front.handle();
    let handler = gate.clone();
    let serving = spawn_local(front.run(move |request| handler.clone().respond(request)));
    log::info!("gate started: accepting client requests");
    while signals.next().await? == Signal::Reload {
        gate.reload();
    }
    log::info!("shutting down: gate not ready, draining client connections");
    gate.begin_shutdown();
    shut_down(&front_handle, grace, serving).await;
    Ok(())
}

/// Joins the relay tree. The configurations received through it set the limits of the listener for clients.
fn start_relay(gate: &Gate, front: ServerHandle, settings: ProcessSettings) {
    let relay = gate.relay().clone();
    spawn_local(follow_configuration(relay.clone(), front, settings));
    spawn_local(async move { relay.run().await });
}

/// Closes the listener for clients without losing a request; returns before `grace` has elapsed.
async fn shut_down(front: &ServerHandle, grace: Duration, serving: JoinHandle<()>) {
    let deadline = grace.saturating_sub(EXIT_MARGIN);
    let listener_close_delay = LISTENER_CLOSE_DELAY.min(deadline / 2);
    let connection_close_delay = CONNECTION_CLOSE_DELAY.min(listener_close_delay / 2);
    tokio::time::sleep(connection_close_delay).await;
    front.leave();
    tokio::time::sleep(listener_close_delay.saturating_sub(connection_close_delay)).await;
    front.close();
    if !completes_within(deadline.saturating_sub(listener_close_delay), serving).await {
        log::warn!(
            "shutdown deadline reached with requests in flight: they took longer than grace_s"
        );
    }
}
