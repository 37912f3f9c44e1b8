//! The primary's batches: pending appends, uncommitted batches, and creation times of batches.

use crate::limits::{MAX_CREATION_TIMES, MAX_IN_FLIGHT_BATCHES, TARGET_BATCH_BYTES};
use crate::log_cache::write_bytes;
use std::collections::VecDeque;
use streamusher_protocol::store::Write;
use streamusher_protocol::Millis;

/// An append that is not part of a batch yet.
#[derive(Clone, Debug)]
struct PendingAppend {
    sequence: u64,
    writes: Vec<Write>,
}

/// A batch that is not committed yet.
#[derive(Clone, Debug)]
struct InFlightBatch {
    sequence: u64,
    /// Sequence of the newest append in the batch; `None` in the first batch of the term.
    last_append: Option<u64>,
}

/// Content of the next batch.
#[derive(Clone, Debug, Default)]
pub(crate) struct BatchContent {
    pub(crate) writes: Vec<Write>,
    /// Sequence of the newest append in the batch; `None` in the first batch of the term.
    pub(crate) last_append: Option<u64>,
}

/// The batches of one term, in order.
#[derive(Clone, Debug)]
pub(crate) struct BatchPipeline {
    /// Sequence of the first batch of the term.
    first_sequence: u64,
    /// All batches up to this sequence are committed.
    committed: u64,
    pending: Vec<PendingAppend>,
    in_flight: VecDeque<InFlightBatch>,
    /// Creation times of the newest batches, in order; the first entry is that of the sequence
    /// `first_creation_sequence`.
    creation_times_ms: VecDeque<Millis>,
    first_creation_sequence: u64,
}

impl BatchPipeline {
    /// Creates the pipeline of a new term whose first batch gets this sequence.
    pub(crate) fn new(first_sequence: u64) -> BatchPipeline {
        BatchPipeline {
            first_sequence,
            committed: 0,
            pending: Vec::new(),
            in_flight: VecDeque::new(),
            creation_times_ms: VecDeque::new(),
            first_creation_sequence: first_sequence,
        }
    }

    /// All batches up to this sequence are committed.
    pub(crate) fn committed(&self) -> u64 {
        self.committed
    }

    /// Whether the first batch of the term is committed.
    pub(crate) fn is_first_batch_committed(&self) -> bool {
        self.committed >= self.first_sequence
    }

    /// Whether all appends are committed.
    pub(crate) fn is_drained(&self) -> bool {
        self.in_flight.is_empty() && self.pending.is_empty()
    }

    /// Queues an append for the next batch.
    pub(crate) fn push(&mut self, sequence: u64, writes: Vec<Write>) {
        self.pending.push(PendingAppend { sequence, writes });
    }

    /// Removes and returns the content of the next batch: pending appends of about [`TARGET_BATCH_BYTES`], at
    /// least one. Returns `None` if no append is pending, if the batches up to `newest_sequence` leave no
    /// capacity for another uncommitted one, or if the first batch of the term is not committed.
    pub(crate) fn take_next_batch(&mut self, newest_sequence: u64) -> Option<BatchContent> {
        let in_flight = newest_sequence.saturating_sub(self.committed);
        if self.pending.is_empty()
            || in_flight >= MAX_IN_FLIGHT_BATCHES
            || !self.is_first_batch_committed()
        {
            return None;
        }
        let mut content = BatchContent::default();
        let mut bytes = 0;
        let mut count = 0;
        for append in &mut self.pending {
            if bytes >= TARGET_BATCH_BYTES {
                break;
            }
            bytes += append.writes.iter().map(write_bytes).sum::<usize>();
            content.last_append = Some(append.sequence);
            content.writes.append(&mut append.writes);
            count += 1;
        }
        self.pending.drain(..count);
        Some(content)
    }

    /// Records the creation of a batch.
    pub(crate) fn record_batch(&mut self, sequence: u64, last_append: Option<u64>, now_ms: Millis) {
        self.in_flight.push_back(InFlightBatch {
            sequence,
            last_append,
        });
        self.creation_times_ms.push_back(now_ms);
        if self.creation_times_ms.len() > MAX_CREATION_TIMES {
            self.creation_times_ms.pop_front();
            self.first_creation_sequence += 1;
        }
    }

    /// Marks the batches up to this sequence as committed. Returns the newest append among the newly
    /// committed batches.
    pub(crate) fn commit(&mut self, sequence: u64) -> Option<u64> {
        self.committed = sequence;
        let mut newest_append = None;
        while let Some(batch) = self
            .in_flight
            .pop_front_if(|batch| batch.sequence <= sequence)
        {
            newest_append = batch.last_append.or(newest_append);
        }
        newest_append
    }

    /// Age of the batch, not counting the time before `stalled_until_ms`; 0 if the batch does not exist yet.
    pub(crate) fn batch_age_ms(
        &self,
        sequence: u64,
        stalled_until_ms: Millis,
        now_ms: Millis,
    ) -> Millis {
        let offset = sequence.saturating_sub(self.first_creation_sequence);
        let created_ms = usize::try_from(offset)
            .ok()
            .and_then(|index| self.creation_times_ms.get(index));
        created_ms.map_or(0, |created_ms| {
            now_ms.saturating_sub(stalled_until_ms.max(*created_ms))
        })
    }
}
