//! The replica role of primary-backup replication: applies batches, installs snapshots, and acknowledges both
//! when they are synced.
//!
//! Invariant: a candidate sends no acknowledgements, so no data that its proposal does not cover is committed
//! under the preceding record.

use crate::batch::{Batch, LogPosition};
use crate::coordinator_core::CoordinatorCore;
use crate::disk::Effect;
use crate::limits::{MAX_LOG_CACHE_BYTES, MAX_OUT_OF_ORDER_BATCHES};
use crate::message::{Message, SnapshotPart};
use crate::record::DiskId;
use crate::snapshot::{PartContent, SnapshotReceiver};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Data received from a primary that is not part of the replicated state yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct Replica {
    /// Batches that arrived before the batch that they follow, by the position of that batch.
    out_of_order_batches: BTreeMap<LogPosition, Batch>,
    snapshot: Option<SnapshotReceiver>,
}

impl Replica {
    /// Discards out-of-order batches after a newer record was adopted, as they may come from a former
    /// primary.
    pub(crate) fn on_record_adopted(&mut self) {
        self.out_of_order_batches.clear();
    }

    /// Discards a partly received snapshot when this member becomes the primary.
    pub(crate) fn on_term_begun(&mut self) {
        self.snapshot = None;
    }

    /// Handles a batch from the primary.
    pub(crate) fn on_append(
        &mut self,
        core: &mut CoordinatorCore,
        sender: &Sender<'_>,
        batch: Batch,
    ) {
        if !sender.is_followed(core) {
            return;
        }
        let applied = core.state.applied();
        let is_next = batch.previous == applied && batch.position > applied;
        if !is_next {
            self.keep_out_of_order(batch, applied);
            return send_synced(core);
        }
        core.state.apply(batch, &mut core.disk, MAX_LOG_CACHE_BYTES);
        while let Some(next) = self.out_of_order_batches.remove(&core.state.applied()) {
            core.state.apply(next, &mut core.disk, MAX_LOG_CACHE_BYTES);
        }
        core.disk.queue_effect(Effect::Acknowledge);
    }

    /// Keeps a batch that arrived before the batch that it follows.
    fn keep_out_of_order(&mut self, batch: Batch, applied: LogPosition) {
        self.out_of_order_batches
            .retain(|previous, _| *previous > applied);
        let is_early = batch.previous > applied;
        if is_early && self.out_of_order_batches.len() < MAX_OUT_OF_ORDER_BATCHES {
            self.out_of_order_batches.insert(batch.previous, batch);
        }
    }

    /// Handles a part of a snapshot from the primary.
    pub(crate) fn on_snapshot_part(
        &mut self,
        core: &mut CoordinatorCore,
        address: &Arc<str>,
        part: SnapshotPart,
    ) {
        let sender = Sender {
            address,
            id: part.from,
            epoch: part.epoch,
            term: part.term,
        };
        if !sender.is_followed(core) {
            return;
        }
        let applied = core.state.applied();
        let is_up_to_date = applied.epoch == part.term && applied >= part.position;
        let is_known = self
            .snapshot
            .as_ref()
            .is_some_and(|known| known.term == part.term && known.id == part.snapshot);
        if is_up_to_date && !is_known {
            return send_synced(core);
        }
        let Some(snapshot) = self.receiver_for(&part) else {
            return;
        };
        let content = PartContent {
            index: part.index,
            last: part.last,
            writes: part.writes,
        };
        let completed = snapshot.on_part(content);
        let (is_complete, position) = (snapshot.is_complete(), snapshot.position);
        let acknowledgement = Message::SnapshotAck {
            from: core.id(),
            snapshot: part.snapshot,
            next: snapshot.next(),
        };
        core.send(address.clone(), acknowledgement);
        match completed {
            Some(writes) if !is_up_to_date => {
                core.state
                    .install_snapshot(position, writes, &mut core.disk);
                core.disk.queue_effect(Effect::Acknowledge);
            }
            _ if is_complete => send_synced(core),
            _ => {}
        }
    }

    /// The snapshot that a part belongs to; `None` if a newer snapshot of the same term is known.
    fn receiver_for(&mut self, part: &SnapshotPart) -> Option<&mut SnapshotReceiver> {
        let known = self.snapshot.as_ref();
        let known_id = known.filter(|known| known.term == part.term);
        let known_id = known_id.map(|known| known.id);
        if known_id.is_some_and(|id| id > part.snapshot) {
            return None;
        }
        if known_id != Some(part.snapshot) {
            let receiver = SnapshotReceiver::new(part.term, part.snapshot, part.position);
            self.snapshot = Some(receiver);
        }
        self.snapshot.as_mut()
    }
}

/// Identity of the sender of a batch or of a part of a snapshot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sender<'a> {
    pub(crate) address: &'a Arc<str>,
    pub(crate) id: DiskId,
    pub(crate) epoch: u64,
    pub(crate) term: u64,
}

impl Sender<'_> {
    /// Whether this member accepts data from the sender: the sender is the primary of the newest record, and
    /// this member is not a candidate. If the two know different records, sends the newer record to the
    /// sender or requests it from the sender.
    fn is_followed(&self, core: &mut CoordinatorCore) -> bool {
        let epoch = core.record().epoch;
        if self.epoch < epoch {
            core.send_newest_record(self.address);
        }
        if self.epoch > epoch {
            core.send_hello(self.address.clone());
        }
        let record = core.record();
        let is_other_primary = record.primary == Some(self.id) && self.id != core.id();
        is_other_primary && record.term == self.term && !core.witness.candidate
    }
}

/// Reports the synced position to the primary, unless this member is a candidate or the primary itself.
pub(crate) fn send_synced(core: &mut CoordinatorCore) {
    if core.witness.candidate {
        return;
    }
    let Some(primary) = core.primary_address() else {
        return;
    };
    let message = Message::Synced {
        from: core.id(),
        term: core.record().term,
        position: core.state.synced(),
    };
    core.send(primary, message);
}
