//! Errors of the command line.

use super::usage::{FAIR_SHARE_OPTION, FAIR_SHARE_SETTINGS_OPTION};
use streamusher_fair_share::SettingsError;
use streamusher_protocol::task::IdError;
use streamusher_runtime::options as runtime_options;

/// An invalid command line; the text is one line that names the invalid argument and the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OptionsError {
    /// An option that does not exist or is malformed.
    #[error("{0}: see --help")]
    Option(#[from] getopts::Fail),
    /// The value of `--log-level` is not a log level.
    #[error(transparent)]
    LogLevel(runtime_options::OptionsError),
    /// The command does not exist.
    #[error(
        "unknown command {0:?}: give status, explain, check, show-disk or no command; see --help"
    )]
    UnknownCommand(String),
    /// An argument is not an address where one is required.
    #[error("{0:?} is not an address: give the internal ip:port of a process")]
    Address(String),
    /// `explain` without a subject.
    #[error("explain needs a subject: give explain job ID or explain user NAME")]
    ExplainSubject,
    /// `explain job` with an invalid id.
    #[error("explain job {id:?}: {error}")]
    JobId {
        /// The id as given.
        id: String,
        /// The reason why the id is invalid.
        error: IdError,
    },
    /// `check` with an argument.
    #[error("unexpected argument {0:?}: use check --configuration FILE")]
    CheckArgument(String),
    /// `show-disk` without a folder.
    #[error("show-disk: give the data folder")]
    NoDataFolder,
    /// `show-disk` with more than one folder.
    #[error("unexpected argument {0:?}: show-disk takes one folder")]
    ExtraDataFolder(String),
    /// Both options for the fair-share settings were given.
    #[error("--{FAIR_SHARE_OPTION} and --{FAIR_SHARE_SETTINGS_OPTION}: give one of them")]
    TwoFairShareSources,
    /// The half-life is not a number.
    #[error("--{FAIR_SHARE_OPTION} {0:?}: give the half-life in whole seconds, such as 600")]
    HalfLife(String),
    /// The half-life is out of its range.
    #[error("--{FAIR_SHARE_OPTION} {half_life}: {error}")]
    HalfLifeRange {
        /// The half-life as given.
        half_life: String,
        /// The allowed range.
        error: SettingsError,
    },
}
