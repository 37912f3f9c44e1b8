//! Whole copies of the state, sent in parts and installed at once.

use crate::recent::write_bytes;
use crate::times::{PART_BYTES, PART_WINDOW, REPEAT_MS};
use crate::types::{LogPosition, StateMap};
use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;
use streamusher_protocol::store::Write;
use streamusher_protocol::Millis;

/// A copy on its way to a replica.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingCopy {
    pub id: u64,
    pub position: LogPosition,
    /// When it began, or when a part was last acknowledged.
    pub progress_at: Millis,
    state: StateMap,
    /// First key of each part known so far; none begins at the start.
    starts: Vec<Option<Arc<str>>>,
    finished: bool,
    acknowledged: u64,
    sent: u64,
    repeat_at: Millis,
}

/// A part to send.
pub(crate) struct Part {
    pub index: u64,
    pub last: bool,
    pub writes: Vec<Write>,
}

impl OutgoingCopy {
    pub fn new(id: u64, position: LogPosition, state: StateMap, now: Millis) -> OutgoingCopy {
        OutgoingCopy {
            id,
            position,
            progress_at: now,
            state,
            starts: vec![None],
            finished: false,
            acknowledged: 0,
            sent: 0,
            repeat_at: now,
        }
    }

    /// The receiver wants this part next; the first again, if it has restarted. As such a word may also be one that was held up
    /// on its way, a receiver that has more is believed, whatever was sent since: it has nothing but parts of this copy.
    pub fn acknowledge(&mut self, next: u64, now: Millis) {
        if next == 0 && self.acknowledged > 0 {
            self.acknowledged = 0;
            self.sent = 0;
        }
        let known = if cfg!(feature = "mutant-late-word") {
            self.sent
        } else {
            self.starts.len() as u64
        };
        if next > self.acknowledged && next <= known {
            self.acknowledged = next;
            self.sent = self.sent.max(next);
            self.progress_at = now;
            self.repeat_at = now + REPEAT_MS;
        }
    }

    /// The parts to send now.
    pub fn due(&mut self, now: Millis) -> Vec<Part> {
        if now >= self.repeat_at {
            self.sent = self.acknowledged;
            self.repeat_at = now + REPEAT_MS;
        }
        let mut parts = Vec::new();
        while self.sent < self.acknowledged + PART_WINDOW {
            let Some(part) = self.part(self.sent) else {
                break;
            };
            self.sent += 1;
            parts.push(part);
        }
        parts
    }

    fn part(&mut self, index: u64) -> Option<Part> {
        let start = self.starts.get(usize::try_from(index).ok()?)?.clone();
        let from = start.map_or(Bound::Unbounded, Bound::Included);
        let mut writes = Vec::new();
        let mut bytes = 0;
        let mut next = None;
        for (key, value) in self.state.range((from, Bound::Unbounded)) {
            if bytes >= PART_BYTES {
                next = Some(key.clone());
                break;
            }
            let write = Write {
                key: key.clone(),
                value: Some(value.clone()),
            };
            bytes += write_bytes(&write);
            writes.push(write);
        }
        let last = next.is_none();
        let is_newest = index + 1 == self.starts.len() as u64;
        if is_newest && !self.finished {
            self.finished = last;
            self.starts.extend(next.map(Some));
        }
        Some(Part {
            index,
            last,
            writes,
        })
    }
}

/// A copy that is being received.
#[derive(Clone, Debug)]
pub(crate) struct IncomingCopy {
    pub reign: u64,
    pub id: u64,
    pub position: LogPosition,
    /// The part wanted next.
    pub next: u64,
    pub complete: bool,
    pub writes: Vec<Write>,
    /// Parts that came too early: whether the last, and the writes.
    early: BTreeMap<u64, (bool, Vec<Write>)>,
}

impl IncomingCopy {
    pub fn new(reign: u64, id: u64, position: LogPosition) -> IncomingCopy {
        let (writes, early) = (Vec::new(), BTreeMap::new());
        IncomingCopy {
            reign,
            id,
            position,
            next: 0,
            complete: false,
            writes,
            early,
        }
    }

    /// Takes a part, whatever the order; says whether the copy became complete by it.
    pub fn take(&mut self, index: u64, last: bool, writes: Vec<Write>) -> bool {
        let is_wanted = index >= self.next && index < self.next + PART_WINDOW;
        if !is_wanted || self.complete {
            return false;
        }
        self.early.insert(index, (last, writes));
        while let Some((last, writes)) = self.early.remove(&self.next) {
            self.writes.extend(writes);
            self.next += 1;
            self.complete |= last;
        }
        self.complete
    }
}
