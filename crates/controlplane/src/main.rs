//! `streamusher-control`: the control plane's process on a core machine.

use log::LevelFilter;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use streamusher_configuration::check_file;
use streamusher_controlplane::cluster_status::{self, Health};
use streamusher_controlplane::options::{parse, Task};
use streamusher_controlplane::parameters::places;
use streamusher_controlplane::program;
use streamusher_controlplane::show_disk::{self, ShowError};
use streamusher_controlplane::store::StoreError;
use streamusher_node::options::EXIT_MISUSE;
use streamusher_node::{logs, settings};
use streamusher_share_debt as share_debt;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match parse(&arguments) {
        Ok(Task::Print(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Task::CheckSettings) => with_settings(|_| ExitCode::SUCCESS),
        Ok(Task::CheckConfiguration(path)) => check_configuration(&path),
        Ok(Task::Status { addresses, settings, json }) => status(addresses, settings.as_deref(), json),
        Ok(Task::ShowDisk(folder)) => show_disk(&folder),
        Ok(Task::Run { log_level, share_debt }) => {
            with_settings(|settings| run(settings, log_level, share_debt))
        }
        Err(reason) => misuse(&reason),
    }
}

fn with_settings(next: impl FnOnce(settings::Settings) -> ExitCode) -> ExitCode {
    let settings = match settings::load() {
        Ok(settings) => settings,
        Err(error) => return misuse(&error.to_string()),
    };
    match places(&settings) {
        Ok(_) => next(settings),
        Err(error) => misuse(&error.to_string()),
    }
}

fn run(
    settings: settings::Settings, log_level: Option<LevelFilter>, share_debt: Option<share_debt::Settings>,
) -> ExitCode {
    logs::start(log_level);
    let Err(error) = program::run(settings, share_debt) else { return ExitCode::SUCCESS };
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

fn status(mut addresses: Vec<SocketAddr>, file: Option<&Path>, json: bool) -> ExitCode {
    if addresses.is_empty() {
        let settings = file.map_or_else(settings::load, settings::load_from);
        match settings {
            Ok(settings) => addresses = seeds_of(&settings),
            Err(error) => return misuse(&format!("{error}, or name the address of a process")),
        }
    }
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

fn seeds_of(settings: &settings::Settings) -> Vec<SocketAddr> {
    let seeds = settings.core_addresses_of_seeds();
    seeds.iter().filter_map(|seed| seed.internal.parse().ok()).collect()
}

fn show_disk(folder: &Path) -> ExitCode {
    match show_disk::show(folder) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(
            error
            @ (ShowError::NoStore(_) | ShowError::InUse(_) | ShowError::Store(StoreError::Newer { .. })),
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
