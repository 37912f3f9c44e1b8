//! Why a command line is wrong.

use super::usage::{FAIR_SHARE_OPTION, FAIR_SHARE_SETTINGS_OPTION};
use streamusher_fair_share::SettingsError;
use streamusher_protocol::task::IdError;
use streamusher_runtime::options as runtime_options;

/// A command line that is wrong; the text is one line that names the argument at fault and the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OptionsError {
    /// An option that does not exist or is written wrongly.
    #[error("{0}: see --help")]
    Option(#[from] getopts::Fail),
    /// The log level does not exist.
    #[error(transparent)]
    LogLevel(runtime_options::OptionsError),
    /// The command does not exist.
    #[error("unknown command {0:?}: give status, explain, check, show-disk or none, see --help")]
    UnknownCommand(String),
    /// An argument that has to be an address is none.
    #[error("{0:?} is no address: write the internal ip:port of a process")]
    Address(String),
    /// `explain` without what is to be explained.
    #[error("explain: write explain job ID, or explain user NAME")]
    ExplainSubject,
    /// `explain job` with an id that is none.
    #[error("explain job {id:?}: {error}")]
    JobId {
        /// What was given.
        id: String,
        /// Why it is no id.
        error: IdError,
    },
    /// `check` with an argument.
    #[error("unexpected argument {0:?}: write check --configuration FILE")]
    CheckArgument(String),
    /// `show-disk` without a folder.
    #[error("show-disk: name the data folder")]
    NoDataFolder,
    /// `show-disk` with more than one folder.
    #[error("unexpected argument {0:?}: show-disk takes one folder")]
    ExtraDataFolder(String),
    /// Two sources of the fair-share settings.
    #[error("--{FAIR_SHARE_OPTION} and --{FAIR_SHARE_SETTINGS_OPTION}: give one of them")]
    TwoFairShareSources,
    /// The half-life is no number.
    #[error("--{FAIR_SHARE_OPTION} {0:?}: give the half-life in whole seconds, such as 600")]
    HalfLife(String),
    /// The half-life is out of its range.
    #[error("--{FAIR_SHARE_OPTION} {half_life}: {error}")]
    HalfLifeRange {
        /// What was given.
        half_life: String,
        /// The range.
        error: SettingsError,
    },
}
