//! The job record: which jobs are known, which of their tasks may run now, where they run and how often they failed.
//!
//! [`JobTable`] is a state machine without I/O. It is told the time and what happened, and hands out through
//! [`JobTable::take_changes`] the writes to the replicated state, the units that became ready or were taken back, and
//! the runs to stop. The book holds for every task that at most one run of it is assigned at any time (two where its
//! step is hedged and [`JobTable::hedge`] asks for it), that run numbers rise and never repeat, that a step waits for the
//! steps it depends on, and that attempts are limited.

mod backoff;
mod changes;
mod completion;
mod effects;
mod encoding;
mod entry;
mod error;
mod job;
mod latency;
mod names;
mod outcomes;
mod plan;
mod policy;
mod position;
mod record;
mod recovery;
mod run_events;
mod step;
mod table;
mod timers;
mod validation;
mod views;

pub use changes::{AssignedRun, JobChanges, StartedRun};
pub use completion::Completion;
pub use error::{RecordError, SubmitError};
pub use latency::{LatencyBreakdown, LatencyStage, RunTimings};
pub use outcomes::{CancelOutcome, SubmitOutcome};
pub use policy::{JobSettings, QueuePolicy};
pub use table::JobTable;
