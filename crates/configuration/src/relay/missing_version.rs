//! Requests for a version that was announced to a member and that the member lacks.

use super::message::RelayPeer;
use super::timing::{DELIVERY_GRACE_MS, VERSION_RETRY_INTERVAL_MS};
use streamusher_protocol::Millis;

/// How an announced version reaches the member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// The version is sent without a request and should arrive soon.
    Pushed,
    /// The version is sent on request only.
    OnRequest,
}

impl Delivery {
    fn first_request_at(self, now: Millis) -> Millis {
        match self {
            Delivery::Pushed => now + DELIVERY_GRACE_MS,
            Delivery::OnRequest => now,
        }
    }
}

/// An announced version that has not arrived yet.
#[derive(Clone, Debug)]
pub(super) struct MissingVersion {
    version: u64,
    /// Peer that has the version and sends it on request, if one is known.
    source: Option<RelayPeer>,
    /// Number of requests sent so far.
    request_count: usize,
    due_at: Millis,
}

impl MissingVersion {
    /// Records a version that was announced at `now`.
    pub(super) fn new(
        now: Millis,
        version: u64,
        source: Option<&RelayPeer>,
        delivery: Delivery,
    ) -> MissingVersion {
        MissingVersion {
            version,
            source: source.cloned(),
            request_count: 0,
            due_at: delivery.first_request_at(now),
        }
    }

    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Returns when [`MissingVersion::take_due`] has to be called next.
    pub(super) fn due_at(&self) -> Millis {
        self.due_at
    }

    /// Handles another announcement of this version. If no request was sent yet and the announcing peer sends
    /// the version on request only, a request to that peer is due at once.
    pub(super) fn on_announced_again(
        &mut self,
        now: Millis,
        source: Option<&RelayPeer>,
        delivery: Delivery,
    ) {
        if delivery == Delivery::OnRequest && self.request_count == 0 {
            *self = MissingVersion::new(now, self.version, source, delivery);
        }
    }

    /// Returns the peer to which a request has to be sent now: first the source, then the ancestors in turn.
    pub(super) fn take_due(&mut self, now: Millis, ancestors: &[RelayPeer]) -> Option<RelayPeer> {
        if now < self.due_at {
            return None;
        }
        let candidates: Vec<&RelayPeer> = self.source.iter().chain(ancestors).collect();
        let peer = candidates[self.request_count % candidates.len()].clone();
        self.request_count += 1;
        self.due_at = now + VERSION_RETRY_INTERVAL_MS;
        Some(peer)
    }
}
