//! The event loop's side: final answers are counted, and tenants' rights are spent.

use crate::config::operators::FleetConfig;
use crate::core::{
    OperationOutcome, OverdueAction, QuotaGrant, Quotas, RecordStatus, UsageRecord, UsageRecorder,
};
use crate::interface::Micros;
use rtrb::Producer;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::thread::Thread;
use streamusher_fleet::allowance::QuotaAllowance;
use streamusher_fleet::outlier::{WorkerFault, WorkerIncarnation};
use streamusher_fleet::quota::QuotaTerms;
use streamusher_fleet::usage::{UsageKey, UsageMetric, UsageValues};

/// Notes that fit the ring to the state's thread.
pub(super) const NOTES: usize = 4_096;
/// Under which name operations are counted where no tenants are listed.
const NOBODY: &str = "unassigned";

/// News for the state's thread.
pub(super) enum Note {
    /// Counts up to a number.
    Counts {
        /// Of an answer.
        upto: u64,
        /// What was counted since the note before.
        rows: Vec<(UsageKey, UsageValues)>,
    },
    /// Something was seen of a worker: a fault, or that it serves.
    Saw {
        /// Of whom.
        worker: WorkerIncarnation,
        /// None: it serves.
        fault: Option<WorkerFault>,
        /// How sure, of 100.
        weight: u8,
    },
}

/// Counts answers and spends rights. Invariant: what did not fit the ring waits in sums, and goes with the next note,
/// at the latest when the state's thread says that there is room again.
pub(super) struct Books {
    notes: RefCell<Producer<Note>>,
    state: Thread,
    waiting: RefCell<BTreeMap<UsageKey, UsageValues>>,
    last: Cell<u64>,
    /// Answers that are not written yet: whose they are, and whether they were served.
    out: RefCell<HashMap<u64, (UsageKey, bool)>>,
    budgets: HashMap<Arc<str>, usize>,
    allowances: Vec<Arc<QuotaAllowance>>,
    copies: usize,
    hold: Micros,
    period: Micros,
    nobody: Arc<str>,
}

impl Books {
    pub(super) fn new(
        notes: Producer<Note>,
        state: Thread,
        terms: Arc<QuotaTerms>,
        allowances: Vec<Arc<QuotaAllowance>>,
        config: &FleetConfig,
    ) -> Books {
        Books {
            notes: RefCell::new(notes),
            state,
            waiting: RefCell::default(),
            last: Cell::new(0),
            out: RefCell::default(),
            budgets: terms
                .quotas
                .iter()
                .enumerate()
                .map(|(i, b)| (b.name.clone(), i))
                .collect(),
            allowances,
            copies: config.copies,
            hold: config.hold_us,
            period: config.period_us,
            nobody: Arc::from(NOBODY),
        }
    }

    /// The number of the last answer counted.
    pub(super) fn last(&self) -> u64 {
        self.last.get()
    }

    fn count(&self, key: UsageKey, units: &UsageValues) {
        self.waiting.borrow_mut().entry(key).or_default().add(units);
        self.push();
    }

    /// Hands over what waits, if the ring has room.
    pub(super) fn push(&self) {
        let mut waiting = self.waiting.borrow_mut();
        let mut notes = self.notes.borrow_mut();
        if waiting.is_empty() || notes.is_full() {
            return;
        }
        let rows = std::mem::take(&mut *waiting).into_iter().collect();
        if notes
            .push(Note::Counts {
                upto: self.last.get(),
                rows,
            })
            .is_ok()
        {
            // Where nobody waits for them, counts are taken as the state's thread next looks: waking it for each one
            // cost a third of an operation's processor time.
            if self.copies > 0 || notes.slots() < NOTES / 2 {
                self.state.unpark();
            }
        }
    }

    /// An observation goes on, if there is room: it is a hint, and is made again.
    pub(super) fn saw(&self, note: Note) {
        if self.notes.borrow_mut().push(note).is_ok() {
            self.state.unpark();
        }
    }

    fn key(&self, tenant: Option<&Arc<str>>) -> UsageKey {
        let period = (crate::billing::unix_time_us() / self.period) as u32;
        UsageKey {
            period,
            tenant: tenant.unwrap_or(&self.nobody).clone(),
        }
    }
}

impl UsageRecorder for Books {
    fn accepts_operations(&self) -> bool {
        true
    }

    fn record(&self, now: Micros, by: Micros, a: &UsageRecord) -> RecordStatus {
        let (key, number) = (self.key(a.tenant), self.last.get() + 1);
        self.last.set(number);
        let ended = match a.outcome {
            OperationOutcome::Served => UsageMetric::Served,
            OperationOutcome::Busy => UsageMetric::Refused,
            OperationOutcome::Failed => UsageMetric::Failed,
            OperationOutcome::Gone => UsageMetric::Gone,
        };
        let mut units = UsageValues::single(ended, 1);
        units.add(&UsageValues::single(
            UsageMetric::Attempts,
            a.attempts.into(),
        ));
        units.add(&UsageValues::single(UsageMetric::UsedUs, a.run_us));
        units.add(&UsageValues::single(UsageMetric::WastedUs, a.wasted_us));
        if a.outcome != OperationOutcome::Gone {
            self.out
                .borrow_mut()
                .insert(number, (key.clone(), a.outcome == OperationOutcome::Served));
        }
        self.count(key, &units);
        match self.copies {
            0 => RecordStatus::Open { number },
            _ => RecordStatus::Hold {
                number,
                until: now.saturating_add(self.hold).min(by.max(now)),
            },
        }
    }

    /// Counts are a tally and no bill: an answer that is not copied in time is counted as unsure, and goes out.
    fn on_overdue(&self, number: u64, _ended: OperationOutcome) -> OverdueAction {
        let key = self.out.borrow().get(&number).map(|o| o.0.clone());
        key.into_iter()
            .for_each(|key| self.count(key, &UsageValues::single(UsageMetric::Unreplicated, 1)));
        OverdueAction::Release
    }

    fn written(&self, number: u64, whole: bool) {
        let Some((key, served)) = self.out.borrow_mut().remove(&number) else {
            return;
        };
        if served {
            self.count(
                key,
                &UsageValues::single(
                    if whole {
                        UsageMetric::Written
                    } else {
                        UsageMetric::Unwritten
                    },
                    1,
                ),
            );
        }
    }
}

impl Quotas for Books {
    fn acquire(&self, now: Micros, tenant: Option<&str>) -> QuotaGrant {
        let Some(budget) = tenant.and_then(|t| self.budgets.get(t)).copied() else {
            return QuotaGrant::Unlimited;
        };
        let allowance = &self.allowances[budget];
        let free = allowance.available(now);
        if !allowance.try_acquire(now) {
            return QuotaGrant::Exhausted;
        }
        let held = allowance.held();
        QuotaGrant::Granted {
            budget,
            free: free.max(1) as f64 / held.total().max(1) as f64,
        }
    }

    fn release(&self, budget: usize) {
        self.allowances[budget].release();
    }
}
