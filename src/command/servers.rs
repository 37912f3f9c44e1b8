//! `streamusher servers`: checks, shows, compares and converts inventories before a dispatcher reads them.

use super::table::{escape_control, table};
use super::Failure;
use crate::config::Config;
use clap::{Args, Subcommand, ValueEnum};
use serde::Serialize;
use serde_json::json;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use streamusher_inventory::{
    read_inventory, write_inventory, Diagnostic, Diagnostics, FileSystem, Host, Inventory,
    InventoryDiff, KnownNames, OutputFormat,
};

#[derive(Args)]
pub(super) struct Servers {
    /// The platform's configuration, whose settings list the valid zones and machine kinds.
    #[arg(long, value_name = "FILE", global = true)]
    settings: Option<PathBuf>,
    /// Print JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    what: ServersCommand,
}

#[derive(Subcommand)]
enum ServersCommand {
    /// Report every mistake in these files.
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Show the workers in a file.
    Show { file: PathBuf },
    /// Show what a change from one file to the other would do.
    Diff { old: PathBuf, new: PathBuf },
    /// Print a file in another format on standard output.
    Convert {
        file: PathBuf,
        /// The output format.
        #[arg(long)]
        to: Format,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Format {
    Csv,
    Yaml,
    Ini,
    Json,
}

impl From<Format> for OutputFormat {
    fn from(form: Format) -> OutputFormat {
        match form {
            Format::Csv => OutputFormat::Csv,
            Format::Yaml => OutputFormat::Yaml,
            Format::Ini => OutputFormat::Ini,
            Format::Json => OutputFormat::Json,
        }
    }
}

#[derive(Serialize)]
struct CheckResult {
    file: String,
    hosts: usize,
    notes: Vec<String>,
    problems: Vec<Diagnostic>,
    more: usize,
}

impl Servers {
    pub(super) fn run(self) -> Result<(), Failure> {
        let known = match &self.settings {
            None => KnownNames::default(),
            Some(path) => {
                let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
                let config = Config::parse(&text, |_| None);
                config
                    .map_err(|e| format!("{}: {e}", path.display()))?
                    .known_names()
            }
        };
        match &self.what {
            ServersCommand::Check { files } => self.check(files, &known),
            ServersCommand::Show { file } => {
                let inventory = self.read(file, &known)?;
                self.print_result(&inventory.hosts, || hosts(&inventory.hosts));
                Ok(())
            }
            ServersCommand::Diff { old, new } => {
                let diff = InventoryDiff::between(
                    &self.read(old, &known)?.hosts,
                    &self.read(new, &known)?.hosts,
                );
                self.print_result(&diff, || diff_text(&diff));
                Ok(())
            }
            ServersCommand::Convert { file, to } => {
                print!(
                    "{}",
                    write_inventory(&self.read(file, &known)?.hosts, (*to).into())
                );
                Ok(())
            }
        }
    }

    fn check(&self, files: &[PathBuf], known: &KnownNames) -> Result<(), Failure> {
        let mut all = Vec::new();
        for file in files {
            let name = file.display().to_string();
            let (inventory, problems) = match read_inventory(&FileSystem, file, known) {
                Ok(inventory) => (Some(inventory), Diagnostics::default()),
                Err(problems) => (None, problems),
            };
            if !self.json {
                match &inventory {
                    Some(r) => println!("{name}: {} workers", r.hosts.len()),
                    None => eprintln!("{}", render_problems(&problems)),
                }
                inventory
                    .iter()
                    .flat_map(|r| &r.notes)
                    .for_each(|n| println!("{name}: {}", escape_control(n)));
            }
            let (hosts, notes) = inventory.map_or((0, Vec::new()), |r| (r.hosts.len(), r.notes));
            all.push(CheckResult {
                file: name,
                hosts,
                notes,
                problems: problems.list,
                more: problems.omitted,
            });
        }
        if self.json {
            println!("{}", serde_json::to_string(&all)?);
        }
        match all.iter().all(|c| c.problems.is_empty()) {
            true => Ok(()),
            false => Err(Failure::Findings),
        }
    }

    /// Reads an inventory; if it has mistakes, prints them all.
    fn read(&self, file: &Path, known: &KnownNames) -> Result<Inventory, Failure> {
        read_inventory(&FileSystem, file, known).map_err(|problems| {
            match self.json {
                true => eprintln!(
                    "{}",
                    json!({"problems": problems.list, "more": problems.omitted})
                ),
                false => eprintln!("{}", render_problems(&problems)),
            }
            Failure::Findings
        })
    }

    fn print_result(&self, json: &impl Serialize, text: impl FnOnce() -> String) {
        match self.json {
            true => println!("{}", serde_json::to_string(json).unwrap_or_default()),
            false => println!("{}", text()),
        }
    }
}

fn render_problems(problems: &Diagnostics) -> String {
    problems.render(std::io::stderr().is_terminal() && std::env::var_os("NO_COLOR").is_none())
}

fn hosts(hosts: &[Host]) -> String {
    let row = |h: &Host| {
        let (addr, cell, weight) = (h.addr.to_string(), h.cell.to_string(), h.weight.to_string());
        vec![
            h.name.clone(),
            addr,
            h.zone.clone(),
            h.kind.clone(),
            cell,
            weight,
        ]
    };
    table(
        &["name", "address", "zone", "kind", "cell", "weight"],
        hosts.iter().map(row),
    )
}

fn diff_text(diff: &InventoryDiff) -> String {
    let all = [
        ("added", &diff.added),
        ("drained", &diff.drained),
        ("moved", &diff.moved),
        ("reweighted", &diff.reweighted),
        ("changed", &diff.changed),
    ];
    let lines: Vec<String> = all
        .iter()
        .filter(|(_, n)| !n.is_empty())
        .map(|(what, n)| format!("{what}: {}", n.join(", ")))
        .collect();
    match lines.is_empty() {
        true => "nothing differs".into(),
        false => lines.join("\n"),
    }
}
