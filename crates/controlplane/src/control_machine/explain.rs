//! Explanations of one job or one user, given by the acting primary.

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
    /// The explanation as JSON.
    Known(Value),
    /// There is no information about the subject; the text states the reason.
    Unknown(&'static str),
    /// This machine is not the acting primary; only the primary can answer.
    NotPrimary,
}

/// Explains a job or a user with the scheduler of the acting primary.
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
