//! Prints where plays' worth was lost, by cause; the rows add up to 1 less the figure.
//!
//! `cargo run -p streamusher-emulator --example losses -- --site SITE.toml REPORT LOG [REPORT LOG ...]`: a report of each play
//! and what it printed with the logs of all machines; the table is the mean of the plays.

use figment::providers::{Format, Toml};
use figment::Figment;
use getopts::Options;
use serde::Deserialize;
use std::process::ExitCode;
use streamusher_emulator::losses::{missed_in, Class, Losses, Report};

#[derive(Deserialize)]
struct Site {
    classes: Vec<Class>,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match table(&arguments) {
        Ok(losses) => print(&losses),
        Err(problem) => {
            eprintln!("{problem}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn table(arguments: &[String]) -> Result<Losses, String> {
    let mut options = Options::new();
    options.reqopt("", "site", "the deployment that was played", "FILE");
    let usage = || {
        options.usage("losses --site FILE REPORT LOG [REPORT LOG ...]: where plays' worth was lost")
    };
    let matches = options
        .parse(arguments)
        .map_err(|problem| format!("{problem}\n{}", usage()))?;
    let site = matches.opt_str("site").unwrap_or_default();
    let classes = classes_of(&site)?;
    if matches.free.is_empty() || matches.free.len() % 2 != 0 {
        return Err(format!("a log belongs to each report\n{}", usage()));
    }
    let plays = matches.free.chunks(2);
    let part = 1.0 / plays.len() as f64;
    let mut losses = Losses::default();
    for play in plays {
        let report: Report = serde_json::from_str(&read(&play[0])?)
            .map_err(|problem| format!("{}: {problem}", play[0]))?;
        let missed = missed_in(&read(&play[1])?);
        losses.add_part(&Losses::of(&report, &classes, &missed), part);
    }
    Ok(losses)
}

fn classes_of(site: &str) -> Result<Vec<Class>, String> {
    let figment = Figment::new().merge(Toml::file_exact(site));
    let site: Site = figment
        .extract()
        .map_err(|problem| format!("{site}: {problem}"))?;
    Ok(site.classes)
}

fn read(path: &str) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|problem| format!("{path}: {problem}"))
}

fn print(losses: &Losses) {
    let mut rows: Vec<_> = losses.by_cause.iter().collect();
    rows.sort_by(|a, b| b.1.total_cmp(a.1));
    rows.into_iter()
        .for_each(|(cause, loss)| println!("{loss:8.4}  {cause}"));
    println!("{:8.4}  lost", losses.total());
}
