//! The event loop's part of the fleet: counts final answers, and acquires and releases units of the tenants'
//! quotas.

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

/// Capacity of the ring from the event loop to the state thread.
pub(super) const UPDATE_RING_CAPACITY: usize = 4_096;
/// Tenant name under which operations are counted if no tenants are configured.
const UNASSIGNED_TENANT: &str = "unassigned";

/// A message from the event loop to the state thread.
pub(super) enum StateUpdate {
    /// Usage counts.
    Usage {
        /// Number of the last answer that the counts include.
        last_answer: u64,
        /// Usage counted since the previous update.
        rows: Vec<(UsageKey, UsageValues)>,
    },
    /// An observation of a worker: a fault, or a success.
    WorkerObserved {
        /// The worker incarnation that was observed.
        worker: WorkerIncarnation,
        /// The kind of fault; `None` if the worker served a request.
        fault: Option<WorkerFault>,
        /// Confidence in the fault, 1 to 100.
        weight: u8,
    },
}

/// Counts answers, and acquires units of quotas. Invariant: usage that does not fit into the ring is kept in
/// `unsent_usage` and sent with the next update, at the latest when the state thread signals free space.
pub(super) struct FleetUsageRecorder {
    updates: RefCell<Producer<StateUpdate>>,
    state_thread: Thread,
    unsent_usage: RefCell<BTreeMap<UsageKey, UsageValues>>,
    last_answer: Cell<u64>,
    /// Answers that have not been written yet: the usage row of each, and whether it was served.
    unwritten_answers: RefCell<HashMap<u64, (UsageKey, bool)>>,
    quota_indices: HashMap<Arc<str>, usize>,
    allowances: Vec<Arc<QuotaAllowance>>,
    copies: usize,
    max_hold: Micros,
    period: Micros,
    unassigned_tenant: Arc<str>,
}

impl FleetUsageRecorder {
    pub(super) fn new(
        updates: Producer<StateUpdate>,
        state_thread: Thread,
        terms: Arc<QuotaTerms>,
        allowances: Vec<Arc<QuotaAllowance>>,
        config: &FleetConfig,
    ) -> FleetUsageRecorder {
        FleetUsageRecorder {
            updates: RefCell::new(updates),
            state_thread,
            unsent_usage: RefCell::default(),
            last_answer: Cell::new(0),
            unwritten_answers: RefCell::default(),
            quota_indices: terms
                .quotas
                .iter()
                .enumerate()
                .map(|(index, quota)| (quota.name.clone(), index))
                .collect(),
            allowances,
            copies: config.copies,
            max_hold: config.max_hold_us,
            period: config.period_us,
            unassigned_tenant: Arc::from(UNASSIGNED_TENANT),
        }
    }

    /// Number of the last answer counted.
    pub(super) fn last_answer(&self) -> u64 {
        self.last_answer.get()
    }

    fn count(&self, usage_key: UsageKey, values: &UsageValues) {
        self.unsent_usage
            .borrow_mut()
            .entry(usage_key)
            .or_default()
            .add(values);
        self.flush_usage();
    }

    /// Sends the accumulated usage to the state thread, if the ring has free space.
    pub(super) fn flush_usage(&self) {
        let mut unsent_usage = self.unsent_usage.borrow_mut();
        let mut updates = self.updates.borrow_mut();
        if unsent_usage.is_empty() || updates.is_full() {
            return;
        }
        let rows = std::mem::take(&mut *unsent_usage).into_iter().collect();
        if updates
            .push(StateUpdate::Usage {
                last_answer: self.last_answer.get(),
                rows,
            })
            .is_ok()
        {
            // If no answer waits for replication, the state thread takes the counts when it next wakes up by
            // itself: a wake-up for each answer cost a third of an operation's processor time.
            if self.copies > 0 || updates.slots() < UPDATE_RING_CAPACITY / 2 {
                self.state_thread.unpark();
            }
        }
    }

    /// Sends an observation, or drops it if the ring is full: it is only a hint, and is made again.
    pub(super) fn send_observation(&self, update: StateUpdate) {
        if self.updates.borrow_mut().push(update).is_ok() {
            self.state_thread.unpark();
        }
    }

    fn usage_key(&self, tenant: Option<&Arc<str>>) -> UsageKey {
        let period = (crate::billing::unix_time_us() / self.period) as u32;
        UsageKey {
            period,
            tenant: tenant.unwrap_or(&self.unassigned_tenant).clone(),
        }
    }
}

impl UsageRecorder for FleetUsageRecorder {
    fn accepts_operations(&self) -> bool {
        true
    }

    fn record(&self, now: Micros, deadline: Micros, usage: &UsageRecord) -> RecordStatus {
        let (usage_key, number) = (self.usage_key(usage.tenant), self.last_answer.get() + 1);
        self.last_answer.set(number);
        let metric = match usage.outcome {
            OperationOutcome::Served => UsageMetric::Served,
            OperationOutcome::Busy => UsageMetric::Refused,
            OperationOutcome::Failed => UsageMetric::Failed,
            OperationOutcome::Gone => UsageMetric::Gone,
        };
        let mut values = UsageValues::single(metric, 1);
        values.add(&UsageValues::single(
            UsageMetric::Attempts,
            usage.attempts.into(),
        ));
        values.add(&UsageValues::single(UsageMetric::UsedUs, usage.run_us));
        values.add(&UsageValues::single(UsageMetric::WastedUs, usage.wasted_us));
        if usage.outcome != OperationOutcome::Gone {
            self.unwritten_answers.borrow_mut().insert(
                number,
                (usage_key.clone(), usage.outcome == OperationOutcome::Served),
            );
        }
        self.count(usage_key, &values);
        match self.copies {
            0 => RecordStatus::Open { number },
            _ => RecordStatus::Hold {
                number,
                until: now.saturating_add(self.max_hold).min(deadline.max(now)),
            },
        }
    }

    /// These counts are statistics, not a bill: an answer that is not replicated in time is counted as
    /// unreplicated and released.
    fn on_overdue(&self, number: u64, _outcome: OperationOutcome) -> OverdueAction {
        let usage_key = self
            .unwritten_answers
            .borrow()
            .get(&number)
            .map(|o| o.0.clone());
        usage_key.into_iter().for_each(|usage_key| {
            self.count(
                usage_key,
                &UsageValues::single(UsageMetric::Unreplicated, 1),
            )
        });
        OverdueAction::Release
    }

    fn written(&self, number: u64, complete: bool) {
        let Some((usage_key, served)) = self.unwritten_answers.borrow_mut().remove(&number) else {
            return;
        };
        if served {
            self.count(
                usage_key,
                &UsageValues::single(
                    if complete {
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

impl Quotas for FleetUsageRecorder {
    fn acquire(&self, now: Micros, tenant: Option<&str>) -> QuotaGrant {
        let Some(budget) = tenant.and_then(|t| self.quota_indices.get(t)).copied() else {
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
