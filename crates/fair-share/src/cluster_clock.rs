//! Cluster time: the primary's steady time, carried on by each new primary.

use streamusher_protocol::Millis;

/// A clock that counts milliseconds since the first primary's start, without the time in which there was no primary.
///
/// It never goes back and has no relation to the time of day, so stepped clocks do not matter. A new primary continues
/// from the newest committed ranking version: nothing later was ever published.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClusterClock {
    /// Cluster time at `started_at`.
    base: Millis,
    /// Steady time of this process at which it continued from `base`.
    started_at: Millis,
    /// The latest cluster time that was taken note of.
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

    /// The cluster time at a steady time. Later readings never give an earlier time.
    pub(crate) fn advance_to(&mut self, now: Millis) -> Millis {
        self.latest = self.latest.max(self.read(now));
        self.latest
    }

    /// The cluster time at a steady time, without taking note of it.
    pub(crate) fn read(&self, now: Millis) -> Millis {
        let passed = now.saturating_sub(self.started_at);
        self.base.saturating_add(passed).max(self.latest)
    }
}
