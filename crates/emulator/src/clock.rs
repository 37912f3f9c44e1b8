//! Clocks of the emulated machines. True time is the emulator's virtual time, in milliseconds since its
//! start.

use streamusher_protocol::{Millis, Now};

/// Unix time in milliseconds at true time 0.
pub(crate) const UNIX_START_MS: Millis = 1_700_000_000_000;
const PER_MILLE: u64 = 1_000;

/// Clocks of one machine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MachineClock {
    /// Reading of the monotonic clock at true time 0; it differs between machines.
    pub(crate) steady_offset_ms: Millis,
    /// Error of the wall clock, in milliseconds.
    pub(crate) unix_error_ms: i64,
}

impl MachineClock {
    /// Reads both clocks at a true time.
    pub(crate) fn read(&self, now: Millis) -> Now {
        Now {
            steady_ms: now + self.steady_offset_ms,
            unix_ms: (UNIX_START_MS + now).saturating_add_signed(self.unix_error_ms),
        }
    }
}

/// Monotonic clock of a worker, which may run slow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerClock {
    /// Rate by which the clock runs slow, in parts per thousand; at most 20.
    pub(crate) slow_per_mille: u64,
}

impl WorkerClock {
    /// Reads the clock at a true time.
    pub(crate) fn read(self, now: Millis) -> Millis {
        now * (PER_MILLE - self.slow_per_mille) / PER_MILLE
    }

    /// True time that passes while the clock advances by `span`.
    pub(crate) fn true_span(self, span: Millis) -> Millis {
        span * PER_MILLE / (PER_MILLE - self.slow_per_mille)
    }
}
