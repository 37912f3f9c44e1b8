//! Peer that sends heartbeats and updates to a member because the member has sent it a request.

use super::message::RelayPeer;
use super::timing::{HEARTBEAT_TIMEOUT_MS, TEMPORARY_PARENT_RENEWAL_INTERVAL_MS};
use streamusher_protocol::Millis;

/// A temporary parent, with the times of its last heartbeat and of the last request to it.
#[derive(Clone, Debug)]
pub(super) struct TemporaryParent {
    peer: RelayPeer,
    heartbeat_at: Millis,
    renewed_at: Millis,
}

impl TemporaryParent {
    /// Creates a temporary parent whose first heartbeat, in answer to a request, arrived at `now`.
    pub(super) fn new(now: Millis, peer: &RelayPeer) -> TemporaryParent {
        TemporaryParent {
            peer: peer.clone(),
            heartbeat_at: now,
            renewed_at: now,
        }
    }

    pub(super) fn peer(&self) -> &RelayPeer {
        &self.peer
    }

    /// Records a heartbeat from this peer.
    pub(super) fn on_heartbeat(&mut self, now: Millis) {
        self.heartbeat_at = now;
    }

    /// Records that the request to this peer was renewed.
    pub(super) fn on_renewed(&mut self, now: Millis) {
        self.renewed_at = now;
    }

    /// Returns whether the heartbeats from this peer have timed out.
    pub(super) fn is_silent(&self, now: Millis) -> bool {
        now >= self.heartbeat_at + HEARTBEAT_TIMEOUT_MS
    }

    /// Returns when the request to this peer has to be renewed.
    pub(super) fn renewal_due_at(&self) -> Millis {
        self.renewed_at + TEMPORARY_PARENT_RENEWAL_INTERVAL_MS
    }
}
