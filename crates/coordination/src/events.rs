//! What the state machine is told, and what it wants done.

use crate::message::Message;
use crate::types::DiskChange;
use std::sync::Arc;

/// What the state machine is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message has come.
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
    /// The process is to end: hand over.
    Leave,
    /// Time has passed; wanted about every 20 ms.
    Tick,
}

/// What the state machine wants done.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message; it may be lost.
    Send {
        /// Internal `ip:port` of the receiver.
        to: Arc<str>,
        /// The message.
        message: Message,
    },
    /// Carry out a change of the disk. There is never more than one that has not been answered with
    /// [`Input::Persisted`] or [`Input::PersistFailed`].
    Persist {
        /// Names the change in the answer.
        ticket: u64,
        /// The change.
        change: DiskChange,
    },
    /// All appends up to this sequence are on all replicas.
    Committed {
        /// As returned by `append`.
        sequence: u64,
    },
    /// This process is the primary from this epoch on; the state to recover from is `state()`. Nothing may be
    /// released before `may_act`.
    Elected {
        /// The epoch.
        epoch: u64,
    },
    /// This process is no longer the primary. Replies that wait for a commit must be dropped: their appends may be
    /// lost, and later sequences go on above them.
    Deposed,
}
