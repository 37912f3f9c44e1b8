//! The program around the library: arguments, configuration, log and exit code.

use crate::command::{self, Failure};
use slog::{o, Drain, Logger};
use std::process::ExitCode;

/// A log on standard error, a line a record.
pub fn log() -> Logger {
    let plain = slog_term::PlainSyncDecorator::new(std::io::stderr());
    Logger::root(slog_term::FullFormat::new(plain).build().fuse(), o!())
}

/// Runs the program. A mistake in arguments or configuration ends it with one line that names it.
pub fn main(arguments: impl Iterator<Item = String>) -> ExitCode {
    match command::main(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Usage(told)) => {
            let _ = told.print(); // help goes to standard output, mistakes to standard error
            ExitCode::from(told.exit_code() as u8)
        }
        Err(Failure::Error(why)) => {
            eprintln!("streamusher: {why}");
            ExitCode::FAILURE
        }
        Err(Failure::Findings) => ExitCode::from(3),
    }
}
