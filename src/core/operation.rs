//! The words of the core: operations, route steps, how they end and how an operation is answered.

use crate::interface::{
    AttemptOutcome, ClassId, EndpointState, JobId, LoadReport, Micros, WorkerId,
};
use std::sync::Arc;

/// What a client asks for, free of any wire.
#[derive(Clone, Debug, Default)]
pub struct Operation {
    /// The client's own name for it, new with every request.
    pub id: String,
    /// Its class.
    pub class: ClassId,
    /// What it is about, as workers get to see it: a path, with the query if there is one.
    pub target: String,
    /// Whose it is, as the client says; booked under the name that this stands for.
    pub tenant: Option<Arc<str>>,
    /// The subject, which places work for the same data set together.
    pub subject: Option<String>,
    /// What repeats of it have in common, where its class is keyed.
    pub idempotency_key: Option<String>,
    /// The slots it takes.
    pub slots: f64,
    /// The client waits this much longer.
    pub remaining_us: Micros,
    /// What is handed to the worker.
    pub body: Vec<u8>,
}

/// One route step of one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepId {
    /// The operation.
    pub job: JobId,
    /// The attempt, from 0.
    pub attempt: u32,
}

/// Every way in which a route step, and with it a connection, can end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StepOutcome {
    /// The worker gave its result.
    Served(Arc<[u8]>),
    /// The worker says that the job failed.
    WorkerFailed,
    /// The worker turned the job away, or handed it back unstarted.
    Rejected,
    /// No connection was accepted.
    ConnectRefused,
    /// No connection came up within the time allowed.
    ConnectTimedOut,
    /// The connection broke before the last byte was written.
    ConnectionLostBeforeSend,
    /// The connection broke or ended after the last byte was written.
    ConnectionLostAfterSend,
    /// The job was killed, or the worker's process died.
    Lost,
    /// The time for the step ran out.
    TimedOut,
    /// The step was given up.
    Cancelled,
    /// The step was never begun.
    NotSent,
}

impl StepOutcome {
    /// The one place that says what an end means to the decisions.
    pub fn attempt_outcome(&self) -> AttemptOutcome {
        match self {
            StepOutcome::Served(_) => AttemptOutcome::Succeeded,
            StepOutcome::WorkerFailed => AttemptOutcome::WorkerError,
            StepOutcome::Rejected => AttemptOutcome::Shed,
            StepOutcome::ConnectRefused
            | StepOutcome::ConnectTimedOut
            | StepOutcome::ConnectionLostBeforeSend => AttemptOutcome::ConnectFailed,
            StepOutcome::ConnectionLostAfterSend | StepOutcome::Lost => {
                AttemptOutcome::ConnectionLost
            }
            StepOutcome::TimedOut => AttemptOutcome::TimedOut,
            StepOutcome::Cancelled => AttemptOutcome::Cancelled,
            StepOutcome::NotSent => AttemptOutcome::NotSent,
        }
    }

    /// Whether the job may have run, or may yet.
    pub fn may_have_run(&self) -> bool {
        !matches!(
            self.attempt_outcome(),
            AttemptOutcome::Shed | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        )
    }
}

/// The final answer of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A worker's result, whole.
    Served(Arc<[u8]>),
    /// A busy reply: trying again is harmless.
    Busy {
        /// Advice to stay away this long; 0 for none.
        retry_after_us: Micros,
    },
    /// Failed.
    Failed {
        /// The client's time had run out.
        late: bool,
    },
    /// It was served, but its use could not be booked in time: the result is not handed out, and not billed.
    Withheld,
}

/// Why an operation was not taken; nothing of it has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitError {
    /// An operation of this id is in hand.
    DuplicateId,
    /// As many operations as the settings allow are in hand.
    AtCapacity,
    /// What its client calls its tenant is no name.
    InvalidTenant,
    /// Its tenant is not listed, or it names none.
    Unlisted,
    /// Answers cannot be booked, and the operators' file says to take no work then.
    BillingUnavailable,
    /// The program ends, and its last answers are out: nothing could be run in time.
    Stopping,
}

/// News of a route step, as a driver tells it.
#[derive(Clone, Debug)]
pub enum StepEvent {
    /// The job has begun to run.
    Started,
    /// It has done this part.
    Progress(f64),
    /// The step has ended.
    Ended(StepOutcome, Option<LoadReport>),
}

/// A worker as a pool config names it.
#[derive(Clone, Debug, Default)]
pub struct PoolMember {
    /// Its name, the same everywhere.
    pub name: String,
    /// Where it listens.
    pub addr: String,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: EndpointState,
    /// Its weight.
    pub weight: f64,
    /// When its process last started, on the core's clock; 0 for long ago.
    pub started_at_us: Micros,
}

/// Takes the answers for operations that came in by one front.
pub trait Front {
    /// The final answer for the operation that this front numbered `ticket`. Called once; must not block. The
    /// receipt is to be told when the answer is written to the last byte.
    fn answer(&self, ticket: u64, answer: &Answer, receipt: super::Receipt);

    /// A worker has begun to run the operation. May come more than once, for several attempts.
    fn started(&self, _ticket: u64) {}
}

/// Carries route steps to the workers of one kind of wire. None of its calls may block or call the core;
/// what becomes of a step is told to the core later.
pub trait Driver {
    /// Begins a route step: once its connection is there, if [`super::Core::may_begin`] still allows it.
    fn send(
        &self,
        step: StepId,
        operation: &Arc<Operation>,
        worker: &PoolMember,
        remaining_us: Micros,
    );
    /// Gives a route step up.
    fn cancel(&self, step: StepId, operation: &Arc<Operation>, worker: &PoolMember);
    /// Asks a worker for its load.
    fn probe(&self, worker: WorkerId, member: &PoolMember);
}

/// A source of pool configs that may have to be asked.
pub trait PoolSource {
    /// The decisions want to hear of changes from now on; it may be called while a watch runs.
    fn subscribe(&self);

    /// Whether operations that come in are to wait for this source's first pool config, as what is known is from an
    /// earlier life of this process.
    fn awaits_first_config(&self) -> bool {
        false
    }

    /// An operation waits for the first pool config.
    fn expedite(&self) {}
}
