//! Random numbers that prevent the processes of a cluster from acting in lockstep.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Range;
use streamusher_protocol::Millis;

/// Pseudo-random generator, deterministic for its seed. Nothing depends on the quality of its numbers.
#[derive(Debug)]
pub(super) struct Jitter {
    state: u64,
}

impl Jitter {
    pub(super) fn new(seed: u64) -> Jitter {
        Jitter { state: seed }
    }

    /// A random duration within `range`; its start if the range is empty.
    pub(super) fn duration_ms(&mut self, range: &Range<Millis>) -> Millis {
        let width = range.end.saturating_sub(range.start).max(1);
        range.start + self.next() % width
    }

    /// A random index below `len`; 0 if `len` is 0.
    pub(super) fn index(&mut self, len: usize) -> usize {
        let width = u64::try_from(len.max(1)).unwrap_or(u64::MAX);
        usize::try_from(self.next() % width).unwrap_or_default()
    }

    fn next(&mut self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.state.hash(&mut hasher);
        self.state = hasher.finish();
        self.state
    }
}
