//! The job table of the cluster scheduler: which jobs are known, which of their tasks may run now, where they run and
//! how often they failed.
//!
//! A client submits a *job*: steps of tasks that depend on each other, run once or as several *iterations* at fixed
//! times. What is placed at once is a *unit*: a single task, or all tasks of a gang. Each start of a task is a *run*.
//!
//! [`JobTable`] is a state machine without I/O and without a clock. The scheduler calls it with the current time and
//! with what happened (a client submitted or cancelled, placement assigned a unit, a worker reported a run's end) and
//! then takes its [`JobChanges`]: writes to the replicated state, units that became ready or were revoked, runs to
//! stop, and completed iterations. [`JobTable::recover`] rebuilds it from the replicated state at a new primary.
//!
//! # Invariants
//!
//! - At most one run of a task is assigned at any time; two where the step is hedged and [`JobTable::hedge`] asked for
//!   the second one.
//! - Run numbers of a task rise and are never used twice, also after a recovery.
//! - A unit becomes ready only after every step that its step depends on is done.
//! - A unit with as many failed attempts as its [`QueuePolicy`] allows ends its job; units of long-running steps are
//!   restarted without limit, after a backoff.
//!
//! # Structure
//!
//! Each layer uses the ones below it and none above:
//!
//! - [`JobTable`] is the interface; the module `views` shows units and runs to others.
//! - `recovery` and `encoding` turn stored records (`record`) into jobs and back.
//! - `store` keeps all jobs, the number of pending ones, and the effects that are not taken yet.
//! - `job` releases iterations and ends the job; `run_events` handles what happens to runs. Both turn what the state below
//!   returns into `effects`.
//! - `iterations`, `iteration`, `step` and `unit` are the state of a job, from large to small; a `position` names a place
//!   in it.
//! - `policy`, `plan` and `backoff` are the rules by which it runs, `latency` and `completion` what is reported of it.
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
//! // The only task is ready; the job's record is to be written to the replicated state.
//! let changes = table.take_changes();
//! assert_eq!(changes.writes.len(), 1);
//! let unit = &changes.ready_units[0];
//!
//! // Placement chose a worker: the run may be started once its record is committed.
//! let assignment = TaskAssignment { task: unit.tasks[0].clone(), worker: "worker-1".into() };
//! let started = table.start_unit(now, &unit.id, &[assignment]);
//! assert_eq!(table.status(&job), Some(JobState::Running));
//!
//! // The worker reported the run's end.
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
