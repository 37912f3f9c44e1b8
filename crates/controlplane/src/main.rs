//! `streamusher-control`: the control plane's process on a core machine.

use std::path::Path;
use std::process::ExitCode;
use streamusher_configuration::check_file;
use streamusher_controlplane::options::{parse, Task};
use streamusher_controlplane::parameters::places;
use streamusher_controlplane::program;
use streamusher_controlplane::store::StoreError;
use streamusher_node::options::EXIT_MISUSE;
use streamusher_node::{logs, settings};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match parse(&arguments) {
        Ok(Task::Print(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Task::CheckSettings) => with_settings(|_| ExitCode::SUCCESS),
        Ok(Task::CheckConfiguration(path)) => check_configuration(&path),
        Ok(Task::Run) => with_settings(run),
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

fn run(settings: settings::Settings) -> ExitCode {
    logs::start();
    let Err(error) = program::run(settings) else { return ExitCode::SUCCESS };
    if let Some(StoreError::Newer { .. }) = error.downcast_ref::<StoreError>() {
        return misuse(&error.to_string());
    }
    eprintln!("streamusher-control: {error:#}");
    ExitCode::FAILURE
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

fn misuse(reason: &str) -> ExitCode {
    eprintln!("streamusher-control: {reason}");
    ExitCode::from(u8::try_from(EXIT_MISUSE).unwrap_or(2))
}
