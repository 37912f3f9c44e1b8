//! Join requests of machines that are not members.

use crate::limits::MAX_JOIN_REQUESTS;
use crate::record::{DiskId, Member};
use crate::timing::JOIN_REQUEST_TIMEOUT_MS;
use std::collections::BTreeMap;
use streamusher_protocol::Millis;

/// A machine that asks to join, and when its last request arrived.
#[derive(Clone, Debug)]
struct JoinRequest {
    candidate: Member,
    received_ms: Millis,
}

/// The join requests that the primary has received and that have not expired.
#[derive(Clone, Debug, Default)]
pub(crate) struct JoinRequests {
    by_disk: BTreeMap<DiskId, JoinRequest>,
}

impl JoinRequests {
    /// Records a request. At the limit of [`MAX_JOIN_REQUESTS`], only requests of machines that are already
    /// recorded are renewed.
    pub(crate) fn record(&mut self, candidate: Member, now_ms: Millis) {
        let has_capacity = self.by_disk.len() < MAX_JOIN_REQUESTS;
        if has_capacity || self.by_disk.contains_key(&candidate.id) {
            let request = JoinRequest {
                candidate,
                received_ms: now_ms,
            };
            self.by_disk.insert(request.candidate.id, request);
        }
    }

    /// Removes requests that were not repeated within [`JOIN_REQUEST_TIMEOUT_MS`].
    pub(crate) fn expire(&mut self, now_ms: Millis) {
        self.by_disk
            .retain(|_, request| now_ms < request.received_ms + JOIN_REQUEST_TIMEOUT_MS);
    }

    /// The machines that ask to join, ordered by disk id.
    pub(crate) fn candidates(&self) -> impl Iterator<Item = &Member> {
        self.by_disk.values().map(|request| &request.candidate)
    }
}
