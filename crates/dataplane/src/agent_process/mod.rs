//! The agent process: passes the worker's HTTP requests to the state machine and sends the agent's syncs to
//! the primary.

mod driver;
mod pending_requests;
mod sync;
mod worker_request;

pub use driver::AgentProcess;

use crate::process::{self, completes_within};
use crate::role_settings::{require_address, require_party, RoleSettingsError};
use std::net::SocketAddr;
use std::time::Duration;
use streamusher_protocol::internal::AGENT_PORT_OFFSET;
use streamusher_runtime::http::ServerLimits;
use streamusher_runtime::settings::ProcessSettings;
use streamusher_runtime::signals::{Signal, Signals};

/// Time allowed for responses in flight during shutdown. The worker's hold remains in force without this
/// process.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(250);

/// Limits of the listener for the worker: long lists of runs, few connections.
const WORKER_SERVER_LIMITS: ServerLimits = ServerLimits {
    max_body_bytes: 8 << 20,
    max_header_bytes: 8_192,
    body_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_mins(1),
    max_connections: 32,
};

/// Checks that the settings are those of an agent.
///
/// # Errors
/// The role does not serve `side`, or `listen.control` is missing.
pub fn check(settings: &ProcessSettings) -> Result<(), RoleSettingsError> {
    worker_address(settings).map(|_address| ())
}

/// Address to which the worker sends its heartbeats.
fn worker_address(settings: &ProcessSettings) -> Result<SocketAddr, RoleSettingsError> {
    require_party(settings, "agent", "side")?;
    require_address(
        settings.listen.control,
        "listen.control",
        "the machine's worker calls",
    )
}

/// Runs the agent until SIGTERM or SIGINT; SIGHUP reloads the seeds.
///
/// # Errors
/// The settings are not an agent's, the address cannot be bound, or signals cannot be received.
pub async fn run(settings: ProcessSettings) -> anyhow::Result<()> {
    let address = worker_address(&settings)?;
    let mut signals = Signals::new()?;
    let server = process::bind(address, WORKER_SERVER_LIMITS).await?;
    let agent = AgentProcess::new(&settings);
    agent.start(settings.internal_address(AGENT_PORT_OFFSET));
    let server_handle = server.handle();
    let handler = agent.clone();
    let serving =
        tokio::task::spawn_local(server.run(move |request| handler.clone().respond(request)));
    log::info!("agent started: accepting heartbeats");
    while signals.next().await? == Signal::Reload {
        agent.reload();
    }
    log::info!("shutting down: closing the agent's listener");
    agent.shut_down();
    server_handle.close();
    completes_within(SHUTDOWN_TIMEOUT, serving).await;
    Ok(())
}
