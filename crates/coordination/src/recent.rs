//! The newest batches, kept for replicas that lack them.

use crate::message::Batch;
use crate::types::LogPosition;
use std::collections::VecDeque;
use streamusher_protocol::store::Write;

/// Bytes that a batch takes beside its texts.
const BATCH_OVERHEAD: usize = 64;

/// The newest batches in order, without gaps.
#[derive(Clone, Debug, Default)]
pub(crate) struct Recent {
    batches: VecDeque<Batch>,
    bytes: usize,
}

impl Recent {
    /// Adds a batch and forgets the oldest ones above so many bytes.
    pub fn push(&mut self, batch: Batch, most_bytes: usize) {
        self.bytes += batch_bytes(&batch);
        self.batches.push_back(batch);
        while self.bytes > most_bytes && self.batches.len() > 1 {
            let oldest = self.batches.pop_front();
            self.bytes -= oldest.as_ref().map_or(0, batch_bytes);
        }
    }

    pub fn clear(&mut self) {
        self.batches.clear();
        self.bytes = 0;
    }

    /// Whether a state at this position is brought to the newest by batches held here.
    pub fn reaches_from(&self, position: LogPosition) -> bool {
        match self.get(position.sequence + 1) {
            Some(batch) => batch.previous == position,
            None => self
                .batches
                .back()
                .is_some_and(|newest| newest.position == position),
        }
    }

    pub fn get(&self, sequence: u64) -> Option<&Batch> {
        let first = self.batches.front()?.position.sequence;
        let index = usize::try_from(sequence.checked_sub(first)?).ok()?;
        self.batches.get(index)
    }
}

fn batch_bytes(batch: &Batch) -> usize {
    BATCH_OVERHEAD + batch.writes.iter().map(write_bytes).sum::<usize>()
}

/// Bytes that a write takes, roughly.
pub(crate) fn write_bytes(write: &Write) -> usize {
    const WRITE_OVERHEAD: usize = 48;
    WRITE_OVERHEAD + write.key.len() + write.value.as_ref().map_or(0, |value| value.len())
}
