//! HTTP requests of the worker that wait for the state machine's answer.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use streamusher_protocol::heartbeat::HeartbeatResponse;
use tokio::sync::oneshot;

/// The state machine's answer to a request of the worker.
#[derive(Debug)]
pub(super) enum Completion {
    /// To a heartbeat.
    Heartbeat(HeartbeatResponse),
    /// To a deregistration.
    Deregistered,
}

/// The requests without an answer, by their numbers.
#[derive(Default)]
pub(super) struct PendingRequests {
    senders: RefCell<BTreeMap<u64, oneshot::Sender<Completion>>>,
    last_id: Cell<u64>,
}

impl PendingRequests {
    /// Numbers a request; the receiver gets its completion.
    pub(super) fn begin(&self) -> (u64, oneshot::Receiver<Completion>) {
        let request_id = self.last_id.get() + 1;
        self.last_id.set(request_id);
        let (sender, receiver) = oneshot::channel();
        self.senders.borrow_mut().insert(request_id, sender);
        (request_id, receiver)
    }

    /// Hands the answer to the request's task.
    pub(super) fn complete(&self, request_id: u64, completion: Completion) {
        if let Some(sender) = self.senders.borrow_mut().remove(&request_id) {
            // A worker that has closed the connection sends another heartbeat by itself.
            let _ = sender.send(completion);
        }
    }
}
