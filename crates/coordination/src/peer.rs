//! The progress of another member, as the primary sees it.

use crate::batch::LogPosition;
use crate::message::KeepaliveAck;
use crate::snapshot::SnapshotSender;
use crate::timing::{
    MAX_RETRANSMIT_INTERVAL_MS, REPLICA_TIMEOUT_MS, RETRANSMIT_INTERVAL_MS,
    SNAPSHOT_PROGRESS_TIMEOUT_MS,
};
use std::sync::Arc;
use streamusher_protocol::Millis;

/// What another member is in the newest record, or is about to become.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerRole {
    /// It votes and holds no data that counts.
    Witness,
    /// It is being brought up to date to become a replica.
    Learner,
    /// The newest record names it as a replica.
    Replica,
}

/// Another member, as the primary sees it.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) address: Arc<str>,
    /// When its last acknowledgement came; the beginning of the term before the first.
    pub(crate) heard_ms: Millis,
    /// Whether it has acknowledged anything in this term.
    has_answered: bool,
    /// When the newest keepalive that it acknowledged was sent: its lease runs from here.
    pub(crate) lease_start_ms: Option<Millis>,
    /// What it has synced, once reported.
    pub(crate) position: Option<LogPosition>,
    /// Sequence of the last batch sent.
    pub(crate) last_sent: u64,
    retransmit_at_ms: Millis,
    retransmit_interval_ms: Millis,
    /// End of this process's last stall: batches created before count as unacknowledged from here only.
    pub(crate) stalled_until_ms: Millis,
    pub(crate) is_leaving: bool,
    /// Epoch of the newest record that is on its disk.
    pub(crate) synced_record_epoch: u64,
    pub(crate) role: PeerRole,
    /// It is not taken as a replica before.
    pub(crate) excluded_until_ms: Millis,
    /// The snapshot on its way to it.
    pub(crate) snapshot: Option<SnapshotSender>,
}

impl Peer {
    /// A member of which nothing has been heard in this term.
    pub(crate) fn new(address: Arc<str>, now_ms: Millis) -> Peer {
        Peer {
            address,
            heard_ms: now_ms,
            has_answered: false,
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

    /// Whether the newest record names it as a replica.
    pub(crate) fn is_replica(&self) -> bool {
        self.role == PeerRole::Replica
    }

    /// Whether it is being brought up to date to become a replica.
    pub(crate) fn is_learner(&self) -> bool {
        self.role == PeerRole::Learner
    }

    /// Whether it has acknowledged something lately.
    pub(crate) fn is_responsive(&self, now_ms: Millis) -> bool {
        self.has_answered && now_ms.saturating_sub(self.heard_ms) < REPLICA_TIMEOUT_MS
    }

    /// Whether nothing was heard of it for this long.
    pub(crate) fn is_silent_for(&self, span_ms: Millis, now_ms: Millis) -> bool {
        now_ms >= self.heard_ms + span_ms
    }

    /// Whether it may not be a replica, as it was too slow.
    pub(crate) fn is_excluded(&self, now_ms: Millis) -> bool {
        now_ms < self.excluded_until_ms
    }

    /// Sequence of the batch that it has synced last, where its state is one of this term.
    pub(crate) fn acknowledged(&self, term: u64) -> Option<u64> {
        let position = self.position.filter(|position| position.epoch == term)?;
        Some(position.sequence)
    }

    /// Whether the snapshot on its way to it makes no progress.
    pub(crate) fn has_stuck_snapshot(&self, now_ms: Millis) -> bool {
        self.snapshot
            .as_ref()
            .is_some_and(|snapshot| now_ms > snapshot.progress_ms + SNAPSHOT_PROGRESS_TIMEOUT_MS)
    }

    /// Takes over what it says of itself.
    pub(crate) fn on_announcement(&mut self, ack: &KeepaliveAck) {
        self.is_leaving = ack.leaving;
        self.synced_record_epoch = self.synced_record_epoch.max(ack.recorded_epoch);
    }

    /// It has acknowledged a keepalive that was sent at this time.
    pub(crate) fn on_keepalive_acknowledged(&mut self, sent_ms: Millis, now_ms: Millis) {
        self.heard_ms = now_ms;
        self.has_answered = true;
        self.lease_start_ms = self.lease_start_ms.max(Some(sent_ms));
    }

    /// It has synced this position; returns whether that is more than was known.
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

    /// Goes back to the last acknowledged batch when the time to retransmit has come.
    pub(crate) fn rewind_if_due(&mut self, now_ms: Millis) {
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

    /// The primary itself has stalled for `gap_ms`: the member is not blamed for that time.
    pub(crate) fn on_process_stalled(&mut self, now_ms: Millis, gap_ms: Millis) {
        self.heard_ms = (self.heard_ms + gap_ms).min(now_ms);
        self.stalled_until_ms = now_ms;
    }
}
