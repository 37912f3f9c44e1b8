//! The command line: `streamusher-control [options]`.

use getopts::Options;
use std::path::PathBuf;

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Task {
    /// Run until a signal ends it.
    Run,
    /// Check the settings file.
    CheckSettings,
    /// Check an operator's configuration.
    CheckConfiguration(PathBuf),
    /// Print this text.
    Print(String),
}

/// Reads the command line, without the program's own name.
///
/// # Errors
/// One line that names the argument at fault and the remedy.
pub fn parse(arguments: &[String]) -> Result<Task, String> {
    let options = options();
    let matches = options.parse(arguments).map_err(|error| format!("{error}: see --help"))?;
    if let Some(extra) = matches.free.first() {
        return Err(format!("unexpected argument {extra:?}: there are only options, see --help"));
    }
    if matches.opt_present("help") {
        return Ok(Task::Print(options.usage(BRIEF)));
    }
    if matches.opt_present("version") {
        return Ok(Task::Print(concat!("streamusher-control ", env!("CARGO_PKG_VERSION"), "\n").to_owned()));
    }
    if let Some(path) = matches.opt_str("check-configuration") {
        return Ok(Task::CheckConfiguration(path.into()));
    }
    Ok(if matches.opt_present("check") { Task::CheckSettings } else { Task::Run })
}

const BRIEF: &str = "The control plane of streamusher: primary, replica or witness on a core machine.

Usage: streamusher-control [options]

The settings file is named by STREAMUSHER_SETTINGS; STREAMUSHER_LOG sets the level of the logs.
It ends with 0 after SIGTERM, with 1 after a failure, and with 2 for a wrong command line, settings or store format.";

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this text");
    options.optflag("", "version", "print the version");
    options.optflag("", "check", "check the settings file and end");
    options.optopt(
        "",
        "check-configuration",
        "check an operator's configuration, .json or .toml, and end",
        "FILE",
    );
    options
}
