//! The actions that the driver requests from the code that embeds it.

use super::recovery::Recovery;
use crate::requests::ControlOutcome;
use std::sync::Arc;
use streamusher_coordination::{DiskChange, Message};
use streamusher_scheduler::RequestId;

/// An action that the embedding code performs; actions are performed in the given order.
#[derive(Debug)]
pub enum Action {
    /// Send a message to a control machine; delivery is not guaranteed.
    Send {
        /// Internal `ip:port` of the receiver.
        to: Arc<str>,
        /// The message of the coordination protocol.
        message: Message,
    },
    /// Write a change to disk and sync it, then report [`Input::Persisted`] or [`Input::PersistFailed`].
    ///
    /// [`Input::Persisted`]: streamusher_coordination::Input::Persisted
    /// [`Input::PersistFailed`]: streamusher_coordination::Input::PersistFailed
    Persist {
        /// Identifies the change in the report.
        ticket: u64,
        /// The change to write.
        change: DiskChange,
    },
    /// Recover the state machine concurrently with all other work, and pass the result to
    /// [`Driver::on_recovered`](super::Driver::on_recovered).
    Recover(Recovery),
    /// Send the response to a request.
    Respond {
        /// The number that [`Driver::on_request`](super::Driver::on_request) returned for the request.
        request: RequestId,
        /// The outcome to send to the request's caller.
        outcome: ControlOutcome,
    },
}
