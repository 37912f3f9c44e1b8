//! The command line: `streamusher-control [options] [COMMAND ...]`.

use getopts::{Matches, Options};
use log::LevelFilter;
use std::net::SocketAddr;
use std::path::PathBuf;
use streamusher_fair_share as share_debt;
use streamusher_protocol::internal::ExplainRequest;
use streamusher_runtime::options::{add_log_level, log_level};

/// Where the settings of the debts come from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShareDebt {
    /// From the command line: a half-life, and defaults.
    Given(share_debt::FairShareSettings),
    /// From a file.
    File(PathBuf),
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Task {
    /// Run until a signal ends it.
    Run {
        /// The level of the logs, where one is given.
        log_level: Option<LevelFilter>,
        /// Work is ordered by recent use; none: it is not.
        share_debt: Option<ShareDebt>,
    },
    /// Check the settings file, and that of the debts where one is named.
    CheckSettings(Option<ShareDebt>),
    /// Check an operator's configuration.
    CheckConfiguration(PathBuf),
    /// Print the whole cluster.
    Status {
        /// Internal addresses to ask first; with none, those of the settings' seeds.
        addresses: Vec<SocketAddr>,
        /// The settings file that names the seeds, where it is not the usual one.
        settings: Option<PathBuf>,
        /// As JSON.
        json: bool,
    },
    /// Ask the primary about one job or user.
    Explain {
        /// What is asked.
        asked: ExplainRequest,
        /// Internal addresses to ask first; with none, those of the settings' seeds.
        addresses: Vec<SocketAddr>,
        /// The settings file that names the seeds, where it is not the usual one.
        settings: Option<PathBuf>,
    },
    /// Check and show a data folder.
    ShowDisk(PathBuf),
    /// Print this text.
    Print(String),
}

/// Reads the command line, without the program's own name.
///
/// # Errors
/// One line that names the argument at fault and the remedy.
pub fn parse(arguments: &[String]) -> Result<Task, String> {
    let options = options();
    let matches = options
        .parse(arguments)
        .map_err(|error| format!("{error}: see --help"))?;
    if matches.opt_present("help") {
        return Ok(Task::Print(options.usage(BRIEF)));
    }
    if matches.opt_present("version") {
        return Ok(Task::Print(
            concat!("streamusher-control ", env!("CARGO_PKG_VERSION"), "\n").to_owned(),
        ));
    }
    let log_level = log_level(&matches).map_err(|error| error.to_string())?;
    let Some((command, rest)) = matches.free.split_first() else {
        let share_debt = share_debt_source(&matches)?;
        return Ok(without_command(&matches, log_level, share_debt));
    };
    match command.as_str() {
        "status" => status(&matches, rest),
        "check" => check(&matches, rest),
        "explain" => explain(&matches, rest),
        "show-disk" => show_disk(rest),
        other => Err(format!(
            "unknown command {other:?}: give status, explain, check, show-disk or none, see --help"
        )),
    }
}

fn without_command(
    matches: &Matches,
    log_level: Option<LevelFilter>,
    share_debt: Option<ShareDebt>,
) -> Task {
    if let Some(path) = matches.opt_str("check-configuration") {
        return Task::CheckConfiguration(path.into());
    }
    if matches.opt_present("check") {
        return Task::CheckSettings(share_debt);
    }
    Task::Run {
        log_level,
        share_debt,
    }
}

fn addresses(texts: &[String]) -> Result<Vec<SocketAddr>, String> {
    let address = |text: &String| {
        let wrong = |_| format!("{text:?} is no address: write the internal ip:port of a process");
        text.parse::<SocketAddr>().map_err(wrong)
    };
    texts.iter().map(address).collect()
}

fn explain(matches: &Matches, rest: &[String]) -> Result<Task, String> {
    let (asked, texts) = match rest {
        [kind, id, texts @ ..] if kind == "job" => {
            let id = id
                .parse()
                .map_err(|error| format!("explain job {id:?}: {error}"))?;
            (ExplainRequest::Job(id), texts)
        }
        [kind, name, texts @ ..] if kind == "user" => {
            (ExplainRequest::User(name.as_str().into()), texts)
        }
        _ => return Err("explain: write explain job ID, or explain user NAME".to_owned()),
    };
    let settings = matches.opt_str("settings").map(PathBuf::from);
    Ok(Task::Explain {
        asked,
        addresses: addresses(texts)?,
        settings,
    })
}

fn status(matches: &Matches, rest: &[String]) -> Result<Task, String> {
    let addresses = addresses(rest)?;
    let settings = matches.opt_str("settings").map(PathBuf::from);
    Ok(Task::Status {
        addresses,
        settings,
        json: matches.opt_present("json"),
    })
}

fn check(matches: &Matches, rest: &[String]) -> Result<Task, String> {
    if let Some(extra) = rest.first() {
        return Err(format!(
            "unexpected argument {extra:?}: write check --configuration FILE"
        ));
    }
    let configuration = matches
        .opt_str("configuration")
        .or(matches.opt_str("check-configuration"));
    match configuration {
        Some(path) => Ok(Task::CheckConfiguration(path.into())),
        None => Ok(Task::CheckSettings(share_debt_source(matches)?)),
    }
}

fn show_disk(rest: &[String]) -> Result<Task, String> {
    match rest {
        [folder] => Ok(Task::ShowDisk(folder.into())),
        [] => Err("show-disk: name the data folder".to_owned()),
        [_, extra, ..] => Err(format!(
            "unexpected argument {extra:?}: show-disk takes one folder"
        )),
    }
}

const SHARE_DEBT: &str = "share-debt";
const SHARE_DEBT_SETTINGS: &str = "share-debt-settings";

fn share_debt_source(matches: &Matches) -> Result<Option<ShareDebt>, String> {
    match (
        matches.opt_str(SHARE_DEBT),
        matches.opt_str(SHARE_DEBT_SETTINGS),
    ) {
        (Some(_), Some(_)) => Err(format!(
            "--{SHARE_DEBT} and --{SHARE_DEBT_SETTINGS}: give one of them"
        )),
        (Some(text), None) => share_debt_of(&text).map(ShareDebt::Given).map(Some),
        (None, path) => Ok(path.map(|path| ShareDebt::File(path.into()))),
    }
}

/// Settings by a half-life in whole seconds.
fn share_debt_of(text: &str) -> Result<share_debt::FairShareSettings, String> {
    let seconds: u64 = text.parse().map_err(|_| {
        format!("--{SHARE_DEBT} {text:?}: give the half-life in whole seconds, such as 600")
    })?;
    let settings = share_debt::FairShareSettings::with_half_life(seconds.saturating_mul(1_000));
    settings
        .check()
        .map_err(|error| format!("--{SHARE_DEBT} {text}: {error}"))?;
    Ok(settings)
}

const BRIEF: &str = "The control plane of streamusher: primary, replica or witness on a core machine.

Usage: streamusher-control [options] [COMMAND]

Without a command it runs as the process of a core machine. Commands:
    status [ADDRESS...]             print the whole cluster; ADDRESS is the internal ip:port of any process, and
                                    without one the seeds of the settings file are asked
    explain job ID [ADDRESS...]     print where a job stands, and why what waits of it waits
    explain user NAME [ADDRESS...]  print what a user has lately used
    check [--configuration FILE]    check the settings file, or an operator's configuration (.json or .toml)
    show-disk DIR                   check and show the data folder of a process that does not run

The settings file is named by STREAMUSHER_SETTINGS; STREAMUSHER_LOG sets the level of the logs.
It ends with 0 after SIGTERM or where all is well, with 1 after a failure (status: a machine does not answer, or no
primary acts; explain: no primary acts, or nothing is known; show-disk: the store is damaged), and with 2 for a wrong command line, settings, configuration or store
format.";

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this text");
    options.optflag("", "version", "print the version");
    options.optflag("", "check", "check the settings file and end");
    options.optopt(
        "",
        "check-configuration",
        "the same as check --configuration FILE",
        "FILE",
    );
    options.optopt(
        "",
        "configuration",
        "check: an operator's configuration, .json or .toml",
        "FILE",
    );
    options.optopt(
        "",
        "settings",
        "status, explain: the settings file whose seeds are asked",
        "FILE",
    );
    options.optflag("", "json", "status: print the answers as JSON");
    add_log_level(&mut options);
    options.optopt(
        "",
        SHARE_DEBT,
        "order work by recent use, which halves in so many seconds",
        "HALF_LIFE_S",
    );
    options.optopt(
        "",
        SHARE_DEBT_SETTINGS,
        "the same with all settings of the debts, in TOML",
        "FILE",
    );
    options
}
