//! Clocks of the emulated machines. True time is the emulator's own, in milliseconds from its start.

use streamusher_protocol::{Millis, Now};

/// Time of day at true time 0, in milliseconds of the Unix epoch.
pub(crate) const UNIX_START_MS: Millis = 1_700_000_000_000;
const PER_MILLE: u64 = 1_000;

/// The clocks of one machine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MachineClock {
    /// What the steady clock reads at true time 0; it differs between machines.
    pub(crate) steady_offset_ms: Millis,
    /// How far the time of day is off.
    pub(crate) unix_error_ms: i64,
}

impl MachineClock {
    /// Both clocks at a true time.
    pub(crate) fn read(&self, now: Millis) -> Now {
        Now {
            steady_ms: now + self.steady_offset_ms,
            unix_ms: (UNIX_START_MS + now).saturating_add_signed(self.unix_error_ms),
        }
    }
}

/// A worker's steady clock, which may run slow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerClock {
    /// Parts of a thousand by which it runs slow; 20 at most.
    pub(crate) slow_per_mille: u64,
}

impl WorkerClock {
    /// What it shows at a true time.
    pub(crate) fn read(self, now: Millis) -> Millis {
        now * (PER_MILLE - self.slow_per_mille) / PER_MILLE
    }

    /// How much true time passes while it counts `span`.
    pub(crate) fn true_span(self, span: Millis) -> Millis {
        span * PER_MILLE / (PER_MILLE - self.slow_per_mille)
    }
}
