//! The core: owns the decisions, the operation table, route steps, timers and the batch loop. Knows no wire.
//!
//! Fronts hand in operations, drivers carry route steps, sources tell pool configs. The core has no clock:
//! time is passed in. Nothing here decides; it keeps the books and sees to it that each operation gets one
//! final answer.
//!
//! A front and a driver of one's own, on the core alone:
//!
//! ```
//! use std::{cell::RefCell, rc::Rc, sync::Arc};
//! use streamusher::core::*;
//! use streamusher::interface::{Micros, WorkerId};
//!
//! /// Keeps the answer that it is given.
//! #[derive(Default)]
//! struct Desk(RefCell<Option<Answer>>);
//! impl Front for Desk {
//!     fn answer(&self, _ticket: u64, answer: &Answer, receipt: Receipt) {
//!         receipt.written();
//!         *self.0.borrow_mut() = Some(answer.clone());
//!     }
//! }
//!
//! /// Notes which steps it was given; a real one would send them, each as long as [`Core::may_begin`] allows it.
//! #[derive(Default)]
//! struct Runner(RefCell<Vec<StepId>>);
//! impl Driver for Runner {
//!     fn send(&self, step: StepId, _: &Arc<Operation>, _: &Member, _left_us: Micros) {
//!         self.0.borrow_mut().push(step);
//!     }
//!     fn cancel(&self, _: StepId, _: &Arc<Operation>, _: &Member) {}
//!     fn probe(&self, _: WorkerId, _: &Member) {}
//! }
//!
//! # fn main() -> Result<(), String> {
//! let settings = r#"{"myZone": "pump-house", "zones": ["pump-house"], "limits": {"maxAttempts": 2},
//!     "requestClasses": [{"name": "depth-log", "semantics": "free", "onTimeUs": 300000, "deadlineUs": 5000000}]}"#;
//! let mut core = Core::from_settings(settings.as_bytes(), 42, 0)?;
//! let (desk, runner) = (Rc::new(Desk::default()), Rc::new(Runner::default()));
//! let driver = core.attach_driver(runner.clone());
//! let worker = Member { name: "s-1".into(), zone: "pump-house".into(), weight: 1.0, ..Member::default() };
//! core.pool_config(driver, true, vec![worker]);
//!
//! let class = core.class("depth-log").ok_or("no such class")?;
//! let operation = Operation { id: "a1".into(), class, slots: 1.0, left_us: 5_000_000, ..Operation::default() };
//! core.submit(1_000, operation, desk.clone(), 0).map_err(|e| format!("{e:?}"))?;
//! core.turn(1_000);
//! let step = runner.0.borrow()[0];
//!
//! core.step(step, StepNews::Ended(Ending::Served(Arc::from(*b"log")), None));
//! core.turn(90_000);
//! assert_eq!(*desk.0.borrow(), Some(Answer::Served(Arc::from(*b"log"))));
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

use booking::{PendingAnswer, Used, Waiter};
use repeats::Kept;
use tenants::{TenantError, Tenants};

use crate::counters::Counters;
use crate::interface::{Class, ClassId, JobId, LoadReport, Micros, Repeatability, WorkerId};
use crate::settings::Site;
use crate::Balancer;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::rc::Rc;
use std::sync::Arc;

/// What has come in since the last turn.
enum Input {
    Arrived(JobId),
    Gone(JobId),
    Step(StepId, StepEvent),
    List {
        source: usize,
        complete: bool,
        members: Vec<PoolMember>,
    },
    ListFailed,
    Probed(WorkerId, bool, Option<LoadReport>),
    Judged(WorkerId, u32),
    Timer(u64),
    Deadline(JobId),
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Module(u64),
    Deadline(JobId),
    /// An answer waits no longer for its entries.
    PendingAnswer(u64),
    /// An operation has waited long enough for the first pool config.
    Early(JobId),
}

struct RouteStep {
    worker: WorkerId,
    /// A driver was given it.
    handed: bool,
    /// Its driver has said that it begins.
    begun: bool,
    sent: Micros,
    started: Option<Micros>,
    ended_at: Option<Micros>,
    ended: bool,
    ran: bool,
}

struct Entered {
    operation: Arc<Operation>,
    waiting: Vec<Waiter>,
    steps: Vec<RouteStep>,
    /// The step whose result is the answer.
    winner: Option<usize>,
    deadline: Micros,
    /// The last moment for an answer that is held.
    by: Micros,
    answered: bool,
    started: bool,
    /// Its tenant's, until it is answered.
    right: Option<QuotaPermit>,
}

struct Worker {
    member: PoolMember,
    source: usize,
    driver: usize,
}

/// See the module's own page.
pub struct Core {
    balancer: Balancer,
    site: Site,
    max_open: usize,
    /// Repeats of keyed operations are joined here, as not all workers drop them.
    joins_repeats: bool,
    operations: BTreeMap<JobId, Entered>,
    by_id: HashMap<String, JobId>,
    kept: BTreeMap<(u32, String), Kept>,
    kept_bytes: usize,
    workers: Vec<Worker>,
    drivers: Vec<Rc<dyn Driver>>,
    sources: Vec<Rc<dyn PoolSource>>,
    timers: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    timer_no: u64,
    next_job: u64,
    inputs: Vec<Input>,
    /// Operations that wait for the first pool config, in the order in which they came.
    early: Vec<JobId>,
    owed: usize,
    recorders: Vec<Rc<dyn UsageRecorder>>,
    /// Answers that wait for an entry, in the order in which they were booked.
    pending_answers: BTreeMap<u64, PendingAnswer>,
    last_pending: u64,
    quotas: Option<Rc<dyn Quotas>>,
    witness: Option<Rc<dyn StepObserver>>,
    tenants: Option<Tenants>,
    /// All is to be answered by then: the program ends.
    last_call: Micros,
    /// What was taken in, sent and answered.
    pub counters: Counters,
}

impl Core {
    /// A core that knows no workers yet, from the text of the platform's settings. All time that it is told
    /// counts from wherever `now` does. Messages name the faulty key.
    pub fn from_settings(text: &[u8], seed: u64, now: Micros) -> Result<Core, String> {
        let site = Site::new(crate::config::settings(text)?);
        let max_open = site.max_open;
        Ok(Core::new(site, max_open, false, seed, now))
    }

    /// A core that knows no workers yet. `joins_repeats`: see [`crate::config`].
    pub(crate) fn new(
        mut site: Site,
        max_open: usize,
        joins_repeats: bool,
        seed: u64,
        now: Micros,
    ) -> Core {
        if joins_repeats {
            // Workers are not known to drop repeats for each other: an attempt that may have run is the last.
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
            kept: BTreeMap::new(),
            kept_bytes: 0,
            workers: Vec::new(),
            drivers: Vec::new(),
            sources: Vec::new(),
            timers: BinaryHeap::new(),
            timer_no: 0,
            next_job: 0,
            inputs: Vec::new(),
            early: Vec::new(),
            owed: 0,
            recorders: Vec::new(),
            pending_answers: BTreeMap::new(),
            last_pending: 0,
            quotas: None,
            witness: None,
            tenants: None,
            last_call: Micros::MAX,
            counters: Counters::default(),
        }
    }

    /// New settings at SIGHUP: see [`crate::settings`]. Nothing changes if they cannot be taken.
    pub(crate) fn update_settings(
        &mut self,
        setup: crate::settings::Setup,
    ) -> Result<usize, String> {
        let known = self.site.settings.classes.len();
        let added = self.site.retune(setup)?;
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

    /// What fronts need to know of the classes.
    pub(crate) fn class_infos(&self) -> Vec<crate::net::request::ClassInfo> {
        self.site.class_infos()
    }

    /// Adds a driver; pool configs name it by the number returned.
    pub fn attach_driver(&mut self, driver: Rc<dyn Driver>) -> usize {
        self.drivers.push(driver);
        self.drivers.len() - 1
    }

    /// Adds a source of pool configs that wants to be asked.
    pub fn attach_source(&mut self, source: Rc<dyn PoolSource>) {
        self.sources.push(source);
    }

    /// Takes operations only for these tenants from now on.
    pub fn set_tenants(&mut self, tenants: Tenants) {
        self.tenants = Some(tenants);
    }

    /// The class of this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.site.classes.known(name).map(ClassId)
    }

    /// What the settings say of a class.
    pub fn class_settings(&self, class: ClassId) -> &Class {
        &self.site.settings.classes[class.0 as usize]
    }

    /// Whether operations of this class carry an idempotency key.
    pub fn is_keyed(&self, class: ClassId) -> bool {
        self.site.keyed[class.0 as usize]
    }

    /// A load report by the names that the settings use.
    pub fn report(&self, load: &HashMap<String, f64>) -> LoadReport {
        self.site.report(load)
    }

    /// Operations that still owe a final answer.
    pub fn unanswered(&self) -> usize {
        self.owed + self.pending_answers.len()
    }

    /// News of a route step. What comes after its end is ignored.
    pub fn step_event(&mut self, step: StepId, news: StepEvent) {
        self.inputs.push(Input::Step(step, news));
    }

    /// The route step that a worker's call-back means: by the operation's id and the worker's name. Of a second step at the
    /// same worker nothing is heard before it begins ([`Core::begin`]): until then the first one is meant, which has ended.
    pub fn find_step(&self, id: &str, worker: &str) -> Option<StepId> {
        let job = *self.by_id.get(id)?;
        let steps = &self.operations.get(&job)?.steps;
        let is_there =
            |step: &RouteStep| self.workers[step.worker.0 as usize].member.name == worker;
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
