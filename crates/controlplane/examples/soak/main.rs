//! A soak of the whole system with real processes on loopback: clients keep submitting jobs over connections that stay
//! open, while processes are terminated, killed, reloaded and started again and the configuration changes, in series that
//! overlap. It ends with exit code 0 where each accepted job has succeeded, no task ran twice at once, and no process
//! ended by itself.
//!
//!     cargo run --profile system -p streamusher-controlplane --example soak -- --seed 7 --seconds 20 --agents 6
//!
//! Linux only, as each machine has an address of its own in 127.0.0.0/8.

#[path = "../cluster/client.rs"]
mod client;
mod disruptions;
#[path = "../cluster/execution_log.rs"]
mod execution_log;
mod job_stream;
#[allow(dead_code, reason = "the example `cluster` uses the rest")]
#[path = "../cluster/machines.rs"]
mod machines;
mod options;
mod soak;
#[allow(dead_code, reason = "the example `cluster` uses all of it")]
#[path = "../cluster/worker.rs"]
mod worker;

use anyhow::Result;
use machines::Role;
use options::SoakOptions;
use std::process::ExitCode;
use streamusher_dataplane::{agent_process, gate, process};
use streamusher_runtime::{clock, event_loop, logs, settings};

fn main() -> ExitCode {
    clock::steady();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let role = arguments
        .first()
        .and_then(|first| Role::from_argument(first));
    let ended = match role {
        Some(role) => run_process(role),
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

/// One machine's process: the example starts itself for each.
fn run_process(role: Role) -> Result<()> {
    logs::start(None);
    let settings = settings::load()?;
    match role {
        Role::Control => Ok(streamusher_controlplane::process::run(&settings, None)?),
        Role::Gate => process::run(gate::run(settings)),
        Role::Agent => process::run(agent_process::run(settings)),
    }
}

fn run_soak(arguments: &[String]) -> Result<()> {
    let options = SoakOptions::parse(arguments)?;
    event_loop::block_on(soak::run(options))
        .map_err(anyhow::Error::from)
        .flatten()
}
