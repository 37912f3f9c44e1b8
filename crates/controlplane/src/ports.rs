//! What the driver needs of replication and of the scheduler, and how the real ones give it.

use streamusher_configuration::relay::Published;
use streamusher_coordination::{Coordinator, Input, Output, StateMap};
use streamusher_protocol::internal::ClusterView;
use streamusher_protocol::store::Write;
use streamusher_protocol::{Millis, Now};
use streamusher_scheduler::{Effects, Event, RecoverError, Scheduler, SchedulerSettings};

/// What the driver needs of replication.
pub trait Replication {
    /// Takes an input.
    fn handle(&mut self, now: Millis, input: Input) -> Vec<Output>;
    /// Appends writes and gives their sequence.
    fn append(&mut self, now: Millis, writes: Vec<Write>) -> (u64, Vec<Output>);
    /// Whether replies may be released now.
    fn may_act(&self, now: Millis) -> bool;
    /// Whether this machine was elected and is about to act.
    fn is_opening(&self) -> bool;
    /// Sequence of the newest append.
    fn appended(&self) -> u64;
    /// Sequence up to which appends are committed.
    fn committed(&self) -> u64;
    /// The state to recover from.
    fn state(&self) -> StateMap;
    /// What is known of the control plane.
    fn view(&self, now: Millis) -> ClusterView;
}

/// What the driver needs of the scheduler.
pub trait StateMachine: Sized {
    /// Recovers from the replicated state, as the primary of `epoch`.
    ///
    /// # Errors
    /// The state can't be read.
    fn recover(
        settings: &SchedulerSettings,
        epoch: u64,
        now: Now,
        state: StateMap,
    ) -> Result<Self, RecoverError>;
    /// Takes an event.
    fn handle(&mut self, now: Now, event: Event) -> Effects;
    /// Version of the newest configuration, committed or not; 0 for none.
    fn version(&self) -> u64 {
        0
    }
    /// The newest configuration, committed or not.
    fn newest(&self) -> Option<Published> {
        None
    }
}

impl Replication for Coordinator {
    fn handle(&mut self, now: Millis, input: Input) -> Vec<Output> {
        Coordinator::handle(self, now, input)
    }

    fn append(&mut self, now: Millis, writes: Vec<Write>) -> (u64, Vec<Output>) {
        Coordinator::append(self, now, writes)
    }

    fn may_act(&self, now: Millis) -> bool {
        Coordinator::may_act(self, now)
    }

    fn is_opening(&self) -> bool {
        Coordinator::is_opening(self)
    }

    fn appended(&self) -> u64 {
        Coordinator::appended(self)
    }

    fn committed(&self) -> u64 {
        Coordinator::committed(self)
    }

    fn state(&self) -> StateMap {
        Coordinator::state(self)
    }

    fn view(&self, now: Millis) -> ClusterView {
        Coordinator::view(self, now)
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

    fn handle(&mut self, now: Now, event: Event) -> Effects {
        Scheduler::handle(self, now, event)
    }

    fn version(&self) -> u64 {
        self.configuration().version()
    }

    fn newest(&self) -> Option<Published> {
        self.configuration().newest()
    }
}
