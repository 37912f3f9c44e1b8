//! Requests that reach a machine between its election and the moment from which it may act as primary.
//!
//! They are queued: nothing of them has been done, and a caller that was rejected would have to look for the primary
//! again, which takes longer than the wait.

use crate::requests::ControlRequest;
use std::collections::VecDeque;
use streamusher_protocol::Millis;
use streamusher_scheduler::RequestId;

/// How long a request waits at most: one round of commits, with margin for a slow disk.
const MAX_WAIT_MS: Millis = 400;

/// Length of the queue; every agent and gate turns to a newly elected primary.
const MAX_REQUESTS: usize = 4_096;

/// A queued request.
#[derive(Debug)]
pub(crate) struct DeferredRequest {
    /// Its number.
    pub(crate) id: RequestId,
    /// The request.
    pub(crate) request: ControlRequest,
    deadline: Millis,
}

impl DeferredRequest {
    /// Whether it has waited for as long as it may.
    pub(crate) fn is_expired(&self, now: Millis) -> bool {
        now >= self.deadline
    }
}

/// The queue, in order of arrival.
#[derive(Debug, Default)]
pub(crate) struct DeferredRequests {
    queue: VecDeque<DeferredRequest>,
}

impl DeferredRequests {
    /// Whether another request can be queued.
    pub(crate) fn has_capacity(&self) -> bool {
        self.queue.len() < MAX_REQUESTS
    }

    /// Queues a request.
    pub(crate) fn push(&mut self, now: Millis, id: RequestId, request: ControlRequest) {
        self.queue.push_back(DeferredRequest {
            id,
            request,
            deadline: now.saturating_add(MAX_WAIT_MS),
        });
    }

    /// Removes a request whose caller has disconnected.
    pub(crate) fn remove(&mut self, id: RequestId) {
        self.queue.retain(|deferred| deferred.id != id);
    }

    /// The first request. While the machine is still becoming primary, only one that has expired.
    pub(crate) fn pop(&mut self, now: Millis, becoming_primary: bool) -> Option<DeferredRequest> {
        self.queue
            .pop_front_if(|deferred| !becoming_primary || deferred.is_expired(now))
    }
}
