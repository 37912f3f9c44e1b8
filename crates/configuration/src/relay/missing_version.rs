//! Requests for a version that a member has learned of and does not have.

use super::message::RelayPeer;
use super::timing::{DELIVERY_GRACE_MS, VERSION_RETRY_INTERVAL_MS};
use streamusher_protocol::Millis;

/// How a version that was announced reaches the member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// It should be on its way.
    Pushed,
    /// It comes on request only.
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

/// A version that was announced and has not come yet.
#[derive(Clone, Debug)]
pub(super) struct MissingVersion {
    version: u64,
    /// A peer that has it and sends it on request, where one is known.
    source: Option<RelayPeer>,
    /// Requests so far.
    request_count: usize,
    due_at: Millis,
}

impl MissingVersion {
    /// A version that was announced now.
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

    /// The version.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// When [`MissingVersion::take_due`] has to be called next.
    pub(super) fn due_at(&self) -> Millis {
        self.due_at
    }

    /// Takes note that `source` has this version too. Before the first request, it may go to one that waits for a request.
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

    /// The peer to which a request has to be sent now: first the source, then the ancestors in turn.
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
