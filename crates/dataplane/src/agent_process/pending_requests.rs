//! HTTP requests of the worker that wait for an answer from the state machine.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use streamusher_protocol::heartbeat::HeartbeatResponse;
use tokio::sync::oneshot;

/// The state machine's answer to a request of the worker.
#[derive(Debug)]
pub(super) enum Completion {
    /// Response to a heartbeat.
    Heartbeat(HeartbeatResponse),
    /// Acknowledgement of a deregistration.
    Deregistered,
}

/// The requests without an answer, by request id.
#[derive(Default)]
pub(super) struct PendingRequests {
    senders: RefCell<BTreeMap<u64, oneshot::Sender<Completion>>>,
    last_id: Cell<u64>,
}

impl PendingRequests {
    /// Assigns an id to a request; the receiver gets the request's completion.
    pub(super) fn begin(&self) -> (u64, oneshot::Receiver<Completion>) {
        let request_id = self.last_id.get() + 1;
        self.last_id.set(request_id);
        let (sender, receiver) = oneshot::channel();
        self.senders.borrow_mut().insert(request_id, sender);
        (request_id, receiver)
    }

    /// Passes the answer to the task that serves the request.
    pub(super) fn complete(&self, request_id: u64, completion: Completion) {
        if let Some(sender) = self.senders.borrow_mut().remove(&request_id) {
            // Sending fails if the worker has closed the connection; the worker then sends another heartbeat
            // by itself.
            let _ = sender.send(completion);
        }
    }
}
