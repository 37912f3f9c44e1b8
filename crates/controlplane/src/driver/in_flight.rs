//! Requests passed to the scheduler whose outcome is not released yet, and the responses that wait for their
//! commit.

use crate::requests::{is_rejection, ControlRequest};
use std::collections::{BTreeMap, VecDeque};
use streamusher_scheduler::{RequestId, SchedulerResponse};

/// What a request may have done to the replicated state. Determines the outcome that its caller receives when
/// this machine steps down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestEffect {
    /// The request only reads, or is an agent's sync: its caller does not need to know the outcome of a
    /// write.
    ReadOnly,
    /// The requested change may take effect, possibly under the next primary.
    Mutating,
    /// The change was rejected and does not take effect; the rejection depends on no write of this request.
    Rejected,
}

#[derive(Debug)]
struct InFlightRequest {
    effect: RequestEffect,
    agent_epoch: Option<u64>,
}

/// A response of the scheduler that may be released once batch `sequence` is committed.
#[derive(Debug)]
pub(super) struct UncommittedResponse {
    pub(super) request: RequestId,
    pub(super) response: SchedulerResponse,
    /// Sequence of the newest batch at the time of the response.
    pub(super) sequence: u64,
    /// Whether the event that produced the response was this request itself, and it wrote something.
    pub(super) has_own_writes: bool,
}

/// A response whose batch is committed.
#[derive(Debug)]
pub(super) struct CommittedResponse {
    pub(super) request: RequestId,
    pub(super) response: SchedulerResponse,
    /// The epoch that the requesting agent knows; `None` for other callers.
    pub(super) agent_epoch: Option<u64>,
}

/// A request that was in flight when this machine stepped down.
#[derive(Debug)]
pub(super) struct InterruptedRequest {
    pub(super) request: RequestId,
    pub(super) effect: RequestEffect,
}

/// All requests in flight.
///
/// Responses are released in the order in which the scheduler produced them: `sequence` never decreases from
/// one response to the next.
#[derive(Debug, Default)]
pub(super) struct InFlightRequests {
    requests: BTreeMap<RequestId, InFlightRequest>,
    responses: VecDeque<UncommittedResponse>,
}

impl InFlightRequests {
    /// Adds a request that is about to be passed to the scheduler.
    pub(super) fn insert(&mut self, id: RequestId, request: &ControlRequest) {
        let effect = if request.is_mutating() {
            RequestEffect::Mutating
        } else {
            RequestEffect::ReadOnly
        };
        let in_flight = InFlightRequest {
            effect,
            agent_epoch: request.agent_epoch(),
        };
        self.requests.insert(id, in_flight);
    }

    /// Removes a request whose caller has disconnected. Returns whether the request was in flight.
    pub(super) fn remove(&mut self, id: RequestId) -> bool {
        self.requests.remove(&id).is_some()
    }

    /// Number of requests in flight.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Adds a response. A response to a request that is not in flight is dropped.
    pub(super) fn add_response(&mut self, uncommitted: UncommittedResponse) {
        let Some(in_flight) = self.requests.get_mut(&uncommitted.request) else {
            return;
        };
        if in_flight.effect != RequestEffect::ReadOnly {
            let is_without_effect =
                !uncommitted.has_own_writes && is_rejection(&uncommitted.response);
            in_flight.effect = if is_without_effect {
                RequestEffect::Rejected
            } else {
                RequestEffect::Mutating
            };
        }
        self.responses.push_back(uncommitted);
    }

    /// Whether a response waits for its commit.
    pub(super) fn has_responses(&self) -> bool {
        !self.responses.is_empty()
    }

    /// Removes and returns the next response whose batch is committed, and removes its request.
    pub(super) fn pop_committed(&mut self, committed: u64) -> Option<CommittedResponse> {
        loop {
            let uncommitted = self
                .responses
                .pop_front_if(|uncommitted| uncommitted.sequence <= committed)?;
            // A caller that has disconnected receives no response.
            if let Some(in_flight) = self.requests.remove(&uncommitted.request) {
                return Some(CommittedResponse {
                    request: uncommitted.request,
                    response: uncommitted.response,
                    agent_epoch: in_flight.agent_epoch,
                });
            }
        }
    }

    /// Removes and returns all requests, and drops the pending responses.
    pub(super) fn interrupt_all(&mut self) -> Vec<InterruptedRequest> {
        self.responses.clear();
        std::mem::take(&mut self.requests)
            .into_iter()
            .map(|(request, in_flight)| InterruptedRequest {
                request,
                effect: in_flight.effect,
            })
            .collect()
    }
}
