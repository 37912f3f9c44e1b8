//! `streamusher ledger`: the operators' commands on the ledger. A dispatcher may write to the ledger at the
//! same time.

use super::report::{describe_finding, use_cells, USE_HEADINGS};
use super::table::{escape_control, table};
use super::Failure;
use crate::billing::unix_time_us;
use crate::config::operators::OperatorsConfig;
use clap::{Args, Subcommand, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;
use serde_json::json;
use std::path::PathBuf;
use streamusher_inventory::KnownNames;
use streamusher_ledger::correction::{Correction, Subject};
use streamusher_ledger::export::{export, lines, Line};
use streamusher_ledger::period::{format_timestamp, Period};
use streamusher_ledger::store::{Settle, Store};
use streamusher_ledger::sums::Usage;
use streamusher_ledger::{key, receipts, scan};

type CommandResult = Result<(), Failure>;

#[derive(Args)]
pub(super) struct Ledger {
    #[command(flatten)]
    place: LedgerLocation,
    #[command(subcommand)]
    what: LedgerCommand,
}

/// Selects a ledger: that of the operators' file, or one in a folder.
#[derive(Args)]
struct LedgerLocation {
    /// The operators' file, whose table [ledger] is used.
    #[arg(long, value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    /// The ledger's folder, instead of an operators' file.
    #[arg(long, value_name = "DIR", global = true, conflicts_with = "config")]
    dir: Option<PathBuf>,
    /// The file with the ledger's key; default: ledger.key in its folder.
    #[arg(long, value_name = "FILE", global = true, conflicts_with = "config")]
    key_file: Option<PathBuf>,
    /// Print JSON.
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Subcommand)]
enum LedgerCommand {
    /// Show the sums by period, tenant and class.
    Show {
        /// Show only this period: 2026-12, 2026-12-01 or 2026-12-01T13.
        #[arg(long)]
        period: Option<Period>,
        /// Show only this tenant.
        #[arg(long)]
        tenant: Option<String>,
    },
    /// Add to or subtract from a tenant's usage. The correction is entered in the first open period.
    Correct {
        /// The period to which the correction applies; it may be closed.
        #[arg(long)]
        of: Period,
        #[arg(long)]
        tenant: String,
        #[arg(long)]
        class: String,
        /// Operations to add; negative to subtract.
        #[arg(long, default_value_t = 0, allow_hyphen_values = true)]
        operations: i64,
        /// Slot-microseconds to add; negative to subtract.
        #[arg(long, default_value_t = 0, allow_hyphen_values = true)]
        slot_us: i128,
        #[command(flatten)]
        by: Attribution,
    },
    /// Close the periods that are due. A running dispatcher does this automatically.
    Close {
        /// Close all periods up to this one, even before it has ended. No dispatcher may write to the ledger
        /// at the same time.
        #[arg(long)]
        through: Option<Period>,
    },
    /// List or settle doubtful entries: served operations for which it is unknown whether the clients
    /// received the answers.
    Doubts {
        /// Settle all listed entries in the same way.
        #[arg(long, requires = "author", conflicts_with = "receipts")]
        settle: Option<Settlement>,
        /// Settle by a client's receipts, a CSV file with a column `operation`: operations in it are billed,
        /// others waived.
        #[arg(long, value_name = "FILE", requires = "author")]
        receipts: Option<PathBuf>,
        /// Select only this tenant's entries.
        #[arg(long)]
        tenant: Option<String>,
        /// Author of the settlement.
        #[arg(long)]
        author: Option<String>,
        /// The reason for the settlement.
        #[arg(long, default_value = "settled by the operators")]
        reason: String,
    },
    /// Verify that the ledger is unchanged since it was written.
    Verify,
    /// Write closed periods into a folder. A second run changes nothing.
    Export {
        /// Export only this period; default: all closed ones.
        #[arg(long)]
        period: Option<Period>,
        /// The destination folder.
        #[arg(long, value_name = "DIR")]
        to: PathBuf,
    },
    /// Merge exports of any instances; print the bill and all inconsistencies.
    Reconcile {
        /// Folders with exports.
        #[arg(required = true, value_name = "DIR")]
        dirs: Vec<PathBuf>,
        /// Number of files read concurrently.
        #[arg(long, default_value_t = 4)]
        threads: usize,
    },
}

#[derive(Args)]
struct Attribution {
    /// Author of the correction.
    #[arg(long)]
    author: String,
    /// The reason for the correction.
    #[arg(long)]
    reason: String,
}

#[derive(Clone, Copy, ValueEnum)]
enum Settlement {
    Bill,
    Waive,
}

impl From<Settlement> for Settle {
    fn from(how: Settlement) -> Settle {
        match how {
            Settlement::Bill => Settle::Bill,
            Settlement::Waive => Settle::Waive,
        }
    }
}

impl LedgerLocation {
    fn operators(&self) -> Result<Option<OperatorsConfig>, Failure> {
        Ok(self
            .config
            .as_deref()
            .map(|f| OperatorsConfig::load(f, &KnownNames::default()))
            .transpose()?)
    }

    /// Opens the store. Also returns how long after its end a period is closed, in microseconds.
    fn open(&self) -> Result<(Store, u64), Failure> {
        if let Some(operators) = self.operators()? {
            let config = operators
                .ledger
                .ok_or("the operators' file has no table [ledger]")?;
            return Ok((
                Store::open_for_command(&config.dir, config.key(false)?)?,
                config.lateness_s * 1_000_000,
            ));
        }
        let dir = self
            .dir
            .as_ref()
            .ok_or("no ledger given: use --config FILE or --dir DIR")?;
        let key_file = self
            .key_file
            .clone()
            .unwrap_or_else(|| dir.join("ledger.key"));
        Ok((
            Store::open_for_command(dir, key::load(&key_file)?)?,
            300_000_000,
        ))
    }

    /// Prints JSON or text, as selected by `--json`.
    fn print_result(&self, json: &impl Serialize, text: impl FnOnce() -> String) {
        match self.json {
            true => println!("{}", serde_json::to_string(json).unwrap_or_default()),
            false => println!("{}", text()),
        }
    }
}

fn progress(steps: u64, what: &'static str) -> ProgressBar {
    let style = ProgressStyle::with_template("{msg} {bar:30} {pos}/{len} {eta}");
    let bar = ProgressBar::new(steps).with_message(what); // drawn only on a terminal
    style.map_or(bar.clone(), |s| bar.with_style(s))
}

#[derive(Serialize)]
struct PeriodSums {
    period: Period,
    closed: bool,
    lines: Vec<Line>,
}

impl Ledger {
    pub(super) fn run(self) -> CommandResult {
        let place = &self.place;
        match self.what {
            LedgerCommand::Show { period, tenant } => show(place, period, tenant),
            LedgerCommand::Correct {
                of,
                tenant,
                class,
                operations,
                slot_us,
                by,
            } => {
                let Attribution { author, reason } = by;
                let (time_us, subject) = (unix_time_us(), Subject::Usage);
                correct(
                    place,
                    Correction {
                        time_us,
                        corrected_period: of,
                        subject,
                        tenant,
                        class,
                        operations,
                        slot_us,
                        author,
                        reason,
                    },
                )
            }
            LedgerCommand::Close { through } => close(place, through),
            LedgerCommand::Doubts {
                settle,
                receipts,
                tenant,
                author,
                reason,
            } => {
                let how = match (settle, receipts) {
                    (Some(how), _) => Some(SettlementSource::Rule(how.into())),
                    (None, Some(file)) => Some(SettlementSource::Receipts(file)),
                    (None, None) => None,
                };
                doubts(place, how, tenant, &author.unwrap_or_default(), &reason)
            }
            LedgerCommand::Verify => verify(place),
            LedgerCommand::Export { period, to } => export_to(place, period, &to),
            LedgerCommand::Reconcile { dirs, threads } => reconcile(place, &dirs, threads),
        }
    }
}

/// How the doubtful entries are settled.
enum SettlementSource {
    Rule(Settle),
    Receipts(PathBuf),
}

fn show(place: &LedgerLocation, period: Option<Period>, tenant: Option<String>) -> CommandResult {
    let (store, _) = place.open()?;
    let mut shown = Vec::new();
    for p in store
        .periods()?
        .into_iter()
        .filter(|p| period.is_none_or(|only| only == *p))
    {
        let closed = store.seal_of(p)?.is_some();
        let mut all = lines(store.sums(p)?);
        all.retain(|l| tenant.as_ref().is_none_or(|t| *t == l.tenant));
        shown.push(PeriodSums {
            period: p,
            closed,
            lines: all,
        });
    }
    let rows = || {
        let row = |sums: &PeriodSums, line: &Line| {
            let state = if sums.closed { "closed" } else { "open" };
            [
                vec![
                    sums.period.to_string(),
                    state.into(),
                    line.tenant.clone(),
                    line.class.clone(),
                ],
                use_cells(&line.sums),
            ]
            .concat()
        };
        let rows = shown
            .iter()
            .flat_map(|s| s.lines.iter().map(move |l| row(s, l)));
        let head = [&["period", "state", "tenant", "class"][..], &USE_HEADINGS].concat();
        table(&head, rows)
    };
    place.print_result(&shown, rows);
    Ok(())
}

fn correct(place: &LedgerLocation, correction: Correction) -> CommandResult {
    correction.check()?;
    let (mut store, _) = place.open()?;
    if correction.corrected_period.span() != store.span() {
        return Err(format!(
            "--of: {} does not have the length of this ledger's periods",
            correction.corrected_period
        )
        .into());
    }
    check_key(&store)?;
    let number = store.correct(&correction)?;
    place.print_result(&json!({"correction": number}), || {
        format!("correction {number} is booked")
    });
    Ok(())
}

/// Checks the key before anything is written: `verify` rejects MACs made with another key.
fn check_key(store: &Store) -> CommandResult {
    match store.has_key()? {
        true => Ok(()),
        false => Err("the key is not the one with which this ledger was created".into()),
    }
}

fn close(place: &LedgerLocation, through: Option<Period>) -> CommandResult {
    let (mut store, lateness) = place.open()?;
    let closed = match through {
        Some(last) if last.span() != store.span() => {
            return Err(format!(
                "--through: {last} does not have the length of this ledger's periods"
            )
            .into())
        }
        Some(last) => store.close_through(last, unix_time_us())?,
        None => store.close_due(unix_time_us(), lateness)?,
    };
    let names: Vec<String> = closed.iter().map(|c| c.period.to_string()).collect();
    place.print_result(&json!({"closed": names}), || match names.is_empty() {
        true => "no period is due".into(),
        false => format!("closed: {}", names.join(", ")),
    });
    Ok(())
}

fn doubts(
    place: &LedgerLocation,
    how: Option<SettlementSource>,
    tenant: Option<String>,
    author: &str,
    reason: &str,
) -> CommandResult {
    let (mut store, _) = place.open()?;
    let mut doubts = store.doubts()?;
    doubts.retain(|d| tenant.as_ref().is_none_or(|t| *t == d.tenant));
    let settled = match how {
        None => {
            let listed: Vec<_> = doubts
                .iter()
                .map(|d| {
                    json!({"period": d.period, "epoch": d.epoch, "seq": d.row.seq, "operation": d.row.operation,
                        "tenant": d.tenant, "class": d.class, "time": format_timestamp(d.row.time_us),
                        "slot_us": d.row.slot_us()})
                })
                .collect();
            let rows = doubts.iter().map(|d| {
                vec![
                    d.period.to_string(),
                    format_timestamp(d.row.time_us),
                    d.row.operation.clone(),
                    d.tenant.clone(),
                    d.class.clone(),
                    d.row.slot_us().to_string(),
                ]
            });
            place.print_result(&listed, || {
                table(
                    &["period", "time", "operation", "tenant", "class", "slot-us"],
                    rows,
                )
            });
            return Ok(());
        }
        Some(_) if author.trim().is_empty() => return Err("--author: must not be empty".into()),
        Some(SettlementSource::Rule(how)) => {
            check_key(&store)?;
            receipts::settle(&mut store, &doubts, unix_time_us(), author, reason, |_| how)?
        }
        Some(SettlementSource::Receipts(file)) => {
            check_key(&store)?;
            let found = receipts::find_receipts(&file, &doubts)?;
            let how = |d: &streamusher_ledger::store::Doubt| match found.contains(&d.row.operation)
            {
                true => Settle::Bill,
                false => Settle::Waive,
            };
            receipts::settle(&mut store, &doubts, unix_time_us(), author, reason, how)?
        }
    };
    place.print_result(&settled, || {
        format!("billed {}, waived {}", settled.billed, settled.waived)
    });
    Ok(())
}

fn verify(place: &LedgerLocation) -> CommandResult {
    let (store, _) = place.open()?;
    check_key(&store)?;
    let bar = progress(store.entries()?, "verifying");
    let done = store.verify(|entries| bar.inc(entries));
    bar.finish_and_clear();
    let done = done?;
    place.print_result(&done, || {
        format!(
            "{} entries, {} corrections, {} closed periods: all as written",
            done.entries, done.corrections, done.seals
        )
    });
    Ok(())
}

fn export_to(
    place: &LedgerLocation,
    period: Option<Period>,
    to: &std::path::Path,
) -> CommandResult {
    let (store, _) = place.open()?;
    let periods = match period {
        Some(period) => vec![period],
        None => store.seals()?.into_iter().map(|s| s.period).collect(),
    };
    let bar = progress(periods.len() as u64, "exporting");
    let mut manifests = Vec::new();
    for period in periods {
        manifests.extend(export(&store, period, to, |_| true)?);
        bar.inc(1);
    }
    bar.finish_and_clear();
    let rows = manifests.iter().map(|m| {
        vec![
            m.period.to_string(),
            m.entries.to_string(),
            m.file.clone(),
            m.id.clone(),
        ]
    });
    place.print_result(&manifests, || {
        table(&["period", "entries", "file", "id"], rows)
    });
    Ok(())
}

#[derive(Serialize)]
struct BillLine {
    tenant: String,
    class: String,
    period: Period,
    sums: Usage,
}

fn reconcile(place: &LedgerLocation, dirs: &[PathBuf], threads: usize) -> CommandResult {
    let tenants = place.operators()?.and_then(|o| o.tenants);
    let bar = progress(0, "reading");
    let all = scan::scan(dirs, threads, |files| {
        bar.set_length(files as u64);
        bar.inc(1);
    })?;
    bar.finish_and_clear();
    let current_name = |name: &str| {
        tenants
            .as_ref()
            .map_or(name.to_string(), |t| t.tenants.current_name(name))
    };
    let bill = all.merged.bill(current_name)?;
    let bill: Vec<BillLine> = bill
        .into_iter()
        .map(|((tenant, class, period), sums)| BillLine {
            tenant,
            class,
            period,
            sums,
        })
        .collect();
    let said = json!({"exports": all.merged.len(), "entries": all.merged.entries(), "more_repeats": all.more_repeats,
        "findings": serde_json::to_value(&all.findings)?});
    if place.json {
        // The sums may exceed the integers of JSON values in the library, so the lines are serialized
        // directly.
        println!(
            "{{\"bill\":{},\"report\":{said}}}",
            serde_json::to_string(&bill)?
        );
    } else {
        let row = |l: &BillLine| {
            [
                vec![l.tenant.clone(), l.class.clone(), l.period.to_string()],
                use_cells(&l.sums),
            ]
            .concat()
        };
        println!(
            "{}",
            table(
                &[&["tenant", "class", "period"][..], &USE_HEADINGS].concat(),
                bill.iter().map(row)
            )
        );
        println!(
            "{} exports, {} entries",
            all.merged.len(),
            all.merged.entries()
        );
        all.findings
            .iter()
            .for_each(|f| println!("! {}", escape_control(&describe_finding(f))));
        if all.more_repeats > 0 {
            println!(
                "! {} more keys were answered by several instances",
                all.more_repeats
            );
        }
    }
    match all.findings.is_empty() {
        true => Ok(()),
        false => Err(Failure::Findings),
    }
}
