//! Replication state of another member, as tracked by the primary.

use crate::batch::LogPosition;
use crate::message::KeepaliveAck;
use crate::snapshot::SnapshotSender;
use crate::timing::{
    MAX_RETRANSMIT_INTERVAL_MS, REPLICA_TIMEOUT_MS, RETRANSMIT_INTERVAL_MS,
    SNAPSHOT_PROGRESS_TIMEOUT_MS,
};
use std::sync::Arc;
use streamusher_protocol::Millis;

/// Role of another member in the newest record, or the role that it is being prepared for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerRole {
    /// It votes on epoch records; its data does not count for commits.
    Witness,
    /// It is brought up to date so that it can become a replica.
    Learner,
    /// The newest record names it as a replica.
    Replica,
}

/// What the primary tracks about another member.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) address: Arc<str>,
    /// When the member last acknowledged a keepalive; before the first one, when the peer was added.
    pub(crate) last_ack_ms: Millis,
    /// Whether the member has acknowledged a keepalive in this term.
    has_acknowledged: bool,
    /// When the newest keepalive that the member acknowledged was sent: the start of its lease.
    pub(crate) lease_start_ms: Option<Millis>,
    /// Position that the member has synced; `None` until it is reported.
    pub(crate) position: Option<LogPosition>,
    /// Sequence of the last batch sent.
    pub(crate) last_sent: u64,
    retransmit_at_ms: Millis,
    retransmit_interval_ms: Millis,
    /// End of the last stall of this process: earlier time does not count for the age of unacknowledged
    /// batches.
    pub(crate) stalled_until_ms: Millis,
    pub(crate) is_leaving: bool,
    /// Epoch of the newest record on the member's disk, as far as reported.
    pub(crate) synced_record_epoch: u64,
    pub(crate) role: PeerRole,
    /// The member is not chosen as a replica before this time.
    pub(crate) excluded_until_ms: Millis,
    /// The snapshot that is being sent to the member.
    pub(crate) snapshot: Option<SnapshotSender>,
}

impl Peer {
    /// Creates the entry of a member that has acknowledged nothing in this term.
    pub(crate) fn new(address: Arc<str>, now_ms: Millis) -> Peer {
        Peer {
            address,
            last_ack_ms: now_ms,
            has_acknowledged: false,
            lease_start_ms: None,
            position: None,
            last_sent: 0,
            retransmit_at_ms: now_ms,
            retransmit_interval_ms: RETRANSMIT_INTERVAL_MS,
            stalled_until_ms: now_ms,
            is_leaving: false,
            synced_record_epoch: 0,
            role: PeerRole::Witness,
            excluded_until_ms: 0,
            snapshot: None,
        }
    }

    /// Whether the newest record names the member as a replica.
    pub(crate) fn is_replica(&self) -> bool {
        self.role == PeerRole::Replica
    }

    /// Whether the member is being brought up to date so that it can become a replica.
    pub(crate) fn is_learner(&self) -> bool {
        self.role == PeerRole::Learner
    }

    /// Whether the member has acknowledged a keepalive within [`REPLICA_TIMEOUT_MS`].
    pub(crate) fn is_responsive(&self, now_ms: Millis) -> bool {
        self.has_acknowledged && now_ms.saturating_sub(self.last_ack_ms) < REPLICA_TIMEOUT_MS
    }

    /// Whether the member has not acknowledged a keepalive for this long.
    pub(crate) fn is_unresponsive_for(&self, duration_ms: Millis, now_ms: Millis) -> bool {
        now_ms >= self.last_ack_ms + duration_ms
    }

    /// Whether the member must not become a replica yet because it was too slow.
    pub(crate) fn is_excluded(&self, now_ms: Millis) -> bool {
        now_ms < self.excluded_until_ms
    }

    /// Sequence of the last batch that the member has synced; `None` if its state is not of this term.
    pub(crate) fn acknowledged(&self, term: u64) -> Option<u64> {
        let position = self.position.filter(|position| position.epoch == term)?;
        Some(position.sequence)
    }

    /// Whether a snapshot is being sent to the member and makes no progress.
    pub(crate) fn has_stuck_snapshot(&self, now_ms: Millis) -> bool {
        self.snapshot
            .as_ref()
            .is_some_and(|snapshot| now_ms > snapshot.progress_ms + SNAPSHOT_PROGRESS_TIMEOUT_MS)
    }

    /// Records what the member reports about itself: whether it leaves, and its newest synced record.
    pub(crate) fn on_status_reported(&mut self, ack: &KeepaliveAck) {
        self.is_leaving = ack.leaving;
        self.synced_record_epoch = self.synced_record_epoch.max(ack.recorded_epoch);
    }

    /// Records the acknowledgement of a keepalive that was sent at `sent_ms`.
    pub(crate) fn on_keepalive_acknowledged(&mut self, sent_ms: Millis, now_ms: Millis) {
        self.last_ack_ms = now_ms;
        self.has_acknowledged = true;
        self.lease_start_ms = self.lease_start_ms.max(Some(sent_ms));
    }

    /// Records that the member has synced this position. Returns whether the position is higher than the
    /// known one.
    pub(crate) fn on_synced(&mut self, position: LogPosition, now_ms: Millis) -> bool {
        if self.position.is_some_and(|known| known >= position) {
            return false;
        }
        self.position = Some(position);
        self.last_sent = self.last_sent.max(position.sequence);
        self.retransmit_interval_ms = RETRANSMIT_INTERVAL_MS;
        self.retransmit_at_ms = now_ms + RETRANSMIT_INTERVAL_MS;
        true
    }

    /// When a retransmission is due, resets the send position to the last acknowledged batch.
    pub(crate) fn reset_send_position_if_due(&mut self, now_ms: Millis) {
        let Some(position) = self.position else {
            return;
        };
        if now_ms < self.retransmit_at_ms || self.last_sent <= position.sequence {
            return;
        }
        self.last_sent = position.sequence;
        self.retransmit_interval_ms =
            (self.retransmit_interval_ms * 2).min(MAX_RETRANSMIT_INTERVAL_MS);
        self.retransmit_at_ms = now_ms + self.retransmit_interval_ms;
    }

    /// Handles a stall of this process for `gap_ms`: the time of the stall does not count as silence of the
    /// member.
    pub(crate) fn on_process_stalled(&mut self, now_ms: Millis, gap_ms: Millis) {
        self.last_ack_ms = (self.last_ack_ms + gap_ms).min(now_ms);
        self.stalled_until_ms = now_ms;
    }
}
