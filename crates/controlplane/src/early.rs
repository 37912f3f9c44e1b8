//! Calls that reach a machine after its election and before it may act. Nothing of them was done yet.

use crate::calls::ControlRequest;
use std::collections::VecDeque;
use streamusher_protocol::Millis;
use streamusher_scheduler::RequestId;

/// How long a call waits for a machine that was elected to act: one round of commits, with room for a slow disk. Whoever is
/// refused asks others, which takes longer.
const WAIT_MS: Millis = 400;

/// Calls that wait; a newly elected primary is called by every agent and gate.
const MOST_CALLS: usize = 4_096;

/// A call that waits.
#[derive(Debug)]
pub(crate) struct EarlyCall {
    /// Its number.
    pub request: RequestId,
    /// What it asks for.
    pub call: ControlRequest,
    until: Millis,
}

impl EarlyCall {
    /// Whether it has waited for as long as it may.
    pub fn is_over(&self, now: Millis) -> bool {
        now >= self.until
    }
}

/// The calls that wait, in their order.
#[derive(Debug, Default)]
pub(crate) struct EarlyCalls {
    calls: VecDeque<EarlyCall>,
}

impl EarlyCalls {
    /// Whether one more may wait.
    pub fn has_room(&self) -> bool {
        self.calls.len() < MOST_CALLS
    }

    /// Lets a call wait.
    pub fn push(&mut self, now: Millis, request: RequestId, call: ControlRequest) {
        self.calls.push_back(EarlyCall {
            request,
            call,
            until: now.saturating_add(WAIT_MS),
        });
    }

    /// The caller has left.
    pub fn abandon(&mut self, request: RequestId) {
        self.calls.retain(|early| early.request != request);
    }

    /// The first of all where the machine acts now or never will; else the first whose time is over.
    pub fn pop(&mut self, now: Millis, is_opening: bool) -> Option<EarlyCall> {
        self.calls
            .pop_front_if(|early| !is_opening || early.is_over(now))
    }
}
