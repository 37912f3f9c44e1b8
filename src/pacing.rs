//! When to call discovery again after a call that failed: pure, told nothing but the outcomes, and random from
//! a seed.
//!
//! Discovery is one service for the whole fleet and works through its calls in turn. Each dispatcher that asks
//! again at once after a failed call is harmless alone; when a hundred do, the calls that time out keep the
//! queue full and no call gets through. So the pause grows with each failure that heard nothing, up to a
//! ceiling that scales with the fleet, and is drawn at random below it (full jitter), so that the fleet's calls
//! spread out instead of coming back together. A call that heard a line resets it. The ceiling stays below half
//! the time after which an unasked change counts as told, so that a dispatcher always asks in time.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// The pause after a call that heard something, before it is spread.
const FIRST: Duration = Duration::from_millis(100);
/// Time of discovery's that one dispatcher's call is reckoned to take: the fleet's ceiling is so many of them.
const PER_DISPATCHER: Duration = Duration::from_millis(40);
/// The ceiling of a lone dispatcher, or a small fleet.
const LEAST_CEILING: Duration = Duration::from_millis(1_000);
/// The longest ceiling, however large the fleet or the time allowed.
const MOST_CEILING: Duration = Duration::from_millis(5_000);
/// Failures after which the pause stops doubling; far past any ceiling.
const MOST_DOUBLINGS: u32 = 16;

/// Pauses between calls of one dispatcher.
#[derive(Debug)]
pub struct Pacing {
    ceiling: Duration,
    failures: u32,
    rng: Pcg64Mcg,
}

impl Pacing {
    /// For one of `fleet` dispatchers, where a change counts as told after `told_after` without a call.
    pub fn new(fleet: u32, told_after: Duration, seed: u64) -> Pacing {
        let by_fleet = PER_DISPATCHER * fleet.max(1);
        let in_time = if told_after.is_zero() { MOST_CEILING } else { told_after / 2 };
        let ceiling = by_fleet.clamp(LEAST_CEILING, MOST_CEILING).min(in_time).max(FIRST);
        Pacing { ceiling, failures: 0, rng: Pcg64Mcg::seed_from_u64(seed ^ 0x9e37_79b9_7f4a_7c15) }
    }

    /// The wait before the very first call: a fleet started at once does not call at once.
    pub fn first(&mut self) -> Duration {
        let spread = (PER_DISPATCHER * 2).min(self.ceiling);
        spread.mul_f64(self.rng.random::<f64>())
    }

    /// The pause after a call that ended; `heard` whether it brought at least one line.
    pub fn after(&mut self, heard: bool) -> Duration {
        if heard {
            self.failures = 0;
            return FIRST.mul_f64(0.5 + self.rng.random::<f64>() / 2.0);
        }
        self.failures = (self.failures + 1).min(MOST_DOUBLINGS);
        // The first pause is a quarter of the ceiling: a fleet whose calls fail together must spread at once.
        let grown = (self.ceiling / 4).max(FIRST).saturating_mul(1 << (self.failures - 1)).min(self.ceiling);
        // Never quite at once, and never past the ceiling.
        grown.mul_f64(0.1 + 0.9 * self.rng.random::<f64>())
    }

    /// Discovery is elsewhere now: its first failure counts as the first.
    pub fn start_over(&mut self) {
        self.failures = 0;
    }

    /// The longest pause this dispatcher takes.
    pub fn ceiling(&self) -> Duration {
        self.ceiling
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    #[rstest]
    #[case(1, 10_000, 1_000)]
    #[case(100, 10_000, 4_000)]
    #[case(100, 6_000, 3_000)]
    #[case(300, 20_000, 5_000)]
    #[case(300, 0, 5_000)]
    fn the_ceiling_follows_the_fleet_and_stays_in_time(
        #[case] fleet: u32, #[case] told_ms: u64, #[case] want: u64,
    ) {
        let pacing = Pacing::new(fleet, Duration::from_millis(told_ms), 1);
        assert_eq!(pacing.ceiling(), Duration::from_millis(want));
    }

    #[test]
    fn failures_grow_the_pause_to_the_ceiling_and_a_line_resets_it() {
        let mut pacing = Pacing::new(100, Duration::from_secs(10), 7);
        let pauses: Vec<Duration> = (0..12).map(|_| pacing.after(false)).collect();
        assert!(pauses.iter().all(|p| *p <= pacing.ceiling()));
        assert!(pauses[0] <= pacing.ceiling() / 4);
        // Past the doublings the pauses are spread over the whole ceiling.
        let late = &pauses[6..];
        assert!(late.iter().any(|p| *p > pacing.ceiling() / 2), "{late:?}");
        assert!(pacing.after(true) <= FIRST);
        assert!(pacing.after(false) <= pacing.ceiling() / 4);
        for _ in 0..8 {
            pacing.after(false);
        }
        pacing.start_over();
        assert!(pacing.after(false) <= pacing.ceiling() / 4, "a new address starts anew");
    }

    /// A fleet of a hundred whose calls all fail: what they ask of discovery in one second, once their
    /// pauses are grown, stays far below the hundred calls a second of a fleet that asks again at once.
    #[test]
    fn a_failing_fleet_spreads_its_calls() {
        let mut fleet: Vec<Pacing> = (0..100).map(|i| Pacing::new(100, Duration::from_secs(10), i)).collect();
        let mut at: Vec<Duration> = fleet.iter_mut().map(Pacing::first).collect();
        assert!(at.iter().max() > at.iter().min(), "the first calls are spread");
        let mut calls = vec![0u32; 60];
        for _ in 0..200 {
            for (p, t) in fleet.iter_mut().zip(at.iter_mut()) {
                // Each failed call takes discovery's time-out, 1 s, then the pause.
                *t += Duration::from_secs(1) + p.after(false);
                if let Some(c) = calls.get_mut(t.as_secs() as usize) {
                    *c += 1;
                }
            }
        }
        let steady = &calls[20..50];
        let most = *steady.iter().max().unwrap();
        assert!(most < 50, "calls a second: {steady:?}");
    }
}
