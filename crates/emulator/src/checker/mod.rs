//! Checks the rules of the deployment against what workers, clients and operators observe.
//!
//! - `violation`: the rules, and breaches of them.
//! - `records`, `configurations`: what was observed.
//! - `state`: the checker with all its records.
//! - `start_rules`, `end_rules`: starts and ends of runs.
//! - `job_rules`: what clients are told about their jobs.
//! - `idle_rule`: jobs with nothing running although there is capacity.
//! - `fencing_rule`: processes that go on with a fencing token that was refused.
//! - `configuration_rules`: by which configuration operators and clients are answered.

mod configuration_rules;
mod configurations;
mod end_rules;
mod fencing_rule;
mod idle_rule;
mod job_rules;
mod records;
mod start_rules;
mod state;
mod violation;

pub(crate) use configuration_rules::QueueResponse;
pub(crate) use configurations::SentChange;
pub(crate) use end_rules::EndedRun;
pub(crate) use fencing_rule::{FencedCaller, FencingToken, Matter};
pub(crate) use job_rules::StatusResponse;
pub(crate) use records::TaskRecord;
pub(crate) use start_rules::{StartedRun, WorkerView};
pub use state::{Checker, JobCounts};
pub use violation::{Rule, Violation};
