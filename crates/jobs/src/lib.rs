//! Job table of the cluster scheduler: stores the submitted jobs and tracks which of their tasks may run,
//! where the tasks run and how often they failed.
//!
//! A client submits a *job*: a graph of steps, each with one or more tasks, that is executed once or as
//! several *iterations* at a fixed interval. A *unit* is what placement assigns as a whole: a single task, or
//! all tasks of a gang. Each start of a task is a *run*.
//!
//! [`JobTable`] is a state machine without I/O and without a clock. The scheduler calls it with the current
//! time and an event (a client submits or cancels a job, placement assigns a unit, a worker reports the end
//! of a run), and then takes its [`JobChanges`]: writes to the replicated state, units that became ready or
//! were revoked, runs to stop, and completed iterations. After a change of primary, [`JobTable::recover`]
//! rebuilds the table from the replicated state.
//!
//! # Invariants
//!
//! - At most one run of a task is assigned at any time. A hedged task may have two after a call of
//!   [`JobTable::hedge`].
//! - Run numbers of a task increase and are never reused, also after a recovery.
//! - A unit becomes ready only after every step that its own step depends on is done.
//! - A unit whose failed attempts reach the limit of its [`QueuePolicy`] fails its job. Units of long-running
//!   steps are restarted without limit, after a backoff.
//!
//! # Structure
//!
//! Each layer uses only the layers listed below it:
//!
//! - [`JobTable`] is the interface; the module `views` builds the descriptions of waiting units and assigned
//!   runs that it returns.
//! - `recovery` and `encoding` convert between stored records (`record`) and jobs.
//! - `store` holds all jobs, the number of pending jobs, and the effects that have not been taken yet.
//! - `job` releases iterations and ends the job; `run_events` handles the start and the end of runs and the
//!   events between. Both translate the results of the layers below into `effects`.
//! - `iterations`, `iteration`, `step` and `unit` hold the state of a job, from the largest part to the
//!   smallest; a `position` addresses a unit, task or run within a job.
//! - `policy`, `plan` and `backoff` are the rules by which a job is executed; `latency` and `completion`
//!   describe what is reported about it.
//!
//! # Example
//!
//! ```
//! use streamusher_jobs::{JobSettings, JobTable, QueuePolicy, SubmitOutcome};
//! use streamusher_protocol::job::{JobRequest, JobState, StepRequest};
//! use streamusher_protocol::task::{JobId, RunEnd};
//! use streamusher_protocol::unit::TaskAssignment;
//! use streamusher_protocol::Now;
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let policy = QueuePolicy {
//!     queue: "scans".into(),
//!     service: "imaging".into(),
//!     priority: 1,
//!     max_attempts: 3,
//!     stretch: 2.0,
//!     target_latency_ms: 500,
//! };
//! let request = JobRequest {
//!     spec: "scan 7".into(),
//!     steps: vec![StepRequest { count: 1, ..StepRequest::default() }],
//!     ..JobRequest::default()
//! };
//! let now = Now { steady_ms: 0, unix_ms: 1_700_000_000_000 };
//! let job: JobId = "00ff00ff00ff00ff".parse()?;
//!
//! let mut table = JobTable::new(JobSettings { retention_ms: 60_000 });
//! assert_eq!(table.submit(now, &job, request, &policy)?, SubmitOutcome::Accepted);
//!
//! // The only task is ready, and the job's record has to be written to the replicated state.
//! let changes = table.take_changes();
//! assert_eq!(changes.writes.len(), 1);
//! let unit = &changes.ready_units[0];
//!
//! // Placement chose a worker. The run may be started once its record is committed.
//! let assignment = TaskAssignment { task: unit.tasks[0].clone(), worker: "worker-1".into() };
//! let started = table.start_unit(now, &unit.id, &[assignment]);
//! assert_eq!(table.status(&job), Some(JobState::Running));
//!
//! // The worker reports the end of the run.
//! assert!(table.on_run_finished(now, &started[0].run, RunEnd::Done, ""));
//! assert_eq!(table.status(&job), Some(JobState::Succeeded));
//! # Ok(())
//! # }
//! ```

mod assignment;
mod backoff;
mod changes;
mod completion;
mod effects;
mod encoding;
mod entry;
mod error;
mod finished_iterations;
mod iteration;
mod iterations;
mod job;
mod latency;
mod latency_account;
mod long_running;
mod millis;
mod outcomes;
mod pending;
mod plan;
mod policy;
mod position;
mod record;
mod recovery;
mod run_assignment;
mod run_events;
mod run_result;
mod settings;
mod step;
mod store;
mod table;
mod timers;
mod unit;
mod validation;
mod views;

pub use changes::{AssignedRun, JobChanges, StartedRun};
pub use completion::Completion;
pub use error::{InvalidRecord, RecordError, SubmitError};
pub use latency::{LatencyBreakdown, LatencyStage, RunTimings};
pub use long_running::LongRunningTasks;
pub use outcomes::{CancelOutcome, SubmitOutcome};
pub use policy::QueuePolicy;
pub use settings::JobSettings;
pub use table::JobTable;
