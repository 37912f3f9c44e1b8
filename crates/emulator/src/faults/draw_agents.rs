//! Series of faults of agents that follow each other closely: restarts, isolations that begin before the
//! worker has called the restarted agent, and failovers in between.

use super::draw::{draw_schedule, ScheduleDraw};
use super::kinds::{ControlOutage, ControlTarget, DataPlaneFault, WorkerFault};
use super::schedule::{FaultSchedule, ScheduleScope};
use crate::random::{Random, Stream};
use std::ops::RangeInclusive;
use streamusher_protocol::Millis;

/// Maximum number of series in a schedule.
const MAX_SERIES: usize = 4;
/// Assumed duration of a series.
const SERIES_LENGTH_MS: Millis = 6_000;
const DOWN_MS: RangeInclusive<Millis> = 50..=2_000;
/// Time from the restart of an agent to its isolation. Covers the time for which a worker whose heartbeat was
/// refused may wait before it sends the next one.
const ISOLATION_DELAY_MS: RangeInclusive<Millis> = 0..=1_500;
const ISOLATION_MS: RangeInclusive<Millis> = 3_000..=9_000;
/// Largest time from the start of a series to a fault that overlaps with it.
const MAX_OVERLAP_DELAY_MS: Millis = 4_000;

/// Draws the faults of a seed, and further series of faults of agents that overlap with failovers and with
/// crashes of workers.
pub fn draw_schedule_with_agent_faults(seed: u64, scope: ScheduleScope) -> FaultSchedule {
    let random = Random::new(seed, Stream::AgentFaults);
    let mut draw = ScheduleDraw::new(random, scope, draw_schedule(seed, scope));
    draw.add_series_of_agent_faults();
    draw.finish()
}

impl ScheduleDraw {
    /// Adds one to four series.
    fn add_series_of_agent_faults(&mut self) {
        for _ in 0..=self.random.below(MAX_SERIES) {
            let due = self.draw_time(SERIES_LENGTH_MS);
            let worker = self.draw_worker();
            self.add_restart_and_isolation(due, worker);
            if self.random.chance(0.4) {
                let other = self.draw_worker();
                self.add_restart_and_isolation(due, other);
            }
            if self.random.chance(0.3) {
                self.add_failover(due);
            }
            if self.random.chance(0.2) {
                self.add_worker_crash(due, worker);
            }
        }
    }

    /// Adds one or two restarts of an agent in quick succession, and its isolation after the last one.
    fn add_restart_and_isolation(&mut self, due: Millis, worker: usize) {
        let mut restarted_at = due;
        for _ in 0..=self.random.below(2) {
            let down_ms = self.draw_between(DOWN_MS);
            self.add(
                restarted_at,
                DataPlaneFault::KillAgent { worker, down_ms }.into(),
            );
            restarted_at += down_ms;
        }
        let delay_ms = self.draw_between(ISOLATION_DELAY_MS);
        let isolation = DataPlaneFault::IsolateAgent {
            worker,
            one_way: self.random.chance(0.2),
            for_ms: self.draw_between(ISOLATION_MS),
        };
        self.add(restarted_at + delay_ms, isolation.into());
    }

    fn add_failover(&mut self, due: Millis) {
        let delay_ms = self.random.between(0, MAX_OVERLAP_DELAY_MS);
        let down_ms = self.draw_between(DOWN_MS);
        let outage = ControlOutage::Kill {
            target: ControlTarget::Primary,
            down_ms,
        };
        self.add(due + delay_ms, outage.into());
    }

    fn add_worker_crash(&mut self, due: Millis, worker: usize) {
        let delay_ms = self.random.between(0, MAX_OVERLAP_DELAY_MS);
        let back_ms = Some(self.draw_between(DOWN_MS));
        self.add(
            due + delay_ms,
            WorkerFault::Crash { worker, back_ms }.into(),
        );
    }

    fn draw_between(&mut self, range: RangeInclusive<Millis>) -> Millis {
        self.random.between(*range.start(), *range.end())
    }
}
