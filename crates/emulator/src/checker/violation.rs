//! The rules of the deployment, by the names that the operators' pages use, and breaches of them.

use std::fmt;
use streamusher_protocol::Millis;

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// One task runs twice at once, or is started again after it was done.
    Twice,
    /// A worker is filled beyond its capacity.
    Limit,
    /// A task is started before its turn.
    Order,
    /// A task is started where it may not run.
    Route,
    /// A task is started after its last attempt.
    Budget,
    /// A gang's member has waited in vain for the others.
    Gang,
    /// Something is started that nobody wants.
    Unasked,
    /// A task is started although its job was rejected.
    Refused,
    /// A task is started on a worker that drains.
    Drain,
    /// A job is shown as succeeded although it has not.
    Mixed,
    /// Something acknowledged is no longer known, or makes no progress.
    Lost,
    /// Something is handled by a wrong configuration.
    Config,
    /// A valid request is not acknowledged although there are no faults.
    Acks,
    /// A process goes on with a fencing token that was refused.
    Duty,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&format!("{self:?}").to_uppercase())
    }
}

/// One breach of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// When it was noticed, in true time.
    pub noticed_at: Millis,
    /// The rule.
    pub rule: Rule,
    /// What happened.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>6} ms {}: {}", self.noticed_at, self.rule, self.text)
    }
}
