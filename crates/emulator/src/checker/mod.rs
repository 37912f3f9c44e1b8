//! Checks the rules of the deployment against the observations of workers, clients and operators.
//!
//! - `violation`: the rules and their violations.
//! - `records`, `configurations`: recorded observations.
//! - `state`: the checker with all its records.
//! - `start_rules`, `end_rules`: rules on starts and ends of runs.
//! - `job_rules`: rules on the responses that clients receive about their jobs.
//! - `idle_rule`: jobs without running tasks although there is capacity.
//! - `lease_rule`: leases of workers that outlast those that the primary counts.
//! - `fencing_rule`: processes that continue to use a refused fencing token.
//! - `configuration_rules`: rules on the configuration by which operators and clients are answered.

mod configuration_rules;
mod configurations;
mod end_rules;
mod fencing_rule;
mod idle_rule;
mod job_rules;
mod lease_rule;
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
