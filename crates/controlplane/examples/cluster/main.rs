//! A demonstration of the whole system on loopback: three control machines, two gates and three agents as
//! separate processes, with simulated workers. It applies a first configuration, submits jobs, cancels one,
//! kills the primary while tasks run, and prints every change. It ends by itself; the exit code is 0 if
//! everything went as expected.
//!
//!     cargo run --profile system -p streamusher-controlplane --example cluster
//!
//! Linux only: each machine uses its own address in 127.0.0.0/8. `STREAMUSHER_LOG=info` shows the logs of the
//! processes.

#[allow(dead_code, reason = "the example `soak` uses all of it")]
mod client;
mod execution_log;
mod machine_process;
#[allow(dead_code, reason = "the example `soak` uses all of it")]
mod machines;
mod scenario;
mod worker;

use anyhow::{bail, Result};
use machines::Role;
use std::process::ExitCode;
use std::time::Duration;
use streamusher_runtime::{clock, event_loop};

/// The scenario takes about 10 s; a busy machine may need longer.
const MAX_DURATION: Duration = Duration::from_secs(90);

fn main() -> ExitCode {
    clock::steady();
    let argument = std::env::args().nth(1);
    let ended = match argument.as_deref().map(Role::from_argument) {
        None => event_loop::block_on(run_scenario())
            .map_err(anyhow::Error::from)
            .flatten(),
        Some(Some(role)) => machine_process::run(role),
        Some(None) => Err(anyhow::anyhow!("the example takes no arguments")),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cluster: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run_scenario() -> Result<()> {
    match tokio::time::timeout(MAX_DURATION, scenario::run()).await {
        Ok(ended) => ended,
        Err(_) => bail!("the scenario took longer than {} s", MAX_DURATION.as_secs()),
    }
}
