//! Entry point of the program: arguments, configuration, log and exit code.

use crate::command::{self, Failure};
use slog::{o, Drain, Logger};
use std::process::ExitCode;

/// Creates a logger that writes one line per record to standard error.
pub fn log() -> Logger {
    let plain = slog_term::PlainSyncDecorator::new(std::io::stderr());
    Logger::root(slog_term::FullFormat::new(plain).build().fuse(), o!())
}

/// Runs the program and returns its exit code. An error in the arguments or the configuration is printed as
/// one line that names it.
pub fn main(arguments: impl Iterator<Item = String>) -> ExitCode {
    match command::main(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Usage(error)) => {
            let _ = error.print(); // help goes to standard output, errors to standard error
            ExitCode::from(error.exit_code() as u8)
        }
        Err(Failure::Error(why)) => {
            eprintln!("streamusher: {why}");
            ExitCode::FAILURE
        }
        Err(Failure::Findings) => ExitCode::from(3),
    }
}
