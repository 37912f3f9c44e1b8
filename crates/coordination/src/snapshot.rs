//! Snapshots of the replicated state, sent in parts and installed in a single step.
//!
//! A part may be lost, duplicated or delayed like any message. The receiver requests the next part that it
//! needs; the sender keeps a window of unacknowledged parts and retransmits them after a while.

use crate::batch::LogPosition;
use crate::limits::{MAX_UNACKNOWLEDGED_PARTS, TARGET_SNAPSHOT_PART_BYTES};
use crate::log_cache::write_bytes;
use crate::storage::StateMap;
use crate::timing::RETRANSMIT_INTERVAL_MS;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;
use streamusher_protocol::store::Write;
use streamusher_protocol::Millis;

/// Content of one part.
#[derive(Clone, Debug)]
pub(crate) struct PartContent {
    /// Number of the part, starting at 0.
    pub(crate) index: u64,
    /// Whether this is the last part.
    pub(crate) last: bool,
    pub(crate) writes: Vec<Write>,
}

/// A snapshot that is being sent to a replica. It holds a copy of the state at its position; the copy costs
/// O(1).
#[derive(Clone, Debug)]
pub(crate) struct SnapshotSender {
    pub(crate) id: u64,
    pub(crate) position: LogPosition,
    /// When the snapshot started or a part was last acknowledged.
    pub(crate) progress_ms: Millis,
    state: StateMap,
    /// First key of each part known so far; the first part has `None` and starts at the first key of the
    /// state.
    first_keys: Vec<Option<Arc<str>>>,
    /// Whether `first_keys` covers all parts.
    all_parts_known: bool,
    /// Parts below this number are acknowledged.
    acknowledged: u64,
    /// Parts below this number are sent.
    sent: u64,
    resend_at_ms: Millis,
}

impl SnapshotSender {
    /// Creates a snapshot of this state.
    pub(crate) fn new(
        id: u64,
        position: LogPosition,
        state: StateMap,
        now_ms: Millis,
    ) -> SnapshotSender {
        SnapshotSender {
            id,
            position,
            progress_ms: now_ms,
            state,
            first_keys: vec![None],
            all_parts_known: false,
            acknowledged: 0,
            sent: 0,
            resend_at_ms: now_ms,
        }
    }

    /// Handles the receiver's request for its next part. A request for part 0 after an acknowledgement either
    /// comes from a receiver that has restarted or is a delayed message; in both cases sending restarts at
    /// part 0. If the request was delayed, a later request with a higher number is accepted even if fewer
    /// parts were sent since the restart: the receiver can only have parts of this snapshot.
    pub(crate) fn on_acknowledged(&mut self, next: u64, now_ms: Millis) {
        if next == 0 && self.acknowledged > 0 {
            self.acknowledged = 0;
            self.sent = 0;
        }
        let known_parts = if cfg!(feature = "mutant-late-word") {
            self.sent
        } else {
            self.first_keys.len() as u64
        };
        if next > self.acknowledged && next <= known_parts {
            self.acknowledged = next;
            self.sent = self.sent.max(next);
            self.progress_ms = now_ms;
            self.resend_at_ms = now_ms + RETRANSMIT_INTERVAL_MS;
        }
    }

    /// Returns the parts that are due for sending, and records them as sent.
    pub(crate) fn next_due_parts(&mut self, now_ms: Millis) -> Vec<PartContent> {
        if now_ms >= self.resend_at_ms {
            self.sent = self.acknowledged;
            self.resend_at_ms = now_ms + RETRANSMIT_INTERVAL_MS;
        }
        let mut parts = Vec::new();
        while self.sent < self.acknowledged + MAX_UNACKNOWLEDGED_PARTS {
            let Some(part) = self.build_part(self.sent) else {
                break;
            };
            self.sent += 1;
            parts.push(part);
        }
        parts
    }

    /// Returns the part with this number, if it exists, and records the first key of the next part.
    fn build_part(&mut self, index: u64) -> Option<PartContent> {
        let first_key = self.first_keys.get(usize::try_from(index).ok()?)?.clone();
        let start = first_key.map_or(Bound::Unbounded, Bound::Included);
        let mut writes = Vec::new();
        let mut bytes = 0;
        let mut next_key = None;
        for (key, value) in self.state.range((start, Bound::Unbounded)) {
            if bytes >= TARGET_SNAPSHOT_PART_BYTES {
                next_key = Some(key.clone());
                break;
            }
            let write = Write::set(key.clone(), value.clone());
            bytes += write_bytes(&write);
            writes.push(write);
        }
        let last = next_key.is_none();
        let is_newest = index + 1 == self.first_keys.len() as u64;
        if is_newest && !self.all_parts_known {
            self.all_parts_known = last;
            self.first_keys.extend(next_key.map(Some));
        }
        Some(PartContent {
            index,
            last,
            writes,
        })
    }
}

/// A snapshot that is being received.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotReceiver {
    /// Term of the sender.
    pub(crate) term: u64,
    /// Number of the snapshot within the term.
    pub(crate) id: u64,
    pub(crate) position: LogPosition,
    /// Number of the next part that is needed.
    next: u64,
    is_complete: bool,
    /// The writes of all parts below `next`.
    writes: Vec<Write>,
    /// Parts that arrived before an earlier part.
    out_of_order_parts: BTreeMap<u64, PartContent>,
}

impl SnapshotReceiver {
    /// Creates a receiver that has no parts yet.
    pub(crate) fn new(term: u64, id: u64, position: LogPosition) -> SnapshotReceiver {
        SnapshotReceiver {
            term,
            id,
            position,
            next: 0,
            is_complete: false,
            writes: Vec::new(),
            out_of_order_parts: BTreeMap::new(),
        }
    }

    /// Number of the next part that is needed.
    pub(crate) fn next(&self) -> u64 {
        self.next
    }

    /// Whether all parts have been received.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Adds a part; parts may arrive in any order. Returns the writes of the whole snapshot when this part
    /// completes it.
    pub(crate) fn on_part(&mut self, part: PartContent) -> Option<Vec<Write>> {
        let desired = self.next..self.next + MAX_UNACKNOWLEDGED_PARTS;
        if !desired.contains(&part.index) || self.is_complete {
            return None;
        }
        self.out_of_order_parts.insert(part.index, part);
        while let Some(part) = self.out_of_order_parts.remove(&self.next) {
            self.writes.extend(part.writes);
            self.next += 1;
            self.is_complete |= part.last;
        }
        self.is_complete.then(|| std::mem::take(&mut self.writes))
    }
}
