//! The closing sequence of a connection, for both sides. No more data is read for processing and all pending
//! output has been written; the write side is shut down, incoming data is read and discarded for a bounded
//! time, and only then the descriptor is closed. A state machine without I/O: the caller supplies the time
//! and the number of bytes read.
//!
//! Closing a socket with unread bytes resets the connection, and the last data written may be lost. Therefore
//! the write side is shut down first, and the remaining input is read. `Conn::close` consumes the connection,
//! so that nothing read after the shutdown can be processed.

use crate::interface::Micros;

/// How long input is discarded after the shutdown if an answer was just written.
const LINGER_US: Micros = 1_000_000;
/// How long input is discarded after the shutdown if the peer has nothing left to read: the connection was
/// idle, or its attempt is cancelled.
const IDLE_LINGER_US: Micros = 250_000;
/// Maximum number of bytes read and discarded.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// State of a closing connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closing {
    /// The write side is to be shut down now.
    ShutdownPending {
        /// How long input is then discarded, in microseconds.
        linger_us: Micros,
    },
    /// The write side is shut down; input is discarded up to a time and a number of bytes.
    Draining {
        /// Time at which the descriptor is closed.
        until: Micros,
        /// Number of bytes that may still be discarded.
        left: usize,
    },
    /// The descriptor is to be closed.
    Closed,
}

impl Closing {
    /// Graceful close: leaves the peer time to read the last data written and to close its side.
    pub fn graceful() -> Closing {
        Closing::ShutdownPending {
            linger_us: LINGER_US,
        }
    }

    /// Close of an idle connection, or of one whose attempt is cancelled: the peer has nothing left to read.
    pub fn idle() -> Closing {
        Closing::ShutdownPending {
            linger_us: IDLE_LINGER_US,
        }
    }

    /// Close to free a socket: only input that has already arrived is read.
    pub fn immediate() -> Closing {
        Closing::ShutdownPending { linger_us: 0 }
    }

    /// Records that the write side was shut down.
    pub fn shutdown_sent(self, now: Micros) -> Closing {
        match self {
            Closing::ShutdownPending { linger_us } => Closing::Draining {
                until: now.saturating_add(linger_us),
                left: MAX_DISCARDED_BYTES,
            },
            other => other,
        }
    }

    /// Records the number of bytes read; 0 means that the peer has closed its side.
    pub fn received(self, bytes: usize) -> Closing {
        match self {
            Closing::Draining { until, left } if bytes > 0 && bytes < left => Closing::Draining {
                until,
                left: left - bytes,
            },
            Closing::ShutdownPending { .. } => {
                unreachable!("no input is read before the write side is shut down")
            }
            _ => Closing::Closed,
        }
    }

    /// Records that no input is available; closes if the time has passed.
    pub fn no_data(self, now: Micros) -> Closing {
        match self {
            Closing::Draining { until, .. } if now >= until => Closing::Closed,
            other => other,
        }
    }
}
