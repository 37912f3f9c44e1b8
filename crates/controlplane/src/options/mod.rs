//! The command line: `streamusher-control [options] [COMMAND ...]`.

mod error;
mod usage;

pub use error::OptionsError;

use getopts::Matches;
use log::LevelFilter;
use std::net::SocketAddr;
use std::path::PathBuf;
use streamusher_fair_share::FairShareSettings;
use streamusher_protocol::internal::ExplainRequest;
use streamusher_runtime::options::log_level;
use usage::{FAIR_SHARE_OPTION, FAIR_SHARE_SETTINGS_OPTION};

const MILLIS_PER_SECOND: u64 = 1_000;

/// The source of the fair-share settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FairShareSource {
    /// From `--share-debt`: a half-life, and defaults for the other settings.
    CommandLine(FairShareSettings),
    /// From the file named by `--share-debt-settings`.
    File(PathBuf),
}

/// The processes that are queried first for the state of the cluster.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClusterAddresses {
    /// Internal addresses of the processes; if empty, those of the seeds in the settings file.
    pub addresses: Vec<SocketAddr>,
    /// The settings file that names the seeds; `None` for the default file.
    pub settings: Option<PathBuf>,
}

/// The output format of `status`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusFormat {
    /// Tables for reading.
    Tables,
    /// JSON for processing by other programs.
    Json,
}

/// The operation that the command line requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run the control machine process until a signal ends it.
    Run {
        /// The log level; `None` if the command line gives none.
        log_level: Option<LevelFilter>,
        /// Source of the settings by which work is ordered by recent use; without it the order ignores recent
        /// use.
        fair_share: Option<FairShareSource>,
    },
    /// Check the settings file, and the fair-share settings if a source is given.
    CheckSettings(Option<FairShareSource>),
    /// Check an operator's configuration file.
    CheckConfiguration(PathBuf),
    /// Print the status of the whole cluster.
    Status {
        /// The processes that are queried first.
        cluster: ClusterAddresses,
        /// The output format.
        format: StatusFormat,
    },
    /// Query the primary about one job or one user.
    Explain {
        /// The subject of the query.
        request: ExplainRequest,
        /// The processes that are queried first.
        cluster: ClusterAddresses,
    },
    /// Check a data folder and print its content.
    ShowDisk(PathBuf),
    /// Print the given text, for `--help` and `--version`.
    Print(String),
}

/// Parses the command line; `arguments` excludes the program's name.
///
/// # Errors
/// Returns an [`OptionsError`] if the command line is invalid.
pub fn parse(arguments: &[String]) -> Result<Command, OptionsError> {
    let options = usage::options();
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        return Ok(Command::Print(options.usage(usage::BRIEF)));
    }
    if matches.opt_present("version") {
        return Ok(Command::Print(usage::VERSION.to_owned()));
    }
    let log_level = log_level(&matches).map_err(OptionsError::LogLevel)?;
    let Some((command, rest)) = matches.free.split_first() else {
        return without_command(&matches, log_level);
    };
    match command.as_str() {
        "status" => status(&matches, rest),
        "check" => check(&matches, rest),
        "explain" => explain(&matches, rest),
        "show-disk" => show_disk(rest),
        other => Err(OptionsError::UnknownCommand(other.to_owned())),
    }
}

fn without_command(
    matches: &Matches,
    log_level: Option<LevelFilter>,
) -> Result<Command, OptionsError> {
    let fair_share = fair_share_source(matches)?;
    if let Some(path) = matches.opt_str("check-configuration") {
        return Ok(Command::CheckConfiguration(path.into()));
    }
    if matches.opt_present("check") {
        return Ok(Command::CheckSettings(fair_share));
    }
    Ok(Command::Run {
        log_level,
        fair_share,
    })
}

fn status(matches: &Matches, arguments: &[String]) -> Result<Command, OptionsError> {
    let format = if matches.opt_present("json") {
        StatusFormat::Json
    } else {
        StatusFormat::Tables
    };
    Ok(Command::Status {
        cluster: cluster_addresses(matches, arguments)?,
        format,
    })
}

fn explain(matches: &Matches, arguments: &[String]) -> Result<Command, OptionsError> {
    let (request, addresses) = match arguments {
        [kind, id, addresses @ ..] if kind == "job" => (explain_job(id)?, addresses),
        [kind, name, addresses @ ..] if kind == "user" => {
            (ExplainRequest::User(name.as_str().into()), addresses)
        }
        _ => return Err(OptionsError::ExplainSubject),
    };
    Ok(Command::Explain {
        request,
        cluster: cluster_addresses(matches, addresses)?,
    })
}

fn explain_job(id: &str) -> Result<ExplainRequest, OptionsError> {
    id.parse()
        .map(ExplainRequest::Job)
        .map_err(|error| OptionsError::JobId {
            id: id.to_owned(),
            error,
        })
}

fn cluster_addresses(
    matches: &Matches,
    arguments: &[String],
) -> Result<ClusterAddresses, OptionsError> {
    let addresses = arguments
        .iter()
        .map(|argument| parse_address(argument))
        .collect::<Result<Vec<SocketAddr>, OptionsError>>()?;
    Ok(ClusterAddresses {
        addresses,
        settings: matches.opt_str("settings").map(PathBuf::from),
    })
}

fn parse_address(text: &str) -> Result<SocketAddr, OptionsError> {
    text.parse()
        .map_err(|_| OptionsError::Address(text.to_owned()))
}

fn check(matches: &Matches, arguments: &[String]) -> Result<Command, OptionsError> {
    if let Some(extra) = arguments.first() {
        return Err(OptionsError::CheckArgument(extra.clone()));
    }
    let configuration = matches
        .opt_str("configuration")
        .or_else(|| matches.opt_str("check-configuration"));
    match configuration {
        Some(path) => Ok(Command::CheckConfiguration(path.into())),
        None => Ok(Command::CheckSettings(fair_share_source(matches)?)),
    }
}

fn show_disk(arguments: &[String]) -> Result<Command, OptionsError> {
    match arguments {
        [folder] => Ok(Command::ShowDisk(folder.into())),
        [] => Err(OptionsError::NoDataFolder),
        [_, extra, ..] => Err(OptionsError::ExtraDataFolder(extra.clone())),
    }
}

fn fair_share_source(matches: &Matches) -> Result<Option<FairShareSource>, OptionsError> {
    let half_life = matches.opt_str(FAIR_SHARE_OPTION);
    let file = matches.opt_str(FAIR_SHARE_SETTINGS_OPTION);
    match (half_life, file) {
        (Some(_), Some(_)) => Err(OptionsError::TwoFairShareSources),
        (Some(half_life), None) => {
            let settings = fair_share_by_half_life(half_life)?;
            Ok(Some(FairShareSource::CommandLine(settings)))
        }
        (None, Some(file)) => Ok(Some(FairShareSource::File(file.into()))),
        (None, None) => Ok(None),
    }
}

/// Settings for a half-life given in whole seconds.
fn fair_share_by_half_life(half_life: String) -> Result<FairShareSettings, OptionsError> {
    let Ok(seconds) = half_life.parse::<u64>() else {
        return Err(OptionsError::HalfLife(half_life));
    };
    let half_life_ms = seconds.saturating_mul(MILLIS_PER_SECOND);
    let settings = FairShareSettings::with_half_life(half_life_ms);
    match settings.check() {
        Ok(()) => Ok(settings),
        Err(error) => Err(OptionsError::HalfLifeRange { half_life, error }),
    }
}
