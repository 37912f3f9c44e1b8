//! Recovery of the state machine by a newly elected primary.

use super::state_machine::StateMachine;
use streamusher_coordination::StateMap;
use streamusher_protocol::Now;
use streamusher_scheduler::{RecoverError, SchedulerSettings};

/// What a state machine is recovered from.
///
/// With a large state a recovery takes seconds, in which keepalives must go on: otherwise the replicas would depose one
/// new primary after the other. It therefore is a value that can be moved to another thread.
#[derive(Debug)]
pub struct Recovery {
    /// The epoch in which this machine was elected.
    pub epoch: u64,
    /// The time of the election: leases of former primaries were granted before.
    pub now: Now,
    pub(super) settings: SchedulerSettings,
    pub(super) state: StateMap,
}

impl Recovery {
    /// Recovers the state machine. Blocks for long with a large state.
    ///
    /// # Errors
    /// The state cannot be decoded.
    pub fn run<S: StateMachine>(self) -> Result<S, RecoverError> {
        S::recover(&self.settings, self.epoch, self.now, self.state)
    }
}
