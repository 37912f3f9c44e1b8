//! The core: owns the balancer, the operation table, route steps, timers and the batch loop. It knows no wire
//! protocol.
//!
//! Fronts submit operations, drivers run route steps, sources report pool configs. The core has no clock: the
//! caller passes the time. It takes no scheduling decisions; it tracks operations and ensures that each gets
//! exactly one final answer.
//!
//! A custom front and driver on the core alone:
//!
//! ```
//! use std::{cell::RefCell, rc::Rc, sync::Arc};
//! use streamusher::core::*;
//! use streamusher::interface::{Micros, WorkerId};
//!
//! /// Stores the answer that it receives.
//! #[derive(Default)]
//! struct ClientFront(RefCell<Option<Answer>>);
//! impl Front for ClientFront {
//!     fn answer(&self, _ticket: u64, answer: &Answer, receipt: Receipt) {
//!         receipt.written();
//!         *self.0.borrow_mut() = Some(answer.clone());
//!     }
//! }
//!
//! /// Records the steps that it receives; a real driver sends each one if [`Core::may_begin`] allows it.
//! #[derive(Default)]
//! struct StepRecorder(RefCell<Vec<StepId>>);
//! impl Driver for StepRecorder {
//!     fn send(&self, step: StepId, _: &Arc<Operation>, _: &PoolMember, _remaining_us: Micros) {
//!         self.0.borrow_mut().push(step);
//!     }
//!     fn cancel(&self, _: StepId, _: &Arc<Operation>, _: &PoolMember) {}
//!     fn probe(&self, _: WorkerId, _: &PoolMember) {}
//! }
//!
//! # fn main() -> Result<(), String> {
//! let settings = r#"{"myZone": "pump-house", "zones": ["pump-house"], "limits": {"maxAttempts": 2},
//!     "requestClasses": [{"name": "depth-log", "semantics": "free", "onTimeUs": 300000, "deadlineUs": 5000000}]}"#;
//! let mut core = Core::from_settings(settings.as_bytes(), 42, 0)?;
//! let (front, steps) = (Rc::new(ClientFront::default()), Rc::new(StepRecorder::default()));
//! let driver = core.attach_driver(steps.clone());
//! let worker = PoolMember { name: "s-1".into(), zone: "pump-house".into(), weight: 1.0, ..PoolMember::default() };
//! core.pool_config(driver, true, vec![worker]);
//!
//! let class = core.class("depth-log").ok_or("no such class")?;
//! let operation = Operation { id: "a1".into(), class, slots: 1.0, remaining_us: 5_000_000, ..Operation::default() };
//! core.submit(1_000, operation, front.clone(), 0).map_err(|e| format!("{e:?}"))?;
//! core.turn(1_000);
//! let step = steps.0.borrow()[0];
//!
//! core.step_event(step, StepEvent::Ended(StepOutcome::Served(Arc::from(*b"log")), None));
//! core.turn(90_000);
//! assert_eq!(*front.0.borrow(), Some(Answer::Served(Arc::from(*b"log"))));
//! assert_eq!(core.unanswered(), 0);
//! # Ok(())
//! # }
//! ```

mod booking;
mod intake;
mod observer;
mod operation;
mod pool;
mod quotas;
mod repeats;
mod steps;
pub mod tenants;
mod turn;

pub use booking::{
    OperationOutcome, OverdueAction, Receipt, RecordStatus, UsageRecord, UsageRecorder,
};
pub use observer::StepObserver;
pub use operation::*;
pub use quotas::{QuotaGrant, QuotaPermit, Quotas};

use booking::{OperationUsage, PendingAnswer, Waiter};
use repeats::KeyedOperation;
use tenants::{TenantError, Tenants};

use crate::counters::Counters;
use crate::interface::{Class, ClassId, JobId, LoadReport, Micros, Repeatability, WorkerId};
use crate::settings::SiteSettings;
use crate::Balancer;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::rc::Rc;
use std::sync::Arc;

/// An input that is queued for the next turn.
enum Input {
    Arrived(JobId),
    Disconnected(JobId),
    Step(StepId, StepEvent),
    PoolConfig {
        source: usize,
        complete: bool,
        members: Vec<PoolMember>,
    },
    PoolConfigFailed,
    ProbeEnded(WorkerId, bool, Option<LoadReport>),
    PeerObservation(WorkerId, u32),
    Timer(u64),
    Deadline(JobId),
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    Balancer(u64),
    Deadline(JobId),
    /// The latest time to hold a recorded answer.
    PendingAnswer(u64),
    /// The longest wait of an operation for the first pool config.
    PoolWait(JobId),
}

struct StepState {
    worker: WorkerId,
    /// Whether the step was passed to a driver.
    given_to_driver: bool,
    /// Whether the driver has begun the step.
    begun: bool,
    sent_at: Micros,
    started_at: Option<Micros>,
    ended_at: Option<Micros>,
    ended: bool,
    may_have_run: bool,
}

struct OpenOperation {
    operation: Arc<Operation>,
    waiters: Vec<Waiter>,
    steps: Vec<StepState>,
    /// Index of the step whose result is the answer.
    winning_step: Option<usize>,
    deadline: Micros,
    /// The latest time to send an answer that is held for its entries.
    answer_by: Micros,
    answered: bool,
    started: bool,
    /// The tenant's quota permit, held until the operation is answered.
    quota_permit: Option<QuotaPermit>,
}

struct Worker {
    member: PoolMember,
    source: usize,
    driver: usize,
}

/// Tracks operations from submission to their final answer; see the [module documentation](self).
pub struct Core {
    balancer: Balancer,
    site: SiteSettings,
    max_open: usize,
    /// Whether repeats of keyed operations are joined here, as not all workers drop them.
    joins_repeats: bool,
    operations: BTreeMap<JobId, OpenOperation>,
    by_id: HashMap<String, JobId>,
    keyed_operations: BTreeMap<(u32, String), KeyedOperation>,
    retained_bytes: usize,
    workers: Vec<Worker>,
    drivers: Vec<Rc<dyn Driver>>,
    sources: Vec<Rc<dyn PoolSource>>,
    timers: BinaryHeap<Reverse<(Micros, u64, TimerKind)>>,
    last_timer: u64,
    next_job: u64,
    inputs: Vec<Input>,
    /// Operations that wait for the first pool config, in order of arrival.
    awaiting_pool: Vec<JobId>,
    unanswered: usize,
    recorders: Vec<Rc<dyn UsageRecorder>>,
    /// Answers that wait for an entry to be stored, in the order in which they were recorded.
    pending_answers: BTreeMap<u64, PendingAnswer>,
    last_pending: u64,
    quotas: Option<Rc<dyn Quotas>>,
    observer: Option<Rc<dyn StepObserver>>,
    tenants: Option<Tenants>,
    /// All operations are to be answered by this time, as the process is shutting down.
    final_deadline: Micros,
    /// Operations accepted, steps sent, answers given and other totals since the start.
    pub counters: Counters,
}

impl Core {
    /// A core without workers, from the text of the platform's settings. All later times share the origin of
    /// `now`. Error messages name the faulty key.
    pub fn from_settings(text: &[u8], seed: u64, now: Micros) -> Result<Core, String> {
        let site = SiteSettings::new(crate::config::settings(text)?);
        let max_open = site.max_open;
        Ok(Core::new(site, max_open, false, seed, now))
    }

    /// A core without workers; [`crate::config`] describes `joins_repeats`.
    pub(crate) fn new(
        mut site: SiteSettings,
        max_open: usize,
        joins_repeats: bool,
        seed: u64,
        now: Micros,
    ) -> Core {
        if joins_repeats {
            // Workers may not drop each other's repeats, so an attempt that may have run is the last.
            let keyed =
                |c: &&mut Class| matches!(c.repeatability, Repeatability::IdempotentByKey { .. });
            site.settings
                .classes
                .iter_mut()
                .filter(keyed)
                .for_each(|c| c.repeatability = Repeatability::AtMostOnce);
        }
        Core {
            balancer: Balancer::new(site.settings.clone(), seed, now),
            site,
            max_open,
            joins_repeats,
            operations: BTreeMap::new(),
            by_id: HashMap::new(),
            keyed_operations: BTreeMap::new(),
            retained_bytes: 0,
            workers: Vec::new(),
            drivers: Vec::new(),
            sources: Vec::new(),
            timers: BinaryHeap::new(),
            last_timer: 0,
            next_job: 0,
            inputs: Vec::new(),
            awaiting_pool: Vec::new(),
            unanswered: 0,
            recorders: Vec::new(),
            pending_answers: BTreeMap::new(),
            last_pending: 0,
            quotas: None,
            observer: None,
            tenants: None,
            final_deadline: Micros::MAX,
            counters: Counters::default(),
        }
    }

    /// Applies new settings on SIGHUP, see [`crate::settings`], and returns the number of added classes.
    /// Invalid settings change nothing.
    pub(crate) fn update_settings(
        &mut self,
        setup: crate::settings::PlatformSettings,
    ) -> Result<usize, String> {
        let known = self.site.settings.classes.len();
        let added = self.site.apply_reload(setup)?;
        if self.joins_repeats {
            let keyed =
                |c: &&mut Class| matches!(c.repeatability, Repeatability::IdempotentByKey { .. });
            self.site.settings.classes[known..]
                .iter_mut()
                .filter(keyed)
                .for_each(|c| c.repeatability = Repeatability::AtMostOnce);
        }
        self.balancer.update_settings(self.site.settings.clone());
        Ok(added)
    }

    /// The class settings that fronts need.
    pub(crate) fn class_infos(&self) -> Vec<crate::net::request::ClassInfo> {
        self.site.class_infos()
    }

    /// Adds a driver; returns the number by which pool configs refer to it.
    pub fn attach_driver(&mut self, driver: Rc<dyn Driver>) -> usize {
        self.drivers.push(driver);
        self.drivers.len() - 1
    }

    /// Adds a source of pool configs that must be asked for changes.
    pub fn attach_source(&mut self, source: Rc<dyn PoolSource>) {
        self.sources.push(source);
    }

    /// Accepts operations only for these tenants from now on.
    pub fn set_tenants(&mut self, tenants: Tenants) {
        self.tenants = Some(tenants);
    }

    /// The class with this name, if the settings have one.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.site.classes.find(name).map(ClassId)
    }

    /// The settings of a class.
    pub fn class_settings(&self, class: ClassId) -> &Class {
        &self.site.settings.classes[class.0 as usize]
    }

    /// Whether operations of this class carry an idempotency key.
    pub fn is_keyed(&self, class: ClassId) -> bool {
        self.site.keyed[class.0 as usize]
    }

    /// A load report from values under the names that the settings define.
    pub fn report(&self, load: &HashMap<String, f64>) -> LoadReport {
        self.site.report(load)
    }

    /// Number of operations whose final answer has not been sent.
    pub fn unanswered(&self) -> usize {
        self.unanswered + self.pending_answers.len()
    }

    /// Reports an event of a route step; events after its end are ignored.
    pub fn step_event(&mut self, step: StepId, step_event: StepEvent) {
        self.inputs.push(Input::Step(step, step_event));
    }

    /// The route step that a worker's call-back refers to, by the operation's id and the worker's name. A
    /// second step at the same worker sends no call-backs before it begins ([`Core::begin`]): until then they
    /// refer to the first, which has ended.
    pub fn find_step(&self, id: &str, worker: &str) -> Option<StepId> {
        let job = *self.by_id.get(id)?;
        let steps = &self.operations.get(&job)?.steps;
        let is_there =
            |step: &StepState| self.workers[step.worker.0 as usize].member.name == worker;
        let attempt = steps
            .iter()
            .rposition(|step| is_there(step) && !step.ended)?;
        let is_repeat = steps[..attempt].iter().any(is_there);
        (steps[attempt].begun || !is_repeat).then_some(StepId {
            job,
            attempt: attempt as u32,
        })
    }
}
