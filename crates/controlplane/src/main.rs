//! `streamusher-control`: the process of a control machine, and the operators' commands.
//!
//! Exit codes: 0 for success, 1 for a failure, 2 for an invalid command line, settings, configuration or
//! store format.

use anyhow::anyhow;
use log::LevelFilter;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use streamusher_configuration::check_file;
use streamusher_controlplane::cluster_status::{self, query, report, Health};
use streamusher_controlplane::machine_settings::MachineSettings;
use streamusher_controlplane::options::{
    self, ClusterAddresses, Command, FairShareSource, StatusFormat,
};
use streamusher_controlplane::show_disk::{self, ShowDiskError};
use streamusher_controlplane::store::StoreError;
use streamusher_controlplane::{fair_share_file, process};
use streamusher_fair_share::FairShareSettings;
use streamusher_protocol::internal::ExplainRequest;
use streamusher_runtime::options::EXIT_MISUSE;
use streamusher_runtime::settings::{self, ProcessSettings};
use streamusher_runtime::{event_loop, logs};

/// An error that ends the program, by exit code.
enum Failure {
    /// An operation failed at run time; exit code 1.
    Failed(anyhow::Error),
    /// The command line, the settings, a configuration or the store's format is invalid; exit code 2.
    Misuse(anyhow::Error),
}

fn failed(error: impl Into<anyhow::Error>) -> Failure {
    Failure::Failed(error.into())
}

fn misuse(error: impl Into<anyhow::Error>) -> Failure {
    Failure::Misuse(error.into())
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let (code, error) = match execute(&arguments) {
        Ok(code) => return code,
        Err(Failure::Failed(error)) => (ExitCode::FAILURE, format!("{error:#}")),
        Err(Failure::Misuse(error)) => (misuse_code(), error.to_string()),
    };
    eprintln!("streamusher-control: {error}");
    code
}

fn misuse_code() -> ExitCode {
    ExitCode::from(EXIT_MISUSE)
}

fn execute(arguments: &[String]) -> Result<ExitCode, Failure> {
    match options::parse(arguments).map_err(misuse)? {
        Command::Print(text) => print!("{text}"),
        Command::Run {
            log_level,
            fair_share,
        } => run(log_level, fair_share)?,
        Command::CheckSettings(fair_share) => {
            load_fair_share(fair_share)?;
            load_settings()?;
        }
        Command::CheckConfiguration(path) => check_configuration(&path)?,
        Command::Status { cluster, format } => return status(cluster, format),
        Command::Explain { request, cluster } => explain(&request, cluster)?,
        Command::ShowDisk(folder) => show_disk(&folder)?,
    }
    Ok(ExitCode::SUCCESS)
}

fn run(log_level: Option<LevelFilter>, fair_share: Option<FairShareSource>) -> Result<(), Failure> {
    let fair_share = load_fair_share(fair_share)?;
    let settings = load_settings()?;
    logs::start(log_level);
    process::run(&settings, fair_share).map_err(|error| {
        if error.is_newer_format() {
            misuse(error)
        } else {
            failed(error)
        }
    })
}

/// Loads the process settings and checks that they contain what a control machine needs.
fn load_settings() -> Result<ProcessSettings, Failure> {
    let settings = settings::load().map_err(misuse)?;
    MachineSettings::from_process(&settings).map_err(misuse)?;
    Ok(settings)
}

fn load_fair_share(source: Option<FairShareSource>) -> Result<Option<FairShareSettings>, Failure> {
    match source {
        None => Ok(None),
        Some(FairShareSource::CommandLine(settings)) => Ok(Some(settings)),
        Some(FairShareSource::File(path)) => fair_share_file::load(&path).map(Some).map_err(misuse),
    }
}

fn check_configuration(path: &Path) -> Result<(), Failure> {
    let configuration = check_file(path).map_err(misuse)?;
    println!("version {}: valid", configuration.version);
    Ok(())
}

fn status(cluster: ClusterAddresses, format: StatusFormat) -> Result<ExitCode, Failure> {
    let addresses = addresses_to_query(cluster)?;
    let responses = event_loop::block_on(query::query_all(addresses)).map_err(failed)?;
    match format {
        StatusFormat::Tables => print!("{}", report::render(&responses)),
        StatusFormat::Json => print!("{}", cluster_status::to_json(&responses)),
    }
    Ok(match cluster_status::health(&responses) {
        Health::Healthy => ExitCode::SUCCESS,
        Health::Degraded => ExitCode::FAILURE,
    })
}

fn explain(request: &ExplainRequest, cluster: ClusterAddresses) -> Result<(), Failure> {
    let addresses = addresses_to_query(cluster)?;
    let text = event_loop::block_on(cluster_status::explain(addresses, request))
        .map_err(failed)?
        .map_err(failed)?;
    print!("{text}");
    Ok(())
}

/// Returns the given addresses, or the seeds in the settings file if none were given.
fn addresses_to_query(cluster: ClusterAddresses) -> Result<Vec<SocketAddr>, Failure> {
    if !cluster.addresses.is_empty() {
        return Ok(cluster.addresses);
    }
    let settings = match &cluster.settings {
        Some(path) => settings::load_from(path),
        None => settings::load(),
    };
    let settings =
        settings.map_err(|error| misuse(anyhow!("{error}, or name the address of a process")))?;
    Ok(seed_addresses(&settings))
}

fn seed_addresses(settings: &ProcessSettings) -> Vec<SocketAddr> {
    settings
        .core_addresses_of_seeds()
        .iter()
        .filter_map(|seed| seed.internal.parse().ok())
        .collect()
}

fn show_disk(folder: &Path) -> Result<(), Failure> {
    let text = show_disk::show(folder).map_err(|error| match error {
        ShowDiskError::NoStore(_)
        | ShowDiskError::InUse(_)
        | ShowDiskError::Store(StoreError::NewerFormat { .. }) => misuse(error),
        ShowDiskError::Unreadable { .. } | ShowDiskError::Store(_) => failed(error),
    })?;
    print!("{text}");
    Ok(())
}
