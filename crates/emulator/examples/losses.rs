//! Prints the value that benchmark runs lost, by cause; the rows add up to 1 minus the score.
//!
//! `cargo run -p streamusher-emulator --example losses -- --site SITE.toml REPORT LOG [REPORT LOG ...]`:
//! takes the report of each run, and its output with the logs of all machines. The table is the mean of the
//! runs.

use figment::providers::{Format, Toml};
use figment::Figment;
use getopts::Options;
use serde::Deserialize;
use std::process::ExitCode;
use streamusher_emulator::lost_value::{parse_missed_objectives, LostValue, Report, RequestClass};

/// Error that prevents the table from being built.
#[derive(Debug, thiserror::Error)]
enum TableError {
    #[error("{source}\n{usage}")]
    Arguments {
        source: getopts::Fail,
        usage: String,
    },
    #[error("each report requires a log\n{usage}")]
    ReportWithoutLog { usage: String },
    #[error("{path}: {source}")]
    Unreadable {
        path: String,
        source: std::io::Error,
    },
    #[error("{path}: {source}")]
    InvalidSite {
        path: String,
        source: Box<figment::Error>,
    },
    #[error("{path}: {source}")]
    InvalidReport {
        path: String,
        source: serde_json::Error,
    },
}

#[derive(Deserialize)]
struct Site {
    classes: Vec<RequestClass>,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match table(&arguments) {
        Ok(lost) => print(&lost),
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn table(arguments: &[String]) -> Result<LostValue, TableError> {
    let mut options = Options::new();
    options.reqopt(
        "",
        "site",
        "site file of the deployment used in the runs",
        "FILE",
    );
    let usage = || {
        options.usage("losses --site FILE REPORT LOG [REPORT LOG ...]: value lost in benchmark runs, by cause")
    };
    let matches = options
        .parse(arguments)
        .map_err(|source| TableError::Arguments {
            source,
            usage: usage(),
        })?;
    let site = matches.opt_str("site").unwrap_or_default();
    let classes = read_classes(&site)?;
    if matches.free.is_empty() || matches.free.len() % 2 != 0 {
        return Err(TableError::ReportWithoutLog { usage: usage() });
    }
    let runs = matches.free.chunks(2);
    let part = 1.0 / runs.len() as f64;
    let mut lost = LostValue::default();
    for run in runs {
        let report = read_report(&run[0])?;
        let missed = parse_missed_objectives(&read(&run[1])?);
        lost.add_part(&LostValue::of(&report, &classes, &missed), part);
    }
    Ok(lost)
}

fn read_classes(path: &str) -> Result<Vec<RequestClass>, TableError> {
    let figment = Figment::new().merge(Toml::file_exact(path));
    let site: Site = figment
        .extract()
        .map_err(|source| TableError::InvalidSite {
            path: path.into(),
            source: Box::new(source),
        })?;
    Ok(site.classes)
}

fn read_report(path: &str) -> Result<Report, TableError> {
    let text = read(path)?;
    serde_json::from_str(&text).map_err(|source| TableError::InvalidReport {
        path: path.into(),
        source,
    })
}

fn read(path: &str) -> Result<String, TableError> {
    std::fs::read_to_string(path).map_err(|source| TableError::Unreadable {
        path: path.into(),
        source,
    })
}

fn print(lost: &LostValue) {
    let mut rows: Vec<_> = lost.by_cause.iter().collect();
    rows.sort_by(|a, b| b.1.total_cmp(a.1));
    for (cause, loss) in rows {
        println!("{loss:8.4}  {cause}");
    }
    println!("{:8.4}  lost", lost.total());
}
