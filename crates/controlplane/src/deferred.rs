//! Requests that arrive between a machine's election and the time from which it may act as primary.
//!
//! Such requests are queued: nothing has been executed for them, and rejecting one would make its caller
//! search for the primary again, which takes longer than the wait.

use crate::requests::ControlRequest;
use std::collections::VecDeque;
use streamusher_protocol::Millis;
use streamusher_scheduler::RequestId;

/// Maximum wait of a request: one round of commits, with margin for a slow disk.
const MAX_WAIT_MS: Millis = 400;

/// Maximum queue length: every agent and gate contacts a newly elected primary.
const MAX_REQUESTS: usize = 4_096;

/// A queued request.
#[derive(Debug)]
pub(crate) struct DeferredRequest {
    /// The number under which the request's outcome is returned.
    pub(crate) id: RequestId,
    /// The request as it arrived.
    pub(crate) request: ControlRequest,
    deadline: Millis,
}

impl DeferredRequest {
    /// Whether the request has waited for [`MAX_WAIT_MS`].
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

    /// Queues a request, with a deadline [`MAX_WAIT_MS`] from now.
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

    /// Removes and returns the first request. While the machine is becoming primary, only an expired request
    /// is returned.
    pub(crate) fn pop(&mut self, now: Millis, becoming_primary: bool) -> Option<DeferredRequest> {
        self.queue
            .pop_front_if(|deferred| !becoming_primary || deferred.is_expired(now))
    }
}
