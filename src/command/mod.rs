//! The command line. `streamusher` without a command starts exactly as the platform starts it.

mod ledger;
mod report;
mod servers;
mod table;

use crate::config::operators::OperatorsConfig;
use crate::config::Config;
use crate::program::log;
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

/// Reason why a command did not succeed, which determines the exit code.
pub(crate) enum Failure {
    /// Something could not be read, written or used: exit code 1.
    Error(String),
    /// Invalid arguments or a request for help, reported in clap's words: exit code 2 or 0.
    Usage(clap::Error),
    /// A check has findings, which have been printed: exit code 3.
    Findings,
}

impl<E: std::fmt::Display> From<E> for Failure {
    fn from(error: E) -> Failure {
        Failure::Error(error.to_string())
    }
}

/// A job dispatcher that sits beside each client process.
///
/// Without a command it starts as the platform starts it, from the JSON file that NODE_CONFIG names.
#[derive(Parser)]
#[command(name = "streamusher", version, args_conflicts_with_subcommands = true, after_help = EXIT_CODES)]
struct CommandLine {
    /// Serve the DRMAA front configured in this file.
    #[arg(long, value_name = "FILE")]
    drmaa: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

const EXIT_CODES: &str =
    "Exit codes: 0 success, 1 the command failed, 2 invalid arguments, 3 a check has findings.";

#[derive(Subcommand)]
enum Command {
    /// Serve, with the subsystems that the operators' file enables.
    Run(Run),
    /// Show and correct the usage ledger, close and export its periods, reconcile exports.
    Ledger(ledger::Ledger),
    /// Check, show, compare and convert worker inventories.
    Servers(servers::Servers),
}

#[derive(Args)]
struct Run {
    /// The operators' file.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
}

/// Runs the program with these arguments.
pub(crate) fn main(arguments: impl Iterator<Item = String>) -> Result<(), Failure> {
    let name = std::iter::once("streamusher".to_string());
    let line = CommandLine::try_parse_from(name.chain(arguments)).map_err(Failure::Usage)?;
    let env = |name: &str| std::env::var(name).ok();
    match line.command {
        None => {
            let config = Config::load(env, line.drmaa.as_deref())?;
            Ok(crate::runtime::run(config, log())?)
        }
        Some(Command::Run(run)) => {
            let mut config = Config::load(env, None)?;
            if let Some(file) = run.config {
                OperatorsConfig::load(&file, &config.known_names())?.apply_to(&mut config);
            }
            Ok(crate::runtime::run(config, log())?)
        }
        Some(Command::Ledger(ledger)) => ledger.run(),
        Some(Command::Servers(servers)) => servers.run(),
    }
}
