//! The peer that sends heartbeats and updates to a member because the member has sent it a request.

use super::message::RelayPeer;
use super::timing::{HEARTBEAT_TIMEOUT_MS, TEMPORARY_PARENT_RENEWAL_INTERVAL_MS};
use streamusher_protocol::Millis;

/// A temporary parent.
#[derive(Clone, Debug)]
pub(super) struct TemporaryParent {
    peer: RelayPeer,
    heartbeat_at: Millis,
    renewed_at: Millis,
}

impl TemporaryParent {
    /// One whose first heartbeat has come now, in answer to a request.
    pub(super) fn new(now: Millis, peer: &RelayPeer) -> TemporaryParent {
        TemporaryParent {
            peer: peer.clone(),
            heartbeat_at: now,
            renewed_at: now,
        }
    }

    /// The peer.
    pub(super) fn peer(&self) -> &RelayPeer {
        &self.peer
    }

    /// Takes note of a heartbeat of this peer.
    pub(super) fn on_heartbeat(&mut self, now: Millis) {
        self.heartbeat_at = now;
    }

    /// Takes note that the request was renewed.
    pub(super) fn on_renewed(&mut self, now: Millis) {
        self.renewed_at = now;
    }

    /// Whether its heartbeats have stopped.
    pub(super) fn is_silent(&self, now: Millis) -> bool {
        now >= self.heartbeat_at + HEARTBEAT_TIMEOUT_MS
    }

    /// When the request has to be renewed.
    pub(super) fn renewal_due_at(&self) -> Millis {
        self.renewed_at + TEMPORARY_PARENT_RENEWAL_INTERVAL_MS
    }
}
