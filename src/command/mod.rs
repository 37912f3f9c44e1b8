//! The command line. `streamusher` alone is the platform's start, to the letter.

mod ledger;
mod report;
mod servers;
mod table;

use crate::config::operators::OperatorsConfig;
use crate::config::Config;
use crate::program::log;
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

/// What went wrong, and the exit code that says so.
pub(crate) enum Failure {
    /// Something could not be read, written or used: 1.
    Error(String),
    /// The arguments are off, or help was asked for: clap's own words, and 2 or 0.
    Usage(clap::Error),
    /// What was checked has findings, which are printed: 3.
    Findings,
}

impl<E: std::fmt::Display> From<E> for Failure {
    fn from(e: E) -> Failure {
        Failure::Error(e.to_string())
    }
}

/// A job dispatcher that sits beside each client process.
///
/// Without a command it starts as the platform starts it: from the JSON file that NODE_CONFIG names.
#[derive(Parser)]
#[command(name = "streamusher", version, args_conflicts_with_subcommands = true, after_help = CODES)]
struct Line {
    /// Serve the DRMAA front that this file names.
    #[arg(long, value_name = "FILE")]
    drmaa: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

const CODES: &str =
    "Exit codes: 0 done, 1 it could not be done, 2 the arguments are off, 3 a check has findings.";

#[derive(Subcommand)]
enum Command {
    /// Serve, with the subsystems that the operators' file turns on.
    Run(Run),
    /// Look at the ledger of use, correct it, close and export its periods, reconcile exports.
    Ledger(ledger::Ledger),
    /// Check, show, compare and convert inventories of workers.
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
    let line = Line::try_parse_from(name.chain(arguments)).map_err(Failure::Usage)?;
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
