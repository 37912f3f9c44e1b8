//! What the driver wants done by its embedder.

use super::recovery::Recovery;
use crate::requests::ControlOutcome;
use std::sync::Arc;
use streamusher_coordination::{DiskChange, Message};
use streamusher_scheduler::RequestId;

/// An effect that the embedder has to carry out, in the given order.
#[derive(Debug)]
pub enum Action {
    /// Send a message to a control machine; it may be lost.
    Send {
        /// Internal `ip:port` of the receiver.
        to: Arc<str>,
        /// The message.
        message: Message,
    },
    /// Write a change to disk and sync it, and report [`Input::Persisted`] or [`Input::PersistFailed`].
    ///
    /// [`Input::Persisted`]: streamusher_coordination::Input::Persisted
    /// [`Input::PersistFailed`]: streamusher_coordination::Input::PersistFailed
    Persist {
        /// Identifies the change in the report.
        ticket: u64,
        /// The change.
        change: DiskChange,
    },
    /// Recover the state machine concurrently to everything else, and hand it to
    /// [`Driver::on_recovered`](super::Driver::on_recovered).
    Recover(Recovery),
    /// Respond to a request.
    Respond {
        /// The request's number.
        request: RequestId,
        /// Its outcome.
        outcome: ControlOutcome,
    },
}
