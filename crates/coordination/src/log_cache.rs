//! The newest batches, kept in memory for replicas that lack them.

use crate::batch::{Batch, LogPosition};
use std::collections::VecDeque;
use streamusher_protocol::store::Write;

/// Bytes that a batch takes beside its writes, roughly.
const BATCH_OVERHEAD_BYTES: usize = 64;
/// Bytes that a write takes beside its texts, roughly.
const WRITE_OVERHEAD_BYTES: usize = 48;

/// The newest batches in order, without gaps.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentBatches {
    batches: VecDeque<Batch>,
    bytes: usize,
}

impl RecentBatches {
    /// Adds a batch and drops the oldest ones above `max_bytes`; the newest always stays.
    pub(crate) fn push(&mut self, batch: Batch, max_bytes: usize) {
        self.bytes += batch_bytes(&batch);
        self.batches.push_back(batch);
        while self.bytes > max_bytes && self.batches.len() > 1 {
            let oldest = self.batches.pop_front();
            self.bytes -= oldest.as_ref().map_or(0, batch_bytes);
        }
    }

    /// Drops all batches.
    pub(crate) fn clear(&mut self) {
        self.batches.clear();
        self.bytes = 0;
    }

    /// Whether the batches held here bring a state at this position to the newest one.
    pub(crate) fn reaches_from(&self, position: LogPosition) -> bool {
        match self.get(position.sequence + 1) {
            Some(batch) => batch.previous == position,
            None => self
                .batches
                .back()
                .is_some_and(|newest| newest.position == position),
        }
    }

    /// The batch with this sequence, if it is held.
    pub(crate) fn get(&self, sequence: u64) -> Option<&Batch> {
        let first = self.batches.front()?.position.sequence;
        let index = usize::try_from(sequence.checked_sub(first)?).ok()?;
        self.batches.get(index)
    }
}

fn batch_bytes(batch: &Batch) -> usize {
    BATCH_OVERHEAD_BYTES + batch.writes.iter().map(write_bytes).sum::<usize>()
}

/// Bytes that a write takes in memory or in a message, roughly.
pub(crate) fn write_bytes(write: &Write) -> usize {
    let value_bytes = write.value.as_ref().map_or(0, |value| value.len());
    WRITE_OVERHEAD_BYTES + write.key.len() + value_bytes
}
