//! Which configurations may be told to others: those that are committed, in their order. Pure.

use std::collections::VecDeque;
use streamusher_configuration::relay::Published;

/// Configurations of one reign on their way from being taken to being told.
#[derive(Debug, Default)]
pub struct Publication {
    /// The newest one taken.
    taken: u64,
    /// Each with the append that it rests on.
    pending: VecDeque<(u64, Published)>,
    committed: Vec<Published>,
}

impl Publication {
    /// Takes note that `version` is the newest after the append `sequence`; `newest` is asked only where it is a new one.
    pub fn taken(
        &mut self,
        sequence: u64,
        version: u64,
        newest: impl FnOnce() -> Option<Published>,
    ) {
        if version <= self.taken {
            return;
        }
        self.taken = version;
        self.pending
            .extend(newest().map(|published| (sequence, published)));
    }

    /// Whether something waits to be committed.
    pub fn is_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Takes note that everything up to `sequence` is committed.
    pub fn committed(&mut self, sequence: u64) {
        while self
            .pending
            .front()
            .is_some_and(|(wanted, _)| *wanted <= sequence)
        {
            self.committed
                .extend(self.pending.pop_front().map(|(_, published)| published));
        }
    }

    /// Whether something was committed since the last [`Publication::take`].
    pub fn is_ready(&self) -> bool {
        !self.committed.is_empty()
    }

    /// What was committed since the last call.
    pub fn take(&mut self) -> Vec<Published> {
        std::mem::take(&mut self.committed)
    }
}
