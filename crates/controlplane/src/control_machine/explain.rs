//! What the primary knows of one job or user.

use serde_json::{json, Value};
use streamusher_protocol::internal::ExplainRequest;
use streamusher_protocol::Millis;
use streamusher_scheduler::Scheduler;

const UNKNOWN_JOB: &str = "no such job: it was not accepted, or ended long ago";
const FAIR_SHARE_OFF: &str =
    "debts are off: start the control plane with --share-debt or --share-debt-settings";

/// The outcome of an [`ExplainRequest`].
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ExplainOutcome {
    /// What is known.
    Known(Value),
    /// Nothing is known, and why.
    Unknown(&'static str),
    /// This machine is not the primary, and only the primary knows.
    NotPrimary,
}

/// Explains a job or a user by the scheduler of the acting primary.
pub(super) fn explain(
    scheduler: &Scheduler,
    now: Millis,
    request: &ExplainRequest,
) -> ExplainOutcome {
    match request {
        ExplainRequest::Job(id) => match scheduler.explain_job(now, id) {
            Some(job) => ExplainOutcome::Known(json!(job)),
            None => ExplainOutcome::Unknown(UNKNOWN_JOB),
        },
        ExplainRequest::User(user) => match scheduler.explain_user(now, user) {
            Some(usage) => ExplainOutcome::Known(json!(usage)),
            None => ExplainOutcome::Unknown(FAIR_SHARE_OFF),
        },
    }
}
