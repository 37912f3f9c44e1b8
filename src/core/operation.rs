//! Types of the core's interface: operations, route steps and their outcomes, final answers, fronts and
//! drivers.

use crate::interface::{
    AttemptOutcome, ClassId, EndpointState, JobId, LoadReport, Micros, WorkerId,
};
use std::sync::Arc;

/// A client's request, independent of any wire protocol.
#[derive(Clone, Debug, Default)]
pub struct Operation {
    /// The client's id for the request, new for each one.
    pub id: String,
    /// Request class.
    pub class: ClassId,
    /// The target as the worker sees it: a path, with the query if there is one.
    pub target: String,
    /// The tenant as the client names it; once the core has accepted the operation, the name it is recorded
    /// under.
    pub tenant: Option<Arc<str>>,
    /// The subject; jobs of the same subject are placed together, as they use the same data set.
    pub subject: Option<String>,
    /// Idempotency key that repeats of the operation share, where its class is keyed.
    pub idempotency_key: Option<String>,
    /// Slots that the operation takes.
    pub slots: f64,
    /// How much longer the client waits for the answer.
    pub remaining_us: Micros,
    /// The body that is sent to the worker.
    pub body: Vec<u8>,
}

/// Identifies one route step, which is one attempt of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepId {
    /// The operation's number in this core.
    pub job: JobId,
    /// Number of the attempt, counted from 0.
    pub attempt: u32,
}

/// How a route step, and with it its connection, ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StepOutcome {
    /// The worker returned its result.
    Served(Arc<[u8]>),
    /// The worker reported that the job failed.
    WorkerFailed,
    /// The worker rejected the job, or returned it unstarted.
    Rejected,
    /// The connection was refused.
    ConnectRefused,
    /// No connection was established within the time allowed.
    ConnectTimedOut,
    /// The connection was lost before the last byte of the request was written.
    ConnectionLostBeforeSend,
    /// The connection was lost or closed after the last byte of the request was written.
    ConnectionLostAfterSend,
    /// The job was killed, or the worker's process died.
    Lost,
    /// The step timed out.
    TimedOut,
    /// The step was cancelled.
    Cancelled,
    /// The step was never begun.
    NotSent,
}

impl StepOutcome {
    /// The only mapping of step outcomes to the balancer's attempt outcomes.
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

    /// Whether the job may have run, or may still run.
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
    /// A worker's complete result.
    Served(Arc<[u8]>),
    /// A busy reply; a retry is harmless.
    Busy {
        /// Recommended delay before a retry; 0 for none.
        retry_after_us: Micros,
    },
    /// The operation failed, or the rules do not permit a busy reply.
    Failed {
        /// Whether the client's time had run out.
        late: bool,
    },
    /// The operation was served, but its usage could not be recorded in time: the result is neither sent nor
    /// billed.
    Withheld,
}

/// Why an operation was not accepted; nothing of it has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitError {
    /// An operation with this id is open.
    DuplicateId,
    /// As many operations as the settings allow are open.
    AtCapacity,
    /// The client's tenant name is malformed.
    InvalidTenant,
    /// The tenant is not listed, or the client named none.
    Unlisted,
    /// Answers cannot be recorded, and the operators' file says to accept no operations in that case.
    BillingUnavailable,
    /// The process is shutting down, and the time of its last answers is over: nothing could run in time.
    Stopping,
}

/// An event of a route step, as its driver reports it.
#[derive(Clone, Debug)]
pub enum StepEvent {
    /// The job has started to run.
    Started,
    /// The job has made progress; the value is the part that is done.
    Progress(f64),
    /// The step has ended, with the worker's load report if it sent one.
    Ended(StepOutcome, Option<LoadReport>),
}

/// A worker as a pool config lists it.
#[derive(Clone, Debug, Default)]
pub struct PoolMember {
    /// Name of the worker, the same at all dispatchers.
    pub name: String,
    /// Address that the worker listens on.
    pub addr: String,
    /// Name of the worker's zone.
    pub zone: String,
    /// Name of the machine kind.
    pub kind: String,
    /// Number of the deduplication cell.
    pub cell: u32,
    /// Whether the worker is ready, draining or gone.
    pub state: EndpointState,
    /// The listed weight; the settings define its meaning.
    pub weight: f64,
    /// When the worker's process last started, on the core's clock; 0 for long ago.
    pub started_at_us: Micros,
}

/// Receives the answers to the operations that one front submitted.
pub trait Front {
    /// Receives the final answer to the operation that this front numbered `ticket`. Called once; must not
    /// block. The front calls [`super::Receipt::written`] when the last byte of the answer is written.
    fn answer(&self, ticket: u64, answer: &Answer, receipt: super::Receipt);

    /// A worker has started to run the operation. May be called more than once, for several attempts.
    fn started(&self, _ticket: u64) {}
}

/// Sends route steps to workers over one wire protocol. No method may block or call the core; the driver
/// reports the outcome of a step to the core later.
pub trait Driver {
    /// Begins a route step once its connection is established, if [`super::Core::may_begin`] still allows it.
    fn send(
        &self,
        step: StepId,
        operation: &Arc<Operation>,
        worker: &PoolMember,
        remaining_us: Micros,
    );
    /// Cancels a route step.
    fn cancel(&self, step: StepId, operation: &Arc<Operation>, worker: &PoolMember);
    /// Requests a load report from a worker.
    fn probe(&self, worker: WorkerId, member: &PoolMember);
}

/// A source of pool configs that may have to be asked.
pub trait PoolSource {
    /// Requests that changes be reported from now on; may be called while a watch runs.
    fn subscribe(&self);

    /// Whether new operations must wait for this source's first pool config, as the known list is from an
    /// earlier process.
    fn awaits_first_config(&self) -> bool {
        false
    }

    /// An operation waits for the first pool config, so it should be fetched soon.
    fn expedite(&self) {}
}
