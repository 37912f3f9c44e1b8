//! `streamusher servers`: inventories checked, shown, compared and converted, before a dispatcher reads them.

use super::table::{plain, table};
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
    /// The platform's configuration, whose settings list the zones and machine kinds that there are.
    #[arg(long, value_name = "FILE", global = true)]
    settings: Option<PathBuf>,
    /// Print JSON for programs.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Tell every mistake in these files.
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// The workers that a file names.
    Show { file: PathBuf },
    /// What a change from one file to the other means.
    Diff { old: PathBuf, new: PathBuf },
    /// A file in another form, on standard output.
    Convert {
        file: PathBuf,
        /// The form.
        #[arg(long)]
        to: Form,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Form {
    Csv,
    Yaml,
    Ini,
    Json,
}

impl From<Form> for OutputFormat {
    fn from(form: Form) -> OutputFormat {
        match form {
            Form::Csv => OutputFormat::Csv,
            Form::Yaml => OutputFormat::Yaml,
            Form::Ini => OutputFormat::Ini,
            Form::Json => OutputFormat::Json,
        }
    }
}

#[derive(Serialize)]
struct Checked {
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
            What::Check { files } => self.check(files, &known),
            What::Show { file } => {
                let roster = self.read(file, &known)?;
                self.say(&roster.hosts, || hosts(&roster.hosts));
                Ok(())
            }
            What::Diff { old, new } => {
                let diff = InventoryDiff::between(
                    &self.read(old, &known)?.hosts,
                    &self.read(new, &known)?.hosts,
                );
                self.say(&diff, || differences(&diff));
                Ok(())
            }
            What::Convert { file, to } => {
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
            let (roster, problems) = match read_inventory(&FileSystem, file, known) {
                Ok(roster) => (Some(roster), Diagnostics::default()),
                Err(problems) => (None, problems),
            };
            if !self.json {
                match &roster {
                    Some(r) => println!("{name}: {} workers", r.hosts.len()),
                    None => eprintln!("{}", shown(&problems)),
                }
                roster
                    .iter()
                    .flat_map(|r| &r.notes)
                    .for_each(|n| println!("{name}: {}", plain(n)));
            }
            let (hosts, notes) = roster.map_or((0, Vec::new()), |r| (r.hosts.len(), r.notes));
            all.push(Checked {
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

    /// A roster that is good; else every mistake is told.
    fn read(&self, file: &Path, known: &KnownNames) -> Result<Inventory, Failure> {
        read_inventory(&FileSystem, file, known).map_err(|problems| {
            match self.json {
                true => eprintln!(
                    "{}",
                    json!({"problems": problems.list, "more": problems.omitted})
                ),
                false => eprintln!("{}", shown(&problems)),
            }
            Failure::Findings
        })
    }

    fn say(&self, json: &impl Serialize, text: impl FnOnce() -> String) {
        match self.json {
            true => println!("{}", serde_json::to_string(json).unwrap_or_default()),
            false => println!("{}", text()),
        }
    }
}

fn shown(problems: &Diagnostics) -> String {
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

fn differences(diff: &InventoryDiff) -> String {
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
