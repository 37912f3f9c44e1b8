//! Recovery of the replicated state machine on a newly elected primary.

use super::state_machine::StateMachine;
use streamusher_coordination::StateMap;
use streamusher_protocol::Now;
use streamusher_scheduler::{RecoverError, SchedulerSettings};

/// The input for recovering a state machine.
///
/// Recovery from a large state takes seconds, and keepalives must continue meanwhile: otherwise the replicas
/// would depose each new primary in turn. The input is therefore a value that can be moved to another thread.
#[derive(Debug)]
pub struct Recovery {
    /// The epoch in which this machine was elected.
    pub epoch: u64,
    /// The time of the election; leases of former primaries were granted before it.
    pub now: Now,
    pub(super) settings: SchedulerSettings,
    pub(super) state: StateMap,
}

impl Recovery {
    /// Recovers the state machine. Blocks for a long time if the state is large.
    ///
    /// # Errors
    /// The state cannot be decoded.
    pub fn run<S: StateMachine>(self) -> Result<S, RecoverError> {
        S::recover(&self.settings, self.epoch, self.now, self.state)
    }
}
