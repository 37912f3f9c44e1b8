//! Cluster time: the primary's steady time, continued by each new primary.

use streamusher_protocol::Millis;

/// A clock that counts milliseconds since the first primary's start, excluding the time without a primary.
///
/// It never goes back and is independent of the time of day, so adjustments of the system clock do not affect
/// it. A new primary continues from the newest committed ranking version, because no later time has been
/// published.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClusterClock {
    /// Cluster time at `started_at`.
    base: Millis,
    /// Steady time of this process at which the clock continued from `base`.
    started_at: Millis,
    /// Latest cluster time returned by [`ClusterClock::advance_to`], initially `base`.
    latest: Millis,
}

impl ClusterClock {
    /// Continues from the cluster time `base` at the steady time `now` of this process.
    pub(crate) fn continue_from(base: Millis, now: Millis) -> ClusterClock {
        ClusterClock {
            base,
            started_at: now,
            latest: base,
        }
    }

    /// Returns the cluster time at a steady time, and records it. Later readings never return an earlier
    /// time.
    pub(crate) fn advance_to(&mut self, now: Millis) -> Millis {
        self.latest = self.latest.max(self.read(now));
        self.latest
    }

    /// Returns the cluster time at a steady time without recording it.
    pub(crate) fn read(&self, now: Millis) -> Millis {
        let elapsed = now.saturating_sub(self.started_at);
        self.base.saturating_add(elapsed).max(self.latest)
    }
}
