//! `streamusher-data gate|agent`: the data plane's program.

use std::process::ExitCode;
use streamusher_dataplane::{agent_program, gate, process};
use streamusher_runtime::options::{self, Chosen, Invocation, Program, EXIT_MISUSE};
use streamusher_runtime::settings::{self, ProcessSettings};
use streamusher_runtime::{clock, logs};

const PROGRAM: Program = Program {
    name: "streamusher-data",
    summary: "The scheduler's data plane.",
    version: env!("CARGO_PKG_VERSION"),
    commands: &[
        ("gate", "takes clients' calls on front machines"),
        ("agent", "stands beside a worker on its side machine"),
    ],
};

fn main() -> ExitCode {
    clock::steady();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match options::parse(&PROGRAM, &arguments) {
        Ok(Invocation::Print(text)) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Invocation::Run(chosen)) => with_settings(chosen),
        Err(error) => misuse(&error.to_string()),
    }
}

fn with_settings(chosen: Chosen) -> ExitCode {
    logs::start(chosen.log_level);
    let settings = match settings::load() {
        Ok(settings) => settings,
        Err(error) => return misuse(&error.to_string()),
    };
    let is_gate = chosen.command == "gate";
    let checked = if is_gate {
        gate::check(&settings)
    } else {
        agent_program::check(&settings)
    };
    match checked {
        Err(reason) => misuse(&reason),
        Ok(()) if chosen.check => ExitCode::SUCCESS,
        Ok(()) => run(is_gate, settings),
    }
}

fn run(is_gate: bool, settings: ProcessSettings) -> ExitCode {
    let ended = match is_gate {
        true => process::run(gate::run(settings)),
        false => process::run(agent_program::run(settings)),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error:#}", PROGRAM.name);
            ExitCode::FAILURE
        }
    }
}

fn misuse(reason: &str) -> ExitCode {
    eprintln!("{}: {reason}", PROGRAM.name);
    ExitCode::from(EXIT_MISUSE as u8)
}
