//! The primary role of primary-backup replication: keepalives, batches, snapshots, and commits.
//!
//! Invariant: a batch is committed only when all replicas of the newest record, and of every own proposal
//! that may still be decided, have synced it. So every replica of the next record, whichever is decided,
//! holds all committed data (`docs/design/control-state.md`, points 1 and 3).

use crate::batch::{Batch, LogPosition};
use crate::coordinator_core::CoordinatorCore;
use crate::events::Output;
use crate::limits::{
    MAX_LOG_CACHE_BYTES, MAX_LOG_CACHE_BYTES_DURING_SNAPSHOT, MAX_UNACKNOWLEDGED_BATCHES,
};
use crate::message::{KeepaliveAck, Message, SnapshotPart};
use crate::peer::Peer;
use crate::pipeline::BatchContent;
use crate::record::DiskId;
use crate::snapshot::{PartContent, SnapshotSender};
use crate::term::LeaderTerm;
use std::sync::Arc;
use streamusher_protocol::store::Write;
use streamusher_protocol::Millis;

/// Number of keepalives per lease: two in a row may be lost.
const KEEPALIVES_PER_LEASE: Millis = 4;

impl LeaderTerm {
    /// Creates the first batch of the term. It is empty; its commit also commits all data that this primary
    /// held at its election.
    pub(crate) fn create_first_batch(&mut self, core: &mut CoordinatorCore) {
        self.create_batch(core, BatchContent::default());
    }

    /// Sends a keepalive to all other members.
    pub(crate) fn send_keepalives(&mut self, core: &mut CoordinatorCore) {
        let sent_ms = core.now_ms;
        self.next_keepalive_ms = sent_ms + core.settings.lease_ms / KEEPALIVES_PER_LEASE;
        let record = core.record().clone();
        core.send_to_members(&Message::Keepalive { record, sent_ms });
    }

    /// Sends a keepalive if one is due, and creates and sends batches and parts of snapshots.
    pub(crate) fn tick(&mut self, core: &mut CoordinatorCore) {
        if core.now_ms >= self.next_keepalive_ms {
            self.send_keepalives(core);
        }
        self.create_batches(core);
        self.send_data(core);
    }

    /// Queues an append for the next batch.
    pub(crate) fn append(&mut self, core: &mut CoordinatorCore, writes: Vec<Write>) {
        self.pipeline.push(core.appends.appended, writes);
        self.create_batches(core);
    }

    /// Creates batches from pending appends, as many as may be in flight.
    fn create_batches(&mut self, core: &mut CoordinatorCore) {
        while let Some(content) = self.pipeline.take_next_batch(core.state.applied().sequence) {
            self.create_batch(core, content);
        }
    }

    fn create_batch(&mut self, core: &mut CoordinatorCore, content: BatchContent) {
        let previous = core.state.applied();
        let position = LogPosition {
            epoch: self.number,
            sequence: previous.sequence + 1,
        };
        self.pipeline
            .record_batch(position.sequence, content.last_append, core.now_ms);
        let batch = Batch {
            previous,
            position,
            writes: Arc::new(content.writes),
        };
        let max_cache_bytes = if self.is_sending_snapshot() {
            MAX_LOG_CACHE_BYTES_DURING_SNAPSHOT
        } else {
            MAX_LOG_CACHE_BYTES
        };
        core.state.apply(batch, &mut core.disk, max_cache_bytes);
        self.send_data(core);
    }

    /// Handles the acknowledgement of a keepalive of this term, or the announcement of a member that it
    /// leaves.
    pub(crate) fn on_keepalive_ack(&mut self, core: &mut CoordinatorCore, ack: &KeepaliveAck) {
        if ack.term != self.number {
            return;
        }
        let Some(peer) = self.peers.get_mut(&ack.from) else {
            return;
        };
        peer.on_status_reported(ack);
        self.notify_removed_members(core);
        let is_announcement = ack.leaving && ack.sent_ms == 0;
        if ack.sent_ms > core.now_ms || is_announcement {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&ack.from) {
            peer.on_keepalive_acknowledged(ack.sent_ms, core.now_ms);
            self.on_position_reported(core, ack.from, ack.position);
        }
    }

    /// Handles the synced position that a member reports.
    pub(crate) fn on_synced(
        &mut self,
        core: &mut CoordinatorCore,
        from: DiskId,
        term: u64,
        position: LogPosition,
    ) {
        if term == self.number {
            self.on_position_reported(core, from, position);
        }
    }

    fn on_position_reported(
        &mut self,
        core: &mut CoordinatorCore,
        from: DiskId,
        position: LogPosition,
    ) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        if !peer.on_synced(position, core.now_ms) {
            return;
        }
        if position.epoch == self.number {
            peer.snapshot = None;
        }
        self.update_committed(core);
        self.send_data(core);
    }

    /// Handles a member's request for the next part of its snapshot.
    pub(crate) fn on_snapshot_ack(
        &mut self,
        core: &mut CoordinatorCore,
        from: DiskId,
        snapshot_id: u64,
        next: u64,
    ) {
        let peer = self.peers.get_mut(&from);
        let snapshot = peer.and_then(|peer| peer.snapshot.as_mut());
        let Some(snapshot) = snapshot.filter(|snapshot| snapshot.id == snapshot_id) else {
            return;
        };
        snapshot.on_acknowledged(next, core.now_ms);
        self.send_data(core);
    }

    /// Sends due batches and parts of snapshots to replicas, learners and proposed replicas.
    fn send_data(&mut self, core: &mut CoordinatorCore) {
        let header = DataHeader {
            from: core.id(),
            epoch: core.record().epoch,
            term: self.number,
        };
        for (id, peer) in &mut self.peers {
            let receives_data =
                peer.is_replica() || peer.is_learner() || self.proposed_replicas.contains(id);
            if !receives_data {
                continue;
            }
            let messages = due_messages(core, *id, peer, header, &mut self.last_snapshot_id);
            for message in messages {
                core.send(peer.address.clone(), message);
            }
        }
    }

    /// Advances the commit position to the batches that all required replicas have synced.
    pub(crate) fn update_committed(&mut self, core: &mut CoordinatorCore) {
        if !core.has_enough_replicas() {
            return;
        }
        let sequence = self.synced_by_all(core);
        if sequence <= self.pipeline.committed() {
            return;
        }
        if let Some(append) = self.pipeline.commit(sequence) {
            core.appends.committed = append;
            core.outbox.push(Output::Committed { sequence: append });
        }
        self.create_batches(core);
    }

    /// Sequence of the newest batch of this term that this primary and all required replicas have synced.
    fn synced_by_all(&self, core: &CoordinatorCore) -> u64 {
        let own_position = core.state.synced();
        let mut min_sequence = if own_position.epoch == self.number {
            own_position.sequence
        } else {
            0
        };
        if cfg!(feature = "mutant-copies") {
            return min_sequence;
        }
        for id in self.required_replicas(core) {
            let peer = self.peers.get(&id);
            let synced = peer.and_then(|peer| peer.acknowledged(self.number));
            min_sequence = min_sequence.min(synced.unwrap_or(0));
        }
        min_sequence
    }

    /// Sends the newest record to the machines that it removed, once more members have the record on disk
    /// than disks may be lost. A removed machine exits when it learns of its removal. If it exited earlier,
    /// the loss of all members that have the record could leave only the preceding record, which requires
    /// that machine.
    pub(crate) fn notify_removed_members(&mut self, core: &mut CoordinatorCore) {
        if self.removed_members.is_empty() {
            return;
        }
        let needed = core.min_replica_count(core.record());
        let own_epoch = core.synced_record_epoch;
        let peers = &self.peers;
        let members_with_record = |epoch: u64| {
            let others = peers
                .values()
                .filter(|peer| peer.synced_record_epoch >= epoch);
            usize::from(own_epoch >= epoch) + others.count()
        };
        let is_safe =
            |epoch: u64| members_with_record(epoch) >= needed || cfg!(feature = "mutant-dismissal");
        let (safe, others): (Vec<_>, Vec<_>) = self
            .removed_members
            .drain(..)
            .partition(|removed| is_safe(removed.epoch));
        self.removed_members = others;
        for removed in safe {
            core.send_newest_record(&removed.address);
        }
    }
}

/// Header fields that all messages with batches or parts of snapshots share.
#[derive(Clone, Copy, Debug)]
struct DataHeader {
    from: DiskId,
    epoch: u64,
    term: u64,
}

/// The batches or parts of a snapshot that are due for a member: batches if the cached ones reach back to its
/// position, otherwise parts of a snapshot.
fn due_messages(
    core: &CoordinatorCore,
    id: DiskId,
    peer: &mut Peer,
    header: DataHeader,
    last_snapshot_id: &mut u64,
) -> Vec<Message> {
    let Some(position) = peer.position else {
        return Vec::new();
    };
    if core.state.log_cache().can_replay_from(position) {
        peer.snapshot = None;
        peer.reset_send_position_if_due(core.now_ms);
        return due_batches(core, peer, position, header);
    }
    if position == core.state.applied() || !peer.is_responsive(core.now_ms) {
        return Vec::new();
    }
    let snapshot = peer
        .snapshot
        .get_or_insert_with(|| start_snapshot(core, id, position, last_snapshot_id));
    due_parts(snapshot, header, core.now_ms)
}

fn due_batches(
    core: &CoordinatorCore,
    peer: &mut Peer,
    position: LogPosition,
    header: DataHeader,
) -> Vec<Message> {
    let end = (position.sequence + MAX_UNACKNOWLEDGED_BATCHES).min(core.state.applied().sequence);
    let mut messages = Vec::new();
    while peer.last_sent < end {
        let Some(batch) = core.state.log_cache().get(peer.last_sent + 1) else {
            break;
        };
        messages.push(Message::Append {
            from: header.from,
            epoch: header.epoch,
            term: header.term,
            batch: batch.clone(),
        });
        peer.last_sent += 1;
    }
    messages
}

fn start_snapshot(
    core: &CoordinatorCore,
    receiver: DiskId,
    receiver_position: LogPosition,
    last_snapshot_id: &mut u64,
) -> SnapshotSender {
    *last_snapshot_id += 1;
    let applied = core.state.applied();
    log::info!(
        "sending snapshot {last_snapshot_id} to replica {receiver} at position {receiver_position:?}; snapshot position {applied:?}"
    );
    SnapshotSender::new(
        *last_snapshot_id,
        applied,
        core.state.map().clone(),
        core.now_ms,
    )
}

fn due_parts(snapshot: &mut SnapshotSender, header: DataHeader, now_ms: Millis) -> Vec<Message> {
    let (id, position) = (snapshot.id, snapshot.position);
    let parts = snapshot.next_due_parts(now_ms);
    let message = |part: PartContent| {
        Message::SnapshotPart(SnapshotPart {
            from: header.from,
            epoch: header.epoch,
            term: header.term,
            snapshot: id,
            index: part.index,
            last: part.last,
            position,
            writes: part.writes,
        })
    };
    parts.into_iter().map(message).collect()
}
