//! The whole system on loopback, for a look at it: three core machines, two gates and three agents as processes of their
//! own, with stand-in workers. A first configuration is given, jobs are handed in, one is cancelled, the primary is killed
//! while tasks run, and every change is printed. It ends by itself, with 0 where all went as it should.
//!
//!     cargo run --profile system -p streamusher-controlplane --example cluster
//!
//! Linux only, as each machine has an address of its own in 127.0.0.0/8. `STREAMUSHER_LOG=info` shows what the processes
//! log.

mod client;
mod machines;
mod story;
mod worker;

use anyhow::{bail, Result};
use machines::Part;
use std::process::ExitCode;
use std::time::Duration;
use streamusher_dataplane::{agent_process, gate, process};
use streamusher_runtime::{clock, logs, runtime, settings};

/// The story takes some ten seconds; a busy machine may need longer.
const LONGEST: Duration = Duration::from_secs(90);

fn main() -> ExitCode {
    clock::steady();
    let argument = std::env::args().nth(1);
    let ended = match argument.as_deref().map(Part::from_argument) {
        None => runtime::block_on(bounded_story())
            .map_err(anyhow::Error::from)
            .flatten(),
        Some(Some(part)) => run_part(part),
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

/// One machine's process: the example starts itself for each.
fn run_part(part: Part) -> Result<()> {
    logs::start(None);
    let settings = settings::load()?;
    match part {
        Part::Control => Ok(streamusher_controlplane::process::run(&settings, None)?),
        Part::Gate => process::run(gate::run(settings)),
        Part::Agent => process::run(agent_process::run(settings)),
    }
}

async fn bounded_story() -> Result<()> {
    match tokio::time::timeout(LONGEST, story::tell()).await {
        Ok(ended) => ended,
        Err(_) => bail!("the story took longer than {} s", LONGEST.as_secs()),
    }
}
