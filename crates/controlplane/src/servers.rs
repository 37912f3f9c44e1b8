//! The HTTP servers of a control machine, for the internal interface and the control interface.

use crate::control_machine::ControlMachine;
use crate::machine_settings::MachineSettings;
use crate::{control_api, internal_api};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use streamusher_runtime::http::{Server, ServerHandle, ServerLimits};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout};

/// Number of attempts to bind an address: the previous process may still be closing its socket.
const BIND_ATTEMPTS: u32 = 20;
const BIND_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long in-progress responses may take after the servers are closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of connections to the control interface, from operators and from redirected workers.
pub(crate) const MAX_CONTROL_CONNECTIONS: usize = 256;
/// Maximum length of a request body, in bytes. A snapshot is sent in parts, but a configuration with
/// thousands of routes in one body.
const MAX_BODY_BYTES: usize = 16 << 20;

/// A listen address cannot be bound.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen at {address}: free the port")]
pub struct BindError {
    /// The address that cannot be bound.
    pub address: SocketAddr,
    source: io::Error,
}

struct RunningServer {
    handle: ServerHandle,
    task: JoinHandle<()>,
}

/// The two running servers.
pub(crate) struct Servers {
    internal: RunningServer,
    control: RunningServer,
}

impl Servers {
    /// Binds both addresses and serves `machine`. Must be called within a `LocalSet`.
    pub(crate) async fn start(
        machine: &ControlMachine,
        settings: &MachineSettings,
        max_internal_connections: usize,
    ) -> Result<Servers, BindError> {
        let internal = bind(settings.internal_address, max_internal_connections).await?;
        let control = bind(settings.control_address, MAX_CONTROL_CONNECTIONS).await?;
        Ok(Servers {
            internal: serve_internal(internal, machine.clone()),
            control: serve_control(control, machine.clone(), settings),
        })
    }

    /// Makes every response carry `Connection: close`, so that its caller connects to another machine.
    pub(crate) fn begin_shutdown(&self) {
        self.internal.handle.leave();
        self.control.handle.leave();
    }

    /// Closes both servers; in-progress responses may complete within [`CLOSE_TIMEOUT`].
    pub(crate) async fn close(self) {
        self.internal.handle.close();
        self.control.handle.close();
        let all_closed = async {
            // A server task that panicked counts as closed.
            let _ = self.internal.task.await;
            let _ = self.control.task.await;
        };
        // A caller that keeps its connection busy must not delay the exit of the process.
        let _ = timeout(CLOSE_TIMEOUT, all_closed).await;
    }
}

fn serve_internal(server: Server, machine: ControlMachine) -> RunningServer {
    let handle = server.handle();
    let task =
        spawn_local(server.run(move |request| internal_api::serve(machine.clone(), request)));
    RunningServer { handle, task }
}

fn serve_control(
    server: Server,
    machine: ControlMachine,
    settings: &MachineSettings,
) -> RunningServer {
    let handle = server.handle();
    let own_address = settings.core_address().control;
    let task = spawn_local(
        server
            .run(move |request| control_api::serve(machine.clone(), own_address.clone(), request)),
    );
    RunningServer { handle, task }
}

async fn bind(address: SocketAddr, max_connections: usize) -> Result<Server, BindError> {
    let limits = ServerLimits {
        max_body_bytes: MAX_BODY_BYTES,
        max_connections,
        ..Default::default()
    };
    for _ in 1..BIND_ATTEMPTS {
        if let Ok(server) = Server::bind(address, limits.clone()) {
            return Ok(server);
        }
        sleep(BIND_RETRY_PAUSE).await;
    }
    Server::bind(address, limits).map_err(|source| BindError { address, source })
}
