//! `streamusher ledger`: what operators do with the ledger. A dispatcher may write to it meanwhile.

use super::report::{finding, use_cells, USE};
use super::table::{plain, table};
use super::Failure;
use crate::billing::wall;
use crate::config::operators::OperatorsConfig;
use clap::{Args, Subcommand, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;
use serde_json::json;
use std::path::PathBuf;
use streamusher_inventory::KnownNames;
use streamusher_ledger::correction::{About, Correction};
use streamusher_ledger::export::{export, lines, Line};
use streamusher_ledger::period::{moment, Period};
use streamusher_ledger::store::{Settle, Store};
use streamusher_ledger::sums::Use;
use streamusher_ledger::{key, receipts, scan};

type Done = Result<(), Failure>;

#[derive(Args)]
pub(super) struct Ledger {
    #[command(flatten)]
    place: Place,
    #[command(subcommand)]
    what: What,
}

/// Which ledger: the one of the operators' file, or one in a folder.
#[derive(Args)]
struct Place {
    /// The operators' file, whose [ledger] it is.
    #[arg(long, value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    /// The ledger's folder, without an operators' file.
    #[arg(long, value_name = "DIR", global = true, conflicts_with = "config")]
    dir: Option<PathBuf>,
    /// The ledger's key; ledger.key in its folder, if none is named.
    #[arg(long, value_name = "FILE", global = true, conflicts_with = "config")]
    key_file: Option<PathBuf>,
    /// Print JSON for programs.
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Subcommand)]
enum What {
    /// The sums by period, tenant and class.
    Show {
        /// One period alone: 2026-12, 2026-12-01 or 2026-12-01T13.
        #[arg(long)]
        period: Option<Period>,
        /// One tenant alone.
        #[arg(long)]
        tenant: Option<String>,
    },
    /// Add to a tenant's use, or take away from it. It stands in the first open period.
    Correct {
        /// The period that it is about, which may be closed.
        #[arg(long)]
        of: Period,
        #[arg(long)]
        tenant: String,
        #[arg(long)]
        class: String,
        /// Operations to add, or take away.
        #[arg(long, default_value_t = 0, allow_hyphen_values = true)]
        operations: i64,
        /// Slot-microseconds to add, or take away.
        #[arg(long, default_value_t = 0, allow_hyphen_values = true)]
        slot_us: i128,
        #[command(flatten)]
        by: By,
    },
    /// Close the periods that are due. A running dispatcher does so by itself.
    Close {
        /// Close all up to this one, even before it has ended. No dispatcher may write to the ledger meanwhile.
        #[arg(long)]
        through: Option<Period>,
    },
    /// List served operations that nobody can tell of whether their clients have the answers, or settle them.
    DoubtPolicy {
        /// Settle all that are listed the same way.
        #[arg(long, requires = "author", conflicts_with = "receipts")]
        settle: Option<How>,
        /// Settle by a client's receipts, a CSV file with a column `operation`: those in it are billed, others waived.
        #[arg(long, value_name = "FILE", requires = "author")]
        receipts: Option<PathBuf>,
        /// One tenant's alone.
        #[arg(long)]
        tenant: Option<String>,
        /// Who settles them.
        #[arg(long)]
        author: Option<String>,
        /// Why.
        #[arg(long, default_value = "settled by the operators")]
        reason: String,
    },
    /// Check that the ledger still holds what was written.
    Verify,
    /// Write closed periods into a folder. Run again it changes nothing.
    Export {
        /// One period alone; all closed ones, if none is named.
        #[arg(long)]
        period: Option<Period>,
        /// The folder.
        #[arg(long, value_name = "DIR")]
        to: PathBuf,
    },
    /// Merge exports of any instances, and tell the bill and what does not fit.
    Reconcile {
        /// Folders with exports.
        #[arg(required = true, value_name = "DIR")]
        dirs: Vec<PathBuf>,
        /// Files read at the same time.
        #[arg(long, default_value_t = 4)]
        threads: usize,
    },
}

#[derive(Args)]
struct By {
    /// Who corrects.
    #[arg(long)]
    author: String,
    /// Why.
    #[arg(long)]
    reason: String,
}

#[derive(Clone, Copy, ValueEnum)]
enum How {
    Bill,
    Waive,
}

impl From<How> for Settle {
    fn from(how: How) -> Settle {
        match how {
            How::Bill => Settle::Bill,
            How::Waive => Settle::Waive,
        }
    }
}

impl Place {
    fn operators(&self) -> Result<Option<OperatorsConfig>, Failure> {
        Ok(self
            .config
            .as_deref()
            .map(|f| OperatorsConfig::load(f, &KnownNames::default()))
            .transpose()?)
    }

    /// The store, and how long after its end a period may be closed.
    fn open(&self) -> Result<(Store, u64), Failure> {
        if let Some(operators) = self.operators()? {
            let config = operators
                .ledger
                .ok_or("the operators' file has no table [ledger]")?;
            return Ok((
                Store::command(&config.dir, config.key(false)?)?,
                config.lateness_s * 1_000_000,
            ));
        }
        let dir = self
            .dir
            .as_ref()
            .ok_or("which ledger? --config FILE or --dir DIR")?;
        let key_file = self
            .key_file
            .clone()
            .unwrap_or_else(|| dir.join("ledger.key"));
        Ok((Store::command(dir, key::load(&key_file)?)?, 300_000_000))
    }

    /// JSON for programs, text for people.
    fn say(&self, json: &impl Serialize, text: impl FnOnce() -> String) {
        match self.json {
            true => println!("{}", serde_json::to_string(json).unwrap_or_default()),
            false => println!("{}", text()),
        }
    }
}

fn progress(steps: u64, what: &'static str) -> ProgressBar {
    let style = ProgressStyle::with_template("{msg} {bar:30} {pos}/{len} {eta}");
    let bar = ProgressBar::new(steps).with_message(what); // draws on a terminal alone
    style.map_or(bar.clone(), |s| bar.with_style(s))
}

#[derive(Serialize)]
struct Shown {
    period: Period,
    closed: bool,
    lines: Vec<Line>,
}

impl Ledger {
    pub(super) fn run(self) -> Done {
        let place = &self.place;
        match self.what {
            What::Show { period, tenant } => show(place, period, tenant),
            What::Correct {
                of,
                tenant,
                class,
                operations,
                slot_us,
                by,
            } => {
                let By { author, reason } = by;
                let (time_us, about) = (wall(), About::Use);
                correct(
                    place,
                    Correction {
                        time_us,
                        of,
                        about,
                        tenant,
                        class,
                        operations,
                        slot_us,
                        author,
                        reason,
                    },
                )
            }
            What::Close { through } => close(place, through),
            What::DoubtPolicy {
                settle,
                receipts,
                tenant,
                author,
                reason,
            } => {
                let how = match (settle, receipts) {
                    (Some(how), _) => Some(Judge::Rule(how.into())),
                    (None, Some(file)) => Some(Judge::Receipts(file)),
                    (None, None) => None,
                };
                doubts(place, how, tenant, &author.unwrap_or_default(), &reason)
            }
            What::Verify => verify(place),
            What::Export { period, to } => export_to(place, period, &to),
            What::Reconcile { dirs, threads } => reconcile(place, &dirs, threads),
        }
    }
}

/// What doubts are settled by.
enum Judge {
    Rule(Settle),
    Receipts(PathBuf),
}

fn show(place: &Place, period: Option<Period>, tenant: Option<String>) -> Done {
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
        shown.push(Shown {
            period: p,
            closed,
            lines: all,
        });
    }
    let rows = || {
        let row = |s: &Shown, l: &Line| {
            let state = if s.closed { "closed" } else { "open" };
            [
                vec![
                    s.period.to_string(),
                    state.into(),
                    l.tenant.clone(),
                    l.class.clone(),
                ],
                use_cells(&l.sums),
            ]
            .concat()
        };
        let rows = shown
            .iter()
            .flat_map(|s| s.lines.iter().map(move |l| row(s, l)));
        let head = [&["period", "state", "tenant", "class"][..], &USE].concat();
        table(&head, rows)
    };
    place.say(&shown, rows);
    Ok(())
}

fn correct(place: &Place, correction: Correction) -> Done {
    correction.check()?;
    let (mut store, _) = place.open()?;
    if correction.of.span() != store.span() {
        return Err(format!(
            "--of: this ledger's periods are not of that length: {}",
            correction.of
        )
        .into());
    }
    checked_key(&store)?;
    let no = store.correct(&correction)?;
    place.say(&json!({"correction": no}), || {
        format!("correction {no} is booked")
    });
    Ok(())
}

/// Guards against MACs that `verify` would find wrong.
fn checked_key(store: &Store) -> Done {
    match store.has_key()? {
        true => Ok(()),
        false => Err("the key is not the one that this ledger was made with".into()),
    }
}

fn close(place: &Place, through: Option<Period>) -> Done {
    let (mut store, lateness) = place.open()?;
    let closed = match through {
        Some(last) if last.span() != store.span() => {
            return Err(
                format!("--through: this ledger's periods are not of that length: {last}").into(),
            )
        }
        Some(last) => store.close_through(last, wall())?,
        None => store.close_due(wall(), lateness)?,
    };
    let names: Vec<String> = closed.iter().map(|c| c.period.to_string()).collect();
    place.say(&json!({"closed": names}), || match names.is_empty() {
        true => "no period is due".into(),
        false => format!("closed: {}", names.join(", ")),
    });
    Ok(())
}

fn doubts(
    place: &Place,
    how: Option<Judge>,
    tenant: Option<String>,
    author: &str,
    reason: &str,
) -> Done {
    let (mut store, _) = place.open()?;
    let mut doubts = store.doubts()?;
    doubts.retain(|d| tenant.as_ref().is_none_or(|t| *t == d.tenant));
    let settled = match how {
        None => {
            let listed: Vec<_> = doubts
                .iter()
                .map(|d| {
                    json!({"period": d.period, "epoch": d.epoch, "seq": d.row.seq, "operation": d.row.operation,
                        "tenant": d.tenant, "class": d.class, "time": moment(d.row.time_us),
                        "slot_us": d.row.slot_us()})
                })
                .collect();
            let rows = doubts.iter().map(|d| {
                vec![
                    d.period.to_string(),
                    moment(d.row.time_us),
                    d.row.operation.clone(),
                    d.tenant.clone(),
                    d.class.clone(),
                    d.row.slot_us().to_string(),
                ]
            });
            place.say(&listed, || {
                table(
                    &["period", "time", "operation", "tenant", "class", "slot-us"],
                    rows,
                )
            });
            return Ok(());
        }
        Some(_) if author.trim().is_empty() => return Err("--author: must not be empty".into()),
        Some(Judge::Rule(how)) => {
            checked_key(&store)?;
            receipts::settle(&mut store, &doubts, wall(), author, reason, |_| how)?
        }
        Some(Judge::Receipts(file)) => {
            checked_key(&store)?;
            let found = receipts::found(&file, &doubts)?;
            let how = |d: &streamusher_ledger::store::Doubt| match found.contains(&d.row.operation)
            {
                true => Settle::Bill,
                false => Settle::Waive,
            };
            receipts::settle(&mut store, &doubts, wall(), author, reason, how)?
        }
    };
    place.say(&settled, || {
        format!("billed {}, waived {}", settled.billed, settled.waived)
    });
    Ok(())
}

fn verify(place: &Place) -> Done {
    let (store, _) = place.open()?;
    checked_key(&store)?;
    let bar = progress(store.entries()?, "verifying");
    let done = store.verify(|entries| bar.inc(entries));
    bar.finish_and_clear();
    let done = done?;
    place.say(&done, || {
        format!(
            "{} entries, {} corrections, {} closed periods: all as written",
            done.entries, done.corrections, done.seals
        )
    });
    Ok(())
}

fn export_to(place: &Place, period: Option<Period>, to: &std::path::Path) -> Done {
    let (store, _) = place.open()?;
    let periods = match period {
        Some(p) => vec![p],
        None => store.seals()?.into_iter().map(|s| s.period).collect(),
    };
    let bar = progress(periods.len() as u64, "exporting");
    let mut manifests = Vec::new();
    for p in periods {
        manifests.extend(export(&store, p, to, |_| true)?);
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
    place.say(&manifests, || {
        table(&["period", "entries", "file", "id"], rows)
    });
    Ok(())
}

#[derive(Serialize)]
struct BillLine {
    tenant: String,
    class: String,
    period: Period,
    sums: Use,
}

fn reconcile(place: &Place, dirs: &[PathBuf], threads: usize) -> Done {
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
        // Sums may be wider than JSON values of the library, so the lines are written as they are.
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
                &[&["tenant", "class", "period"][..], &USE].concat(),
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
            .for_each(|f| println!("! {}", plain(&finding(f))));
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
