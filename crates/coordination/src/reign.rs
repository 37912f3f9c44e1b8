//! What a primary holds while it is in office.

use crate::peer::Peer;
use crate::types::DiskId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use streamusher_protocol::store::Write;
use streamusher_protocol::Millis;

/// So many batches' times are remembered: far more than are made until a slow replica is dropped.
const MOST_MADE: usize = 1_024;

/// A primary's time in office.
#[derive(Clone, Debug)]
pub(crate) struct Reign {
    /// The epoch in which it began.
    pub epoch: u64,
    /// Sequence of the batch that opened it.
    pub opening: u64,
    pub opened_at: Millis,
    /// All batches up to this one are committed.
    pub committed: u64,
    pub peers: BTreeMap<DiskId, Peer>,
    /// Replicas of own proposals that may yet be decided.
    pub proposed: BTreeSet<DiskId>,
    /// A successor was proposed: this primary acts no more.
    pub yielded: bool,
    /// Appends that are not in a batch yet, by number.
    pub pending: Vec<(u64, Vec<Write>)>,
    /// When the newest batches were made, in order; the first has the sequence `made_from`.
    made: VecDeque<Millis>,
    made_from: u64,
    /// Uncommitted batches.
    pub outstanding: VecDeque<Outstanding>,
    pub next_keepalive: Millis,
    /// When this primary last could act, or opened its reign.
    pub acted_at: Millis,
    pub last_copy: u64,
    /// Machines removed by a record of this reign, by its epoch, that have not been told yet.
    pub removed: Vec<(u64, Arc<str>)>,
    pub next_change: Millis,
}

/// A batch that is not committed.
#[derive(Clone, Debug)]
pub(crate) struct Outstanding {
    pub sequence: u64,
    pub append: Option<u64>,
}

impl Reign {
    pub fn new(epoch: u64, opening: u64, now: Millis) -> Reign {
        Reign {
            epoch,
            opening,
            opened_at: now,
            committed: 0,
            peers: BTreeMap::new(),
            proposed: BTreeSet::new(),
            yielded: false,
            pending: Vec::new(),
            made: VecDeque::new(),
            made_from: opening,
            outstanding: VecDeque::new(),
            next_keepalive: now,
            acted_at: now,
            last_copy: 0,
            removed: Vec::new(),
            next_change: now,
        }
    }

    /// Whether the batch that opens the reign is committed.
    pub fn is_open(&self) -> bool {
        self.committed >= self.opening
    }

    /// Whether a whole copy is under way.
    pub fn is_copying(&self) -> bool {
        self.peers.values().any(|peer| peer.copy.is_some())
    }

    /// Takes note of a batch just made.
    pub fn note_batch(&mut self, sequence: u64, append: Option<u64>, now: Millis) {
        self.outstanding.push_back(Outstanding { sequence, append });
        self.made.push_back(now);
        if self.made.len() > MOST_MADE {
            self.made.pop_front();
            self.made_from += 1;
        }
    }

    /// How long ago the batch was made; 0 if there is none yet.
    pub fn batch_age(&self, sequence: u64, excused_until: Millis, now: Millis) -> Millis {
        let index = sequence.saturating_sub(self.made_from);
        let made = usize::try_from(index)
            .ok()
            .and_then(|index| self.made.get(index));
        made.map_or(0, |made| now.saturating_sub(excused_until.max(*made)))
    }
}
