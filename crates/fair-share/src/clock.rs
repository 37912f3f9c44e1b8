//! The agreed time: the primary's steady time, carried on by each new primary.

use streamusher_protocol::Millis;

/// Milliseconds since the first primary's start, without the time in which there was none. It never goes back and knows
/// no time of day, so stepped clocks do not matter. Nothing later than the newest committed version was ever told to
/// anyone, so a new primary goes on from there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AgreedClock {
    base: Millis,
    started_at: Millis,
    latest: Millis,
}

impl AgreedClock {
    /// Goes on from `base` at the steady time `now` of this process.
    pub(crate) fn continue_from(base: Millis, now: Millis) -> AgreedClock {
        AgreedClock {
            base,
            started_at: now,
            latest: base,
        }
    }

    /// The agreed time at a steady time; an earlier one than told before gives the latest again.
    pub(crate) fn at(&mut self, now: Millis) -> Millis {
        self.latest = self.latest.max(self.read(now));
        self.latest
    }

    /// The agreed time, without taking note of it.
    pub(crate) fn read(&self, now: Millis) -> Millis {
        let passed = now.saturating_sub(self.started_at);
        self.base.saturating_add(passed).max(self.latest)
    }
}
