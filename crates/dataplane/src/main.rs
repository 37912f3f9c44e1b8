//! The binary `streamusher-data`: the command `gate` runs on front machines, the command `agent` beside a
//! worker.
//!
//! Exit codes: 0 after SIGTERM or SIGINT and if a check accepts the settings, 1 for a failure while running,
//! 2 for an invalid command line or invalid settings.

use std::process::ExitCode;
use streamusher_dataplane::role_settings::RoleSettingsError;
use streamusher_dataplane::{agent_process, gate, process};
use streamusher_runtime::options::{
    self, CommandDescription, ParsedCommandLine, ProgramDescription, RunOptions, EXIT_MISUSE,
};
use streamusher_runtime::settings::{self, ProcessSettings};
use streamusher_runtime::{clock, logs};

const GATE_COMMAND: &str = "gate";
const AGENT_COMMAND: &str = "agent";

const PROGRAM: ProgramDescription = ProgramDescription {
    name: "streamusher-data",
    summary: "The scheduler's data plane.",
    version: env!("CARGO_PKG_VERSION"),
    commands: &[
        CommandDescription {
            name: GATE_COMMAND,
            summary: "accepts clients' requests on front machines",
        },
        CommandDescription {
            name: AGENT_COMMAND,
            summary: "runs beside a worker on its side machine",
        },
    ],
};

fn main() -> ExitCode {
    clock::steady();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match options::parse(&PROGRAM, &arguments) {
        Ok(ParsedCommandLine::Print(text)) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Ok(ParsedCommandLine::Run(options)) => check_and_run(options),
        Err(error) => exit_with_misuse(&error),
    }
}

/// Process that a command starts.
#[derive(Clone, Copy)]
enum Role {
    Gate,
    Agent,
}

impl Role {
    fn from_command(command: Option<&str>) -> Role {
        match command {
            Some(GATE_COMMAND) => Role::Gate,
            _ => Role::Agent,
        }
    }

    fn check(self, settings: &ProcessSettings) -> Result<(), RoleSettingsError> {
        match self {
            Role::Gate => gate::check(settings),
            Role::Agent => agent_process::check(settings),
        }
    }

    fn run(self, settings: ProcessSettings) -> anyhow::Result<()> {
        match self {
            Role::Gate => process::run(gate::run(settings)),
            Role::Agent => process::run(agent_process::run(settings)),
        }
    }
}

fn check_and_run(options: RunOptions) -> ExitCode {
    logs::start(options.log_level);
    let settings = match settings::load() {
        Ok(settings) => settings,
        Err(error) => return exit_with_misuse(&error),
    };
    let role = Role::from_command(options.command);
    match role.check(&settings) {
        Err(error) => exit_with_misuse(&error),
        Ok(()) if options.check => ExitCode::SUCCESS,
        Ok(()) => run(role, settings),
    }
}

fn run(role: Role, settings: ProcessSettings) -> ExitCode {
    match role.run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error:#}", PROGRAM.name);
            ExitCode::FAILURE
        }
    }
}

fn exit_with_misuse(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("{}: {error}", PROGRAM.name);
    ExitCode::from(EXIT_MISUSE)
}
