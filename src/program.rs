//! The program around the library: arguments, configuration, log and exit code.

use crate::config::Config;
use slog::{o, Drain, Logger};
use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "usage: streamusher [--drmaa FILE]";

/// A log on standard error, a line a record.
pub fn log() -> Logger {
    let plain = slog_term::PlainSyncDecorator::new(std::io::stderr());
    Logger::root(slog_term::FullFormat::new(plain).build().fuse(), o!())
}

/// Runs the program. A mistake in arguments or configuration ends it with one line that names it.
pub fn main(arguments: impl Iterator<Item = String>) -> ExitCode {
    let done = options(arguments).and_then(|drmaa| {
        let config = Config::load(|name| std::env::var(name).ok(), drmaa.as_deref())?;
        crate::runtime::run(config, log())
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("streamusher: {why}");
            ExitCode::FAILURE
        }
    }
}

fn options(mut arguments: impl Iterator<Item = String>) -> Result<Option<PathBuf>, String> {
    match (arguments.next().as_deref(), arguments.next(), arguments.next()) {
        (None, ..) => Ok(None),
        (Some("--drmaa"), Some(file), None) => Ok(Some(file.into())),
        _ => Err(USAGE.into()),
    }
}
