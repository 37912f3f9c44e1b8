//! The interface that the driver requires of the replicated state machine, and its implementation by the
//! scheduler.

use streamusher_configuration::PublishedConfiguration;
use streamusher_coordination::StateMap;
use streamusher_protocol::Now;
use streamusher_scheduler::{Effects, Event, RecoverError, Scheduler, SchedulerSettings};

/// The replicated state machine as seen by the driver, implemented by [`Scheduler`].
pub trait StateMachine: Sized {
    /// Recovers the state machine from the replicated state, on the primary elected in `epoch`.
    ///
    /// # Errors
    /// The state cannot be decoded.
    fn recover(
        settings: &SchedulerSettings,
        epoch: u64,
        now: Now,
        state: StateMap,
    ) -> Result<Self, RecoverError>;
    /// Reports the end of the recovery; events follow from now on.
    fn on_recovered(&mut self, _now: Now) {}
    /// Handles an event and returns the writes and responses that it produces.
    fn handle(&mut self, now: Now, event: Event) -> Effects;
    /// Version of the newest configuration, committed or not; 0 if there is none.
    fn configuration_version(&self) -> u64 {
        0
    }
    /// The newest configuration, committed or not; `None` if there is none.
    fn newest_configuration(&self) -> Option<PublishedConfiguration> {
        None
    }
}

impl StateMachine for Scheduler {
    fn recover(
        settings: &SchedulerSettings,
        epoch: u64,
        now: Now,
        state: StateMap,
    ) -> Result<Self, RecoverError> {
        Scheduler::recover(settings.clone(), epoch, now, state)
    }

    fn on_recovered(&mut self, now: Now) {
        Scheduler::on_recovered(self, now);
    }

    fn handle(&mut self, now: Now, event: Event) -> Effects {
        Scheduler::handle(self, now, event)
    }

    fn configuration_version(&self) -> u64 {
        self.configuration().version()
    }

    fn newest_configuration(&self) -> Option<PublishedConfiguration> {
        self.configuration().published()
    }
}
