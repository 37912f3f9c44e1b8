//! Inputs and outputs of the state machine.

use crate::message::Message;
use crate::storage::DiskChange;
use std::sync::Arc;

/// What the caller passes to [`Coordinator::handle`](crate::Coordinator::handle).
#[derive(Clone, Debug)]
pub enum Input {
    /// A message was received.
    Received {
        /// Internal `ip:port` of the sender.
        from: Arc<str>,
        /// The message.
        message: Message,
    },
    /// The change with this ticket is synced.
    Persisted {
        /// As in [`Output::Persist`].
        ticket: u64,
    },
    /// The change with this ticket could not be made. It is tried again.
    PersistFailed {
        /// As in [`Output::Persist`].
        ticket: u64,
    },
    /// The process is about to end: transfer the leadership and be replaced as a replica.
    Leave,
    /// Time has passed; wanted about every 20 ms.
    Tick,
}

/// What the caller has to carry out, in order.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message; it may be lost.
    Send {
        /// Internal `ip:port` of the receiver.
        to: Arc<str>,
        /// The message.
        message: Message,
    },
    /// Make a change of the disk and sync it. There is never more than one that has not been answered with
    /// [`Input::Persisted`] or [`Input::PersistFailed`].
    Persist {
        /// Names the change in the answer.
        ticket: u64,
        /// The change.
        change: DiskChange,
    },
    /// All appends up to this sequence are synced by all replicas.
    Committed {
        /// As returned by [`Coordinator::append`](crate::Coordinator::append).
        sequence: u64,
    },
    /// This process is the primary from this epoch on; the state to recover from is
    /// [`Coordinator::state`](crate::Coordinator::state). Nothing may be released before
    /// [`Coordinator::may_act`](crate::Coordinator::may_act) holds.
    Elected {
        /// The epoch.
        epoch: u64,
    },
    /// This process is no longer the primary. Responses that wait for a commit must be dropped: their appends may be lost,
    /// and later sequences go on above them.
    Deposed,
}
