//! Inputs and outputs of the state machine.

use crate::message::Message;
use crate::storage::DiskChange;
use std::sync::Arc;

/// An input that the caller passes to [`Coordinator::handle`](crate::Coordinator::handle).
#[derive(Clone, Debug)]
pub enum Input {
    /// A message was received.
    Received {
        /// Internal `ip:port` of the sender.
        from: Arc<str>,
        /// The received message.
        message: Message,
    },
    /// The change with this ticket is synced.
    Persisted {
        /// Ticket of the change, as in [`Output::Persist`].
        ticket: u64,
    },
    /// The change with this ticket failed. The coordinator retries it.
    PersistFailed {
        /// Ticket of the change, as in [`Output::Persist`].
        ticket: u64,
    },
    /// The process is about to exit: the member transfers its leadership and is replaced as a replica.
    Leave,
    /// Time has passed. The caller sends this input about every 20 ms.
    Tick,
}

/// An action that the caller has to carry out; actions are carried out in order.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message. Messages may be lost.
    Send {
        /// Internal `ip:port` of the receiver.
        to: Arc<str>,
        /// The message to send.
        message: Message,
    },
    /// Write a change to the disk and sync it. At most one change is in flight: the next one follows only
    /// after [`Input::Persisted`] or [`Input::PersistFailed`].
    Persist {
        /// Identifies the change in [`Input::Persisted`] and [`Input::PersistFailed`].
        ticket: u64,
        /// The change to write and sync as a whole.
        change: DiskChange,
    },
    /// All required replicas have synced all appends up to this sequence.
    Committed {
        /// Sequence as returned by [`Coordinator::append`](crate::Coordinator::append).
        sequence: u64,
    },
    /// This process is the primary from this epoch on. It recovers from the state that
    /// [`Coordinator::state`](crate::Coordinator::state) returns. Nothing may be released before
    /// [`Coordinator::may_act`](crate::Coordinator::may_act) holds.
    Elected {
        /// Epoch of the record that elected this member; it is the number of its term.
        epoch: u64,
    },
    /// This process is no longer the primary. Responses that wait for a commit must be dropped, as their
    /// appends may be lost; the sequences of later appends continue above theirs.
    Deposed,
}
