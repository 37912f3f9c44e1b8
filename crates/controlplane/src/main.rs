//! `streamusher-control`: the control plane's process on a core machine.

use log::LevelFilter;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use streamusher_configuration::check_file;
use streamusher_controlplane::cluster_status::{self, Health};
use streamusher_controlplane::options::{parse, ShareDebt, Task};
use streamusher_controlplane::parameters::places;
use streamusher_controlplane::program;
use streamusher_controlplane::share_debt_file;
use streamusher_controlplane::show_disk::{self, ShowError};
use streamusher_controlplane::store::StoreError;
use streamusher_fair_share as share_debt;
use streamusher_protocol::internal::ExplainRequest;
use streamusher_runtime::options::EXIT_MISUSE;
use streamusher_runtime::{logs, settings};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match parse(&arguments) {
        Ok(Task::Print(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Task::CheckConfiguration(path)) => check_configuration(&path),
        Ok(Task::Status {
            addresses,
            settings,
            json,
        }) => status(addresses, settings.as_deref(), json),
        Ok(Task::Explain {
            asked,
            addresses,
            settings,
        }) => explain(&asked, addresses, settings.as_deref()),
        Ok(Task::ShowDisk(folder)) => show_disk(&folder),
        Ok(Task::CheckSettings(share_debt)) => {
            with_share_debt(share_debt, |_| with_settings(|_| ExitCode::SUCCESS))
        }
        Ok(Task::Run {
            log_level,
            share_debt,
        }) => with_share_debt(share_debt, |debts| {
            with_settings(|settings| run(settings, log_level, debts))
        }),
        Err(reason) => misuse(&reason),
    }
}

fn with_settings(next: impl FnOnce(settings::ProcessSettings) -> ExitCode) -> ExitCode {
    let settings = match settings::load() {
        Ok(settings) => settings,
        Err(error) => return misuse(&error.to_string()),
    };
    match places(&settings) {
        Ok(_) => next(settings),
        Err(error) => misuse(&error.to_string()),
    }
}

fn with_share_debt(
    source: Option<ShareDebt>,
    next: impl FnOnce(Option<share_debt::FairShareSettings>) -> ExitCode,
) -> ExitCode {
    match source {
        None => next(None),
        Some(ShareDebt::Given(settings)) => next(Some(settings)),
        Some(ShareDebt::File(path)) => match share_debt_file::load(&path) {
            Ok(settings) => next(Some(settings)),
            Err(error) => misuse(&error.to_string()),
        },
    }
}

fn run(
    settings: settings::ProcessSettings,
    log_level: Option<LevelFilter>,
    share_debt: Option<share_debt::FairShareSettings>,
) -> ExitCode {
    logs::start(log_level);
    let Err(error) = program::run(settings, share_debt) else {
        return ExitCode::SUCCESS;
    };
    if let Some(StoreError::Newer { .. }) = error.downcast_ref::<StoreError>() {
        return misuse(&error.to_string());
    }
    failure(&format!("{error:#}"))
}

fn check_configuration(path: &Path) -> ExitCode {
    match check_file(path) {
        Ok(configuration) => {
            println!("version {}: valid", configuration.version);
            ExitCode::SUCCESS
        }
        Err(error) => misuse(&error.to_string()),
    }
}

/// The addresses to ask first: those given, or the seeds of the settings file.
fn first_asked(given: Vec<SocketAddr>, file: Option<&Path>) -> Result<Vec<SocketAddr>, String> {
    if !given.is_empty() {
        return Ok(given);
    }
    let settings = file.map_or_else(settings::load, settings::load_from);
    settings
        .map(|settings| seeds_of(&settings))
        .map_err(|error| format!("{error}, or name the address of a process"))
}

fn explain(asked: &ExplainRequest, addresses: Vec<SocketAddr>, file: Option<&Path>) -> ExitCode {
    let addresses = match first_asked(addresses, file) {
        Ok(addresses) => addresses,
        Err(error) => return misuse(&error),
    };
    match cluster_status::explain(addresses, asked) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => failure(&error.to_string()),
    }
}

fn status(addresses: Vec<SocketAddr>, file: Option<&Path>, json: bool) -> ExitCode {
    let addresses = match first_asked(addresses, file) {
        Ok(addresses) => addresses,
        Err(error) => return misuse(&error),
    };
    match cluster_status::run(addresses, json) {
        Ok((text, health)) => {
            print!("{text}");
            if health == Health::Good {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(error) => failure(&error.to_string()),
    }
}

fn seeds_of(settings: &settings::ProcessSettings) -> Vec<SocketAddr> {
    let seeds = settings.core_addresses_of_seeds();
    seeds
        .iter()
        .filter_map(|seed| seed.internal.parse().ok())
        .collect()
}

fn show_disk(folder: &Path) -> ExitCode {
    match show_disk::show(folder) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(
            error @ (ShowError::NoStore(_)
            | ShowError::InUse(_)
            | ShowError::Store(StoreError::Newer { .. })),
        ) => misuse(&error.to_string()),
        Err(error) => failure(&error.to_string()),
    }
}

fn failure(reason: &str) -> ExitCode {
    eprintln!("streamusher-control: {reason}");
    ExitCode::FAILURE
}

fn misuse(reason: &str) -> ExitCode {
    eprintln!("streamusher-control: {reason}");
    ExitCode::from(u8::try_from(EXIT_MISUSE).unwrap_or(2))
}
