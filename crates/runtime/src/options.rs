//! Command-line parsing for programs with commands: `PROGRAM [options] [COMMAND]`.
//!
//! ```
//! use streamusher_runtime::options::{parse, CommandDescription, ParsedCommandLine, ProgramDescription};
//!
//! const PROGRAM: ProgramDescription = ProgramDescription {
//!     name: "tool",
//!     summary: "Does things.",
//!     version: "1.2.3",
//!     commands: &[CommandDescription { name: "serve", summary: "answers requests" }],
//! };
//! let arguments = ["serve".to_owned(), "--check".to_owned()];
//! let Ok(ParsedCommandLine::Run(run)) = parse(&PROGRAM, &arguments) else { panic!() };
//! assert_eq!((run.command, run.check), (Some("serve"), true));
//! ```

use getopts::{Matches, Options};
use log::LevelFilter;
use std::fmt::Write;

/// Exit code for an invalid command line or invalid settings.
pub const EXIT_MISUSE: u8 = 2;

/// Description of a program for its command line and help text.
#[derive(Clone, Copy, Debug)]
pub struct ProgramDescription {
    /// Program name, as typed on the command line.
    pub name: &'static str,
    /// One-line description of the program.
    pub summary: &'static str,
    /// Version of the program, as `--version` prints it.
    pub version: &'static str,
    /// Commands of the program. If there are any, exactly one must be given.
    pub commands: &'static [CommandDescription],
}

/// Description of a command of a program.
#[derive(Clone, Copy, Debug)]
pub struct CommandDescription {
    /// Command name, as typed on the command line.
    pub name: &'static str,
    /// One-line description of the command.
    pub summary: &'static str,
}

/// Options for running the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunOptions {
    /// The selected command; `None` for programs without commands.
    pub command: Option<&'static str>,
    /// If true, the program only checks its settings.
    pub check: bool,
    /// The level given by `--log-level`, if present.
    pub log_level: Option<LevelFilter>,
}

/// Result of parsing a command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParsedCommandLine {
    /// Run the program, or only check its settings.
    Run(RunOptions),
    /// Print this text and exit successfully.
    Print(String),
}

/// An invalid command line. The messages say what to write instead.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OptionsError {
    /// An option is unknown or malformed.
    #[error("{0}: see --help for the options")]
    Option(String),
    /// The command is missing or unknown.
    #[error("{found}: give one of these commands: {known}")]
    Command {
        /// Description of what was found in place of a command.
        found: String,
        /// The available commands, separated by commas.
        known: String,
    },
    /// The log level is unknown.
    #[error("--log-level {0:?}: write off, error, warn, info, debug or trace")]
    LogLevel(String),
    /// There are more arguments than one command.
    #[error("unexpected argument {0:?}: give at most one command")]
    Extra(String),
}

/// Parses a command line. `arguments` does not include the program's own name.
///
/// # Errors
/// Returns an [`OptionsError`] if the command line is invalid.
pub fn parse(
    program: &ProgramDescription,
    arguments: &[String],
) -> Result<ParsedCommandLine, OptionsError> {
    let options = options();
    let matches = options
        .parse(arguments)
        .map_err(|error| OptionsError::Option(error.to_string()))?;
    if matches.opt_present("help") {
        return Ok(ParsedCommandLine::Print(help(program, &options)));
    }
    if matches.opt_present("version") {
        let version = format!("{} {}", program.name, program.version);
        return Ok(ParsedCommandLine::Print(version));
    }
    let command = command(program, &matches.free)?;
    let log_level = log_level(&matches)?;
    Ok(ParsedCommandLine::Run(RunOptions {
        command,
        check: matches.opt_present("check"),
        log_level,
    }))
}

/// Adds the option `--log-level`, for programs that define their own options.
pub fn add_log_level(options: &mut Options) {
    options.optopt(
        "",
        "log-level",
        "off, error, warn, info (the default), debug or trace",
        "LEVEL",
    );
}

/// Returns the level that `--log-level` gives, or `None` if the option is absent.
///
/// # Errors
/// Returns an error if the level is unknown.
pub fn log_level(matches: &Matches) -> Result<Option<LevelFilter>, OptionsError> {
    let Some(text) = matches.opt_str("log-level") else {
        return Ok(None);
    };
    match text.parse() {
        Ok(level) => Ok(Some(level)),
        Err(_) => Err(OptionsError::LogLevel(text)),
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this text");
    options.optflag(
        "",
        "check",
        "check the settings file and end: code 0, or 2 if it is wrong",
    );
    options.optflag("", "version", "print the version");
    add_log_level(&mut options);
    options
}

fn command(
    program: &ProgramDescription,
    arguments: &[String],
) -> Result<Option<&'static str>, OptionsError> {
    let max_arguments = usize::from(!program.commands.is_empty());
    if let Some(extra) = arguments.get(max_arguments) {
        return Err(OptionsError::Extra(extra.clone()));
    }
    if program.commands.is_empty() {
        return Ok(None);
    }
    let given = arguments.first();
    let known = program
        .commands
        .iter()
        .find(|command| given.is_some_and(|given| given == command.name));
    match known {
        Some(command) => Ok(Some(command.name)),
        None => Err(unknown_command(program, given)),
    }
}

fn unknown_command(program: &ProgramDescription, given: Option<&String>) -> OptionsError {
    let names: Vec<&str> = program
        .commands
        .iter()
        .map(|command| command.name)
        .collect();
    let found = match given {
        Some(given) => format!("unknown command {given:?}"),
        None => "no command".to_owned(),
    };
    OptionsError::Command {
        found,
        known: names.join(", "),
    }
}

fn help(program: &ProgramDescription, options: &Options) -> String {
    let command = if program.commands.is_empty() {
        ""
    } else {
        " COMMAND"
    };
    let mut brief = format!(
        "{}\n\nUsage: {} [options]{command}\n",
        program.summary, program.name
    );
    for CommandDescription { name, summary } in program.commands {
        // Writing to a string cannot fail.
        let _ = write!(brief, "\n    {name:<10} {summary}");
    }
    let variables =
        "\nThe settings file is named by STREAMUSHER_SETTINGS; STREAMUSHER_LOG sets the level of the logs.";
    format!("{}{variables}", options.usage(&brief))
}
