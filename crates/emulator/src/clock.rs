//! Clocks of the emulated machines. True time is the emulator's own, in milliseconds from its start.

use streamusher_protocol::{Millis, Now};

/// Time of day at true time 0.
pub const UNIX_START: Millis = 1_700_000_000_000;

/// The clocks of one machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct MachineClock {
    /// The steady clock at true time 0: other machines' differ.
    pub steady_offset: Millis,
    /// How far the time of day is off.
    pub unix_error: i64,
}

impl MachineClock {
    /// Both clocks at a true time.
    pub fn read(&self, now: Millis) -> Now {
        Now {
            steady_ms: now + self.steady_offset,
            unix_ms: (UNIX_START + now).saturating_add_signed(self.unix_error),
        }
    }
}

/// A worker's steady clock, which may run slow.
#[derive(Clone, Copy, Debug)]
pub struct WorkerClock {
    /// Parts of a thousand by which it runs slow; 20 at most.
    pub slow_per_mille: u64,
}

impl WorkerClock {
    /// What it shows at a true time.
    pub fn read(&self, now: Millis) -> Millis {
        now * (1000 - self.slow_per_mille) / 1000
    }

    /// How much true time passes while it counts `span`.
    pub fn true_span(&self, span: Millis) -> Millis {
        span * 1000 / (1000 - self.slow_per_mille)
    }
}
