//! The options of the program and its help text.

use getopts::Options;
use streamusher_runtime::options::add_log_level;

pub(super) const FAIR_SHARE_OPTION: &str = "share-debt";
pub(super) const FAIR_SHARE_SETTINGS_OPTION: &str = "share-debt-settings";

pub(super) const VERSION: &str = concat!("streamusher-control ", env!("CARGO_PKG_VERSION"), "\n");

pub(super) const BRIEF: &str = "The control plane of streamusher: primary, replica or witness on a control machine.

Usage: streamusher-control [options] [COMMAND]

Without a command it runs as the process of a control machine. Commands:
    status [ADDRESS...]             print the whole cluster; ADDRESS is the internal ip:port of any process, and
                                    without one the seeds of the settings file are queried
    explain job ID [ADDRESS...]     print the state of a job, and why its pending tasks wait
    explain user NAME [ADDRESS...]  print the recent usage of a user
    check [--configuration FILE]    check the settings file, or an operator's configuration (.json or .toml)
    show-disk DIR                   check and show the data folder of a stopped process

The settings file is named by STREAMUSHER_SETTINGS; STREAMUSHER_LOG sets the level of the logs.
Exit code: 0 after SIGTERM or on success; 1 after a failure (status: a machine does not respond, or there is no acting
primary; explain: there is no acting primary, or nothing is known; show-disk: the store is damaged); 2 for an invalid
command line, settings, configuration or store format.";

/// All options of all commands.
pub(super) fn options() -> Options {
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
        "status, explain: the settings file whose seeds are queried",
        "FILE",
    );
    options.optflag("", "json", "status: print the responses as JSON");
    add_log_level(&mut options);
    options.optopt(
        "",
        FAIR_SHARE_OPTION,
        "order work by recent use, which decays with this half-life in seconds",
        "HALF_LIFE_S",
    );
    options.optopt(
        "",
        FAIR_SHARE_SETTINGS_OPTION,
        "like --share-debt, with all fair-share settings from a TOML file",
        "FILE",
    );
    options
}
