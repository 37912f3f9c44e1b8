//! A soak test of the whole system with real processes on loopback. Clients keep submitting jobs over
//! persistent connections, while overlapping disruptions terminate, kill, reload and restart processes, isolate
//! agents from the control machines and change the configuration. The exit code is 0 if each accepted job reached its expected state, no task ran
//! twice at once, and no process ended without a signal.
//!
//!     cargo run --profile system -p streamusher-controlplane --example soak -- --seed 7 --seconds 20
//!     --agents 6
//!
//! Linux only: each machine uses its own address in 127.0.0.0/8.

#[path = "../cluster/client.rs"]
mod client;
mod disruptions;
#[path = "../cluster/execution_log.rs"]
mod execution_log;
mod job_stream;
#[path = "../cluster/machine_process.rs"]
mod machine_process;
#[allow(dead_code, reason = "the example `cluster` uses the rest")]
#[path = "../cluster/machines.rs"]
mod machines;
mod options;
mod relays;
mod soak;
#[allow(dead_code, reason = "the example `cluster` uses all of it")]
#[path = "../cluster/worker.rs"]
mod worker;

use anyhow::Result;
use machines::Role;
use options::SoakOptions;
use std::process::ExitCode;
use streamusher_runtime::{clock, event_loop};

fn main() -> ExitCode {
    clock::steady();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let role = arguments
        .first()
        .and_then(|first| Role::from_argument(first));
    let ended = match role {
        Some(role) => machine_process::run(role),
        None => run_soak(&arguments),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("soak: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run_soak(arguments: &[String]) -> Result<()> {
    let options = SoakOptions::parse(arguments)?;
    event_loop::block_on(soak::run(options))
        .map_err(anyhow::Error::from)
        .flatten()
}
