//! The interface that the driver requires of replication, and its implementation by the coordinator.

use streamusher_coordination::{Coordinator, Input, Output, StateMap};
use streamusher_protocol::internal::ClusterView;
use streamusher_protocol::store::Write;
use streamusher_protocol::Millis;

/// Replication as seen by the driver, implemented by [`Coordinator`]. `now` is the time of the steady clock.
pub trait Replication {
    /// Handles an input and returns the outputs to process.
    fn handle(&mut self, now: Millis, input: Input) -> Vec<Output>;
    /// Appends writes as the next batch. Must be called only on a primary.
    fn append(&mut self, now: Millis, writes: Vec<Write>) -> Vec<Output>;
    /// Whether this machine may act as primary now: it is the primary and holds a valid lease.
    fn may_act(&self, now: Millis) -> bool;
    /// Whether this machine is elected but may not act as primary yet.
    fn is_becoming_primary(&self) -> bool;
    /// Sequence of the newest batch.
    fn last_appended(&self) -> u64;
    /// Sequence of the newest committed batch.
    fn last_committed(&self) -> u64;
    /// The replicated state, including batches that are not committed.
    fn state(&self) -> StateMap;
    /// The epoch, primary and members of the control plane as known to this machine.
    fn view(&self, now: Millis) -> ClusterView;
}

impl Replication for Coordinator {
    fn handle(&mut self, now: Millis, input: Input) -> Vec<Output> {
        Coordinator::handle(self, now, input)
    }

    fn append(&mut self, now: Millis, writes: Vec<Write>) -> Vec<Output> {
        let (_sequence, outputs) = Coordinator::append(self, now, writes);
        outputs
    }

    fn may_act(&self, now: Millis) -> bool {
        Coordinator::may_act(self, now)
    }

    fn is_becoming_primary(&self) -> bool {
        self.is_starting_term()
    }

    fn last_appended(&self) -> u64 {
        self.appended()
    }

    fn last_committed(&self) -> u64 {
        self.committed()
    }

    fn state(&self) -> StateMap {
        Coordinator::state(self)
    }

    fn view(&self, now: Millis) -> ClusterView {
        Coordinator::view(self, now)
    }
}
