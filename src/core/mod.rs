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
//! /// Notes which steps it was given; a real one would send them.
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
//! assert_eq!(core.owed(), 0);
//! # Ok(())
//! # }
//! ```

mod booking;
mod operation;
mod pool;
mod repeats;
mod steps;
pub mod tenants;

pub use booking::{Account, Booking, Bookkeeper, Ended, Receipt};
pub use operation::*;

use booking::{Held, Used, Waiter};
use repeats::Kept;
use tenants::{NoTenant, Tenants};

use crate::counters::Counters;
use crate::interface::*;
use crate::settings::{mark, Site};
use crate::Balancer;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::rc::Rc;
use std::sync::Arc;

/// Kept back of a client's time, so that the last byte of an answer lands before the client gives up: the way
/// to the client and a slow moment of this machine.
const MARGIN_US: Micros = 25_000;
/// Kept back besides where answers are booked first, for the disk; an eighth of the client's time at most.
const BOOKING_US: Micros = 50_000;
/// Of what is kept back, the part that an answer still needs to its client once it is let go.
const WAY_US: Micros = 15_000;

/// What has come in since the last turn.
enum Input {
    Arrived(JobId),
    Gone(JobId),
    Step(StepId, StepNews),
    List { source: usize, complete: bool, members: Vec<Member> },
    ListFailed,
    Probed(WorkerId, bool, Option<Report>),
    Timer(u64),
    Deadline(JobId),
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Module(u64),
    Deadline(JobId),
    /// A held answer goes out.
    Held(u64),
}

struct RouteStep {
    worker: WorkerId,
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
}

struct Worker {
    member: Member,
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
    owed: usize,
    keeper: Option<Rc<dyn Bookkeeper>>,
    /// Answers whose entries are not durable yet, by their numbers.
    held: BTreeMap<u64, Held>,
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
    pub(crate) fn new(mut site: Site, max_open: usize, joins_repeats: bool, seed: u64, now: Micros) -> Core {
        if joins_repeats {
            // Workers are not known to drop repeats for each other: an attempt that may have run is the last.
            let keyed = |c: &&mut Class| matches!(c.repeat, Repeat::Keyed { .. });
            site.settings.classes.iter_mut().filter(keyed).for_each(|c| c.repeat = Repeat::Once);
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
            owed: 0,
            keeper: None,
            held: BTreeMap::new(),
            tenants: None,
            last_call: Micros::MAX,
            counters: Counters::default(),
        }
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
    pub fn report(&self, load: &HashMap<String, f64>) -> Report {
        self.site.report(load)
    }

    /// Operations that still owe a final answer.
    pub fn owed(&self) -> usize {
        self.owed + self.held.len()
    }

    /// Takes an operation; `front` gets its one final answer under the number `ticket`.
    pub fn submit(
        &mut self, now: Micros, mut operation: Operation, front: Rc<dyn Front>, ticket: u64,
    ) -> Result<JobId, NotTaken> {
        if let Some(tenants) = &self.tenants {
            operation.tenant =
                Some(tenants.resolve(operation.tenant.as_deref()).map_err(|why| match why {
                    NoTenant::Malformed => NotTaken::BadTenant,
                    NoTenant::Unlisted => NotTaken::Unlisted,
                })?);
        }
        if self.keeper.as_ref().is_some_and(|k| !k.takes_work()) {
            self.counters.refused_unbilled += 1;
            return Err(NotTaken::Unbilled);
        }
        let waiter = |joined| Waiter {
            front: front.clone(),
            ticket,
            id: operation.id.clone(),
            tenant: operation.tenant.clone(),
            joined,
        };
        let kept_back = self.kept_back(operation.left_us);
        let deadline = now.saturating_add(operation.left_us.saturating_sub(kept_back)).min(self.last_call);
        let by = deadline.saturating_add(kept_back.saturating_sub(WAY_US));
        let key = operation.idempotency_key.clone().filter(|_| self.joins_repeats);
        let key = key.filter(|_| self.is_keyed(operation.class)).map(|k| (operation.class.0, k));
        if let Some(kept) = key.as_ref().and_then(|k| self.kept.get(k)).filter(|k| now < k.until) {
            // Guards against a second run of a keyed job that was handed in twice, by whichever front.
            let (job, answer) = (kept.job, kept.answer.clone());
            self.counters.operations += 1;
            self.counters.repeats_joined += 1;
            match (answer, self.operations.get_mut(&job).filter(|o| !o.answered)) {
                (None, Some(entered)) => {
                    if entered.started {
                        front.started(ticket);
                    }
                    entered.waiting.push(waiter(true));
                }
                (answer, _) => {
                    let answer = answer.unwrap_or(Answer::Failed { late: false });
                    let key = operation.idempotency_key.clone();
                    let used = Used::nothing(operation.class, operation.slots, key, by);
                    let waiter = waiter(true);
                    self.give(now, &used, waiter, &answer);
                }
            }
            return Ok(job);
        }
        if self.by_id.contains_key(&operation.id) {
            return Err(NotTaken::SameId);
        }
        if self.operations.len() >= self.max_open {
            return Err(NotTaken::Full);
        }
        let job = JobId(self.next_job);
        self.next_job += 1;
        self.counters.operations += 1;
        self.owed += 1;
        self.at(deadline, Due::Deadline(job));
        self.by_id.insert(operation.id.clone(), job);
        if let Some(key) = key {
            self.forget_old_keys(now);
            self.kept.insert(key, Kept { job, until: Micros::MAX, answer: None });
        }
        let (waiting, operation) = (vec![waiter(false)], Arc::new(operation));
        let (steps, winner) = (Vec::new(), None);
        let entered =
            Entered { operation, waiting, steps, winner, deadline, by, answered: false, started: false };
        self.operations.insert(job, entered);
        self.inputs.push(Input::Arrived(job));
        Ok(job)
    }

    /// Kept back of a client's time.
    fn kept_back(&self, left_us: Micros) -> Micros {
        MARGIN_US + self.keeper.as_ref().map_or(0, |_| BOOKING_US.min(left_us / 8))
    }

    /// Whatever is in hand, or still comes, is answered by then. Guards against operations that a stop would leave
    /// without an answer, as their clients would wait for longer than the program may go on.
    pub fn answer_all_by(&mut self, when: Micros) {
        self.last_call = when;
        let mut cut = Vec::new();
        for (job, entered) in self.operations.iter_mut().filter(|(_, o)| !o.answered && o.deadline > when) {
            entered.deadline = when;
            entered.by = entered.by.min(when.saturating_add(BOOKING_US));
            cut.push(*job);
        }
        cut.into_iter().for_each(|job| self.at(when, Due::Deadline(job)));
    }

    /// The client behind one ticket has gone away; others may still wait for the same operation.
    pub fn gone(&mut self, now: Micros, job: JobId, front: &Rc<dyn Front>, ticket: u64) {
        let Some(entered) = self.operations.get_mut(&job).filter(|o| !o.answered) else { return };
        let is_it = |w: &Waiter| w.ticket == ticket && Rc::ptr_eq(&w.front, front);
        let Some(at) = entered.waiting.iter().position(is_it) else {
            return;
        };
        let waiter = entered.waiting.remove(at);
        // Counted here: a result may come in the same batch, before the decisions hear of the leaving.
        self.counters.clients_gone += 1;
        let (nobody, used) = (entered.waiting.is_empty(), entered.used(now));
        self.book_gone(now, &used, &waiter);
        if nobody {
            self.inputs.push(Input::Gone(job));
        }
    }

    /// News of a route step. What comes after its end is ignored.
    pub fn step(&mut self, step: StepId, news: StepNews) {
        self.inputs.push(Input::Step(step, news));
    }

    /// The route step that a worker's call-back means: by the operation's id and the worker's name.
    pub fn find_step(&self, id: &str, worker: &str) -> Option<StepId> {
        let job = *self.by_id.get(id)?;
        let at = |s: &RouteStep| self.workers[s.worker.0 as usize].member.name == worker && !s.ended;
        let attempt = self.operations.get(&job)?.steps.iter().rposition(at)? as u32;
        Some(StepId { job, attempt })
    }

    /// When the next timer falls due.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.peek().map(|t| t.0 .0)
    }

    /// Feeds all that has come in, says `Settled`, carries out what is decided; again, while that itself
    /// ends route steps.
    pub fn turn(&mut self, now: Micros) {
        while let Some(Reverse((at, _, due))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            self.inputs.push(match due {
                Due::Module(token) => Input::Timer(token),
                Due::Deadline(job) => Input::Deadline(job),
                Due::Held(number) => {
                    self.overdue(number);
                    continue;
                }
            });
        }
        let mut overdue = Vec::new();
        while !self.inputs.is_empty() {
            let mut out = Vec::new();
            for input in std::mem::take(&mut self.inputs) {
                if let Input::Deadline(job) = input {
                    overdue.push(job);
                }
                self.feed(now, input, &mut out);
            }
            self.balancer.handle(now, Event::Settled, &mut out);
            for action in out {
                self.carry_out(now, action);
            }
        }
        // The decisions answer by the deadline; guards against an operation left without any answer.
        for job in overdue {
            self.finish(now, job, Answer::Failed { late: true });
        }
        self.sweep();
    }

    fn at(&mut self, when: Micros, due: Due) {
        self.timer_no += 1;
        self.timers.push(Reverse((when, self.timer_no, due)));
    }

    fn feed(&mut self, now: Micros, input: Input, out: &mut Vec<Action>) {
        let event = match input {
            Input::Arrived(job) => {
                let Some(entered) = self.operations.get(&job) else { return };
                let o = &entered.operation;
                Event::Arrived(Request {
                    job,
                    class: o.class,
                    tenant: o.tenant.as_deref().and_then(|t| self.site.tenants.known(t)).map(TenantId),
                    expires_in_us: entered.deadline.saturating_sub(now),
                    hint_us: None,
                    slots: o.slots,
                    key: o.subject.as_deref().map(mark),
                })
            }
            Input::Gone(job) => {
                let Some(entered) = self.operations.get_mut(&job) else { return };
                if entered.answered || !entered.waiting.is_empty() {
                    return; // answered meanwhile, or a repeat has joined
                }
                self.close(now, job, Answer::Failed { late: false });
                Event::ClientGone { job }
            }
            Input::Step(step, news) => match self.step_news(now, step, news) {
                Some(event) => event,
                None => return,
            },
            Input::List { source, complete, members } => self.list(source, complete, members),
            Input::ListFailed => Event::ListFailed,
            Input::Probed(worker, ok, report) => Event::Probed { worker, ok, report },
            Input::Timer(token) => Event::Timer { token },
            Input::Deadline(job) => {
                let Some(entered) = self.operations.get(&job) else { return };
                for attempt in (0..entered.steps.len()).filter(|&i| !entered.steps[i].ended) {
                    let step = StepId { job, attempt: attempt as u32 };
                    self.call_off(step);
                    self.inputs.push(Input::Step(step, StepNews::Ended(Ending::TimedOut, None)));
                }
                return;
            }
        };
        self.balancer.handle(now, event, out);
    }

    /// The one place that hands out final answers, once an operation.
    fn finish(&mut self, now: Micros, job: JobId, answer: Answer) {
        let Some(entered) = self.operations.get_mut(&job).filter(|o| !o.answered) else { return };
        let (waiting, used) = (std::mem::take(&mut entered.waiting), entered.used(now));
        waiting.into_iter().for_each(|waiter| self.give(now, &used, waiter, &answer));
        self.close(now, job, answer);
    }

    /// Drops operations that are answered and have nothing out.
    fn sweep(&mut self) {
        self.operations.retain(|_, o| {
            let done = o.answered && o.steps.iter().all(|s| s.ended);
            if done {
                self.by_id.remove(&o.operation.id);
            }
            !done
        });
    }
}
