//! What the driver needs of the replicated state machine, and how the scheduler provides it.

use streamusher_configuration::PublishedConfiguration;
use streamusher_coordination::StateMap;
use streamusher_protocol::Now;
use streamusher_scheduler::{Effects, Event, RecoverError, Scheduler, SchedulerSettings};

/// The state machine as the driver sees it; [`Scheduler`] implements it.
pub trait StateMachine: Sized {
    /// Recovers from the replicated state, as the primary elected in `epoch`.
    ///
    /// # Errors
    /// The state cannot be decoded.
    fn recover(
        settings: &SchedulerSettings,
        epoch: u64,
        now: Now,
        state: StateMap,
    ) -> Result<Self, RecoverError>;
    /// The recovery has ended: events come from now on.
    fn on_recovered(&mut self, _now: Now) {}
    /// Handles an event.
    fn handle(&mut self, now: Now, event: Event) -> Effects;
    /// Version of the newest configuration, committed or not; 0 for none.
    fn configuration_version(&self) -> u64 {
        0
    }
    /// The newest configuration, committed or not.
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
