//! The rules of the deployment, named as in the operators' documentation, and their violations.

use std::fmt;
use streamusher_protocol::Millis;

/// A rule of the deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// A task runs twice at the same time, or is started again after it was done.
    Twice,
    /// The runs at a worker exceed its capacity.
    Limit,
    /// A task is started before its dependencies are done or before its scheduled time.
    Order,
    /// A task is started at a worker on which it must not run.
    Route,
    /// A task is started after its last attempt.
    Budget,
    /// A gang member waited in vain for the other members.
    Gang,
    /// A run is started that no client requested.
    Unasked,
    /// A task is started although its job was rejected.
    Refused,
    /// A task is started on a draining worker.
    Drain,
    /// A job is reported as succeeded although it has not succeeded.
    Mixed,
    /// Something that was acknowledged is no longer known or makes no progress.
    Lost,
    /// A request is handled by a wrong configuration.
    Config,
    /// A valid request is not acknowledged although there are no faults.
    Acks,
    /// A process continues to use a refused fencing token.
    Duty,
    /// A worker may run tasks for longer than the primary counts its lease. Not a rule of the operators, but
    /// without it the primary starts tasks elsewhere while they are still running.
    Lease,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&format!("{self:?}").to_uppercase())
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Time of detection, in true time.
    pub noticed_at: Millis,
    /// The violated rule.
    pub rule: Rule,
    /// Description of the violation.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>6} ms {}: {}", self.noticed_at, self.rule, self.text)
    }
}
