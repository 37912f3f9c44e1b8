//! What the driver needs of replication, and how the coordinator provides it.

use streamusher_coordination::{Coordinator, Input, Output, StateMap};
use streamusher_protocol::internal::ClusterView;
use streamusher_protocol::store::Write;
use streamusher_protocol::Millis;

/// Replication as the driver sees it; [`Coordinator`] implements it. `now` is steady time.
pub trait Replication {
    /// Handles an input.
    fn handle(&mut self, now: Millis, input: Input) -> Vec<Output>;
    /// Appends writes as the next batch. Only at a primary.
    fn append(&mut self, now: Millis, writes: Vec<Write>) -> Vec<Output>;
    /// Whether this machine may act as primary now: it is the primary and holds a valid lease.
    fn may_act(&self, now: Millis) -> bool;
    /// Whether this machine was elected and is about to act as primary.
    fn is_becoming_primary(&self) -> bool;
    /// Sequence of the newest batch.
    fn last_appended(&self) -> u64;
    /// Sequence up to which batches are committed.
    fn last_committed(&self) -> u64;
    /// The replicated state, batches that are not committed included.
    fn state(&self) -> StateMap;
    /// The control plane as this machine knows it.
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
