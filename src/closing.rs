//! The close of a connection, for both sides: nothing more is read for work, what is owed has been written, the end is
//! told, what still comes is read and thrown away for a bounded time, and only then the descriptor is given up. Pure:
//! told the time and what was read.
//!
//! A close over unread bytes resets the connection, and what was last written to it may be lost with it. So the end is
//! told first, and the rest read. `Conn::close` takes the connection whole: nothing that is read after the shutdown can
//! reach anything that would send it on.

use crate::interface::Micros;

/// How long a connection is read after its end is told, where an answer was just written to it.
const LINGER_US: Micros = 1_000_000;
/// The same where the other side has nothing to read: the connection rested, or gives an attempt up.
const IDLE_LINGER_US: Micros = 250_000;
/// The most that is read of what nobody wants.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// Where a close stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closing {
    /// The end is to be told now.
    ShutdownPending {
        /// How long is then read on.
        linger_us: Micros,
    },
    /// It is told; what comes until then, and up to so many bytes, is thrown away.
    Draining {
        /// Until then.
        until: Micros,
        /// So many bytes more.
        left: usize,
    },
    /// The descriptor is to be given up.
    Closed,
}

impl Closing {
    /// In order: the other side has time to read what was written last, and to end too.
    pub fn graceful() -> Closing {
        Closing::ShutdownPending {
            linger_us: LINGER_US,
        }
    }

    /// Of a connection that rests, or gives an attempt up: there is nothing that the other side has yet to read.
    pub fn idle() -> Closing {
        Closing::ShutdownPending {
            linger_us: IDLE_LINGER_US,
        }
    }

    /// To make room: only what has come by now is read.
    pub fn immediate() -> Closing {
        Closing::ShutdownPending { linger_us: 0 }
    }

    /// The end is told.
    pub fn shutdown_sent(self, now: Micros) -> Closing {
        match self {
            Closing::ShutdownPending { linger_us } => Closing::Draining {
                until: now.saturating_add(linger_us),
                left: MAX_DISCARDED_BYTES,
            },
            other => other,
        }
    }

    /// So much was read: nothing means that the other side has ended.
    pub fn received(self, bytes: usize) -> Closing {
        match self {
            Closing::Draining { until, left } if bytes > 0 && bytes < left => Closing::Draining {
                until,
                left: left - bytes,
            },
            Closing::ShutdownPending { .. } => {
                unreachable!("nothing is read before the end is told")
            }
            _ => Closing::Closed,
        }
    }

    /// Nothing is there to be read; the time may be over.
    pub fn no_data(self, now: Micros) -> Closing {
        match self {
            Closing::Draining { until, .. } if now >= until => Closing::Closed,
            other => other,
        }
    }
}
