//! In-memory cache of the newest batches, for replicas that lack them.

use crate::batch::{Batch, LogPosition};
use std::collections::VecDeque;
use streamusher_protocol::store::Write;

/// Approximate memory in bytes that a batch takes in addition to its writes.
const BATCH_OVERHEAD_BYTES: usize = 64;
/// Approximate memory in bytes that a write takes in addition to its key and value.
const WRITE_OVERHEAD_BYTES: usize = 48;

/// The newest batches, in order and without gaps.
#[derive(Clone, Debug, Default)]
pub(crate) struct LogCache {
    batches: VecDeque<Batch>,
    bytes: usize,
}

impl LogCache {
    /// Adds a batch and evicts the oldest batches above `max_bytes`; the newest batch is never evicted.
    pub(crate) fn push(&mut self, batch: Batch, max_bytes: usize) {
        self.bytes += batch_bytes(&batch);
        self.batches.push_back(batch);
        while self.bytes > max_bytes && self.batches.len() > 1 {
            let oldest = self.batches.pop_front();
            self.bytes -= oldest.as_ref().map_or(0, batch_bytes);
        }
    }

    /// Removes all batches.
    pub(crate) fn clear(&mut self) {
        self.batches.clear();
        self.bytes = 0;
    }

    /// Whether the cached batches suffice to bring a state at this position to the newest position.
    pub(crate) fn can_replay_from(&self, position: LogPosition) -> bool {
        match self.get(position.sequence + 1) {
            Some(batch) => batch.previous == position,
            None => self
                .batches
                .back()
                .is_some_and(|newest| newest.position == position),
        }
    }

    /// The batch with this sequence, if it is cached.
    pub(crate) fn get(&self, sequence: u64) -> Option<&Batch> {
        let first = self.batches.front()?.position.sequence;
        let index = usize::try_from(sequence.checked_sub(first)?).ok()?;
        self.batches.get(index)
    }
}

fn batch_bytes(batch: &Batch) -> usize {
    BATCH_OVERHEAD_BYTES + batch.writes.iter().map(write_bytes).sum::<usize>()
}

/// Approximate size in bytes of a write in memory or in a message.
pub(crate) fn write_bytes(write: &Write) -> usize {
    let value_bytes = write.value.as_ref().map_or(0, |value| value.len());
    WRITE_OVERHEAD_BYTES + write.key.len() + value_bytes
}
