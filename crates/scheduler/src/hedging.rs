//! Second copies of hedged tasks whose run is in doubt.
//!
//! A hedged task may run twice at once, and whichever run is done first counts. A second copy takes only room that is free, so it
//! costs others nothing; it is asked for as soon as the first run looks as if it would end late: its worker or agent is
//! silent, it has not begun, it stands still, or its worker is slow.

use crate::runs::{Phase, Run};
use crate::scheduler::Scheduler;
use crate::watch::HEARD_MS;
use streamusher_placement::Mechanism;
use streamusher_protocol::task::RunId;
use streamusher_protocol::Millis;

/// An order usually begins within 0.1 s, and within 0.6 s where much is ordered at once.
const DOUBTFUL_START_MS: Millis = 800;
/// A run whose progress does not rise for so long, at three reports a second, does not just run slowly.
const DOUBTFUL_STILL_MS: Millis = 900;
/// Progress is told in percent: a slow run may take this many hundredths of its estimate for one.
const SLOW_PERCENTS: Millis = 12;
/// Percent from which progress tells how long the rest takes.
const TELLING_PERCENT: f64 = 8.0;
/// Workers differ by a quarter in speed, and estimates are rough: only from this factor on a worker counts as slow.
const SLOW_FACTOR: f64 = 2.0;
/// What a second copy takes beyond its run: to be ordered, and to begin.
const START_OF_COPY_MS: f64 = 200.0;

impl Scheduler {
    /// Asks for second copies of the hedged runs that are in doubt; once for each.
    pub(crate) fn hedge_doubtful(&mut self, now: Millis) {
        if !self.settings.policy.is_enabled(Mechanism::Hedging) {
            return;
        }
        let may_be = |run: &Run| run.hedged && !run.stopping;
        let hedged = self
            .runs
            .all()
            .filter(|(_, run)| may_be(run) && self.is_doubtful(now, run));
        let doubtful: Vec<RunId> = hedged.map(|(id, _)| id.clone()).collect();
        for id in doubtful {
            if let Some(run) = self.runs.get_mut(&id) {
                run.hedged = false;
            }
            if self.jobs.hedge(&id) {
                log::debug!(
                    "run {} of {} is in doubt: another copy may start",
                    id.run,
                    id.task
                );
            }
        }
    }

    fn is_doubtful(&self, now: Millis, run: &Run) -> bool {
        let is_gone = self
            .workers
            .get(&run.worker)
            .is_none_or(|worker| worker.gone);
        // A new primary hears all agents before it doubts any of them.
        let is_known_for = now.saturating_sub(run.since);
        if is_gone || self.silence_of(now, &run.worker) > HEARD_MS {
            return is_known_for > HEARD_MS;
        }
        match run.phase {
            Phase::Ordered => is_known_for > DOUBTFUL_START_MS,
            Phase::Running => stands_still(now, run) || self.is_slow(now, run),
        }
    }

    /// Whether a usual worker would be done sooner, though it begins now.
    fn is_slow(&self, now: Millis, run: &Run) -> bool {
        if run.percent < TELLING_PERCENT {
            return false;
        }
        let slowness = self.placement.worker_slowness(now, &run.worker);
        let ran = now.saturating_sub(run.since) as f64;
        let whole = ran * 100.0 / run.percent;
        slowness >= SLOW_FACTOR && whole - ran > whole / slowness + START_OF_COPY_MS
    }
}

fn stands_still(now: Millis, run: &Run) -> bool {
    let patience = DOUBTFUL_STILL_MS.max(run.estimated_ms * SLOW_PERCENTS / 100);
    now.saturating_sub(run.moved_at) > patience
}
