//! Command lines of the programs: `PROGRAM [options] [COMMAND]`.

use getopts::{Matches, Options};
use log::LevelFilter;

/// Exit code for a wrong command line or wrong settings.
pub const EXIT_MISUSE: u8 = 2;

/// What a program offers.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Its name, as typed.
    pub name: &'static str,
    /// One line on what it does.
    pub summary: &'static str,
    /// Its version.
    pub version: &'static str,
    /// Its commands, each with a line on what it does. Where there are any, one must be given.
    pub commands: &'static [(&'static str, &'static str)],
}

/// What the command line asks for. The command is empty for programs without commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Chosen {
    /// The command.
    pub command: &'static str,
    /// Only check the settings.
    pub check: bool,
    /// The level of the logs, where one is given.
    pub log_level: Option<LevelFilter>,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Invocation {
    /// Run or check.
    Run(Chosen),
    /// Print this text and end with success.
    Print(String),
}

/// Why a command line is wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OptionsError {
    /// An option that does not exist or is written wrongly.
    #[error("{0}: see --help for the options")]
    Option(String),
    /// No command, or one that does not exist.
    #[error("{found}: give one of these commands: {known}")]
    Command {
        /// What was found.
        found: String,
        /// What there is.
        known: String,
    },
    /// A level of logs that does not exist.
    #[error("--log-level {0:?}: write off, error, warn, info, debug or trace")]
    LogLevel(String),
    /// More than a command.
    #[error("unexpected argument {0:?}: give at most one command")]
    Extra(String),
}

/// Reads a command line, without the program's own name.
///
/// # Errors
/// See [`OptionsError`].
pub fn parse(program: &Program, arguments: &[String]) -> Result<Invocation, OptionsError> {
    let options = options();
    let matches = options
        .parse(arguments)
        .map_err(|error| OptionsError::Option(error.to_string()))?;
    if matches.opt_present("help") {
        return Ok(Invocation::Print(help(program, &options)));
    }
    if matches.opt_present("version") {
        return Ok(Invocation::Print(format!(
            "{} {}",
            program.name, program.version
        )));
    }
    let command = command_of(program, &matches.free)?;
    let log_level = log_level(&matches)?;
    Ok(Invocation::Run(Chosen {
        command,
        check: matches.opt_present("check"),
        log_level,
    }))
}

/// Adds the option `--log-level`.
pub fn add_log_level(options: &mut Options) {
    options.optopt(
        "",
        "log-level",
        "off, error, warn, info (the default), debug or trace",
        "LEVEL",
    );
}

/// The level that `--log-level` gives.
///
/// # Errors
/// There is no such level.
pub fn log_level(matches: &Matches) -> Result<Option<LevelFilter>, OptionsError> {
    let given = matches.opt_str("log-level");
    given
        .map(|text| text.parse().map_err(|_| OptionsError::LogLevel(text)))
        .transpose()
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

fn command_of(program: &Program, free: &[String]) -> Result<&'static str, OptionsError> {
    let allowed = usize::from(!program.commands.is_empty());
    if let Some(extra) = free.get(allowed) {
        return Err(OptionsError::Extra(extra.clone()));
    }
    if allowed == 0 {
        return Ok("");
    }
    let given = free.first();
    let known = program
        .commands
        .iter()
        .find(|(name, _)| given.is_some_and(|given| given == name));
    known
        .map(|(name, _)| *name)
        .ok_or_else(|| wrong_command(program, given))
}

fn wrong_command(program: &Program, given: Option<&String>) -> OptionsError {
    let names: Vec<&str> = program.commands.iter().map(|(name, _)| *name).collect();
    let found = given.map_or("no command".to_owned(), |given| {
        format!("unknown command {given:?}")
    });
    OptionsError::Command {
        found,
        known: names.join(", "),
    }
}

fn help(program: &Program, options: &Options) -> String {
    let command = if program.commands.is_empty() {
        ""
    } else {
        " COMMAND"
    };
    let mut brief = format!(
        "{}\n\nUsage: {} [options]{command}\n",
        program.summary, program.name
    );
    for (name, summary) in program.commands {
        brief.push_str(&format!("\n    {name:<10} {summary}"));
    }
    let variables =
        "\nThe settings file is named by STREAMUSHER_SETTINGS; STREAMUSHER_LOG sets the level of the logs.";
    format!("{}{variables}", options.usage(&brief))
}
