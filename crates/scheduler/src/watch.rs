//! What happens by time alone: due times, leases that end, tasks that stand still, workers that leave.

use crate::event::RequestId;
use crate::runs::{Phase, Run};
use crate::scheduler::Scheduler;
use streamusher_placement::Mechanism;
use streamusher_protocol::task::RunId;
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::{Millis, Now};

/// Between two looks at runs and workers.
const WATCH_EVERY_MS: Millis = 100;
/// Added to a lease's end: rounding on both sides.
const LEASE_MARGIN_MS: Millis = 60;
/// An agent calls several times a second; without a call for so long its worker is given no more work.
const SILENT_AGENT_MS: Millis = 1_800;
/// A run whose progress does not rise for so long stands still, where its estimate does not allow more: it is reported three
/// times a second.
const STANDS_STILL_MS: Millis = 1_500;
/// Agents report at least three times a second: after this silence nothing is known of a worker's runs.
pub(crate) const HEARD_MS: Millis = 800;
/// A task that lasts is at work from here on, and tells no more progress. Rounding may leave it a little below 100.
const AT_WORK_PERCENT: f64 = 95.0;
/// Progress is told in percent: a run may take this many hundredths of its estimate for one, being slow.
const SLOW_PERCENTS: Millis = 12;
/// An order that has not begun after so long is withdrawn: agents hand orders on within a second.
const LATE_START_MS: Millis = 2_000;
/// Kept between the expected end of a run and its worker's leaving.
const LEAVING_MARGIN_MS: Millis = 300;

impl Scheduler {
    /// Time has passed.
    pub(crate) fn watch(&mut self, now: Now) {
        self.jobs.tick(now);
        if now.steady_ms < self.next_watch {
            return;
        }
        self.next_watch = now.steady_ms + WATCH_EVERY_MS;
        self.watch_workers(now);
        self.watch_runs(now);
        self.watch_judgements(now.steady_ms);
        self.watch_debts(now.steady_ms);
    }

    /// The caller of an agent's call has left.
    pub(crate) fn abandoned(&mut self, request: RequestId) {
        for agent in self.agents.values_mut() {
            if agent
                .parked
                .as_ref()
                .is_some_and(|parked| parked.request == request)
            {
                agent.parked = None;
            }
        }
    }

    fn watch_workers(&mut self, now: Now) {
        let over = |until: Millis| now.steady_ms > until + LEASE_MARGIN_MS;
        let ended = self.workers.iter().filter(|(_, w)| over(w.lease_until));
        let ended: Vec<WorkerId> = ended.map(|(id, _)| id.clone()).collect();
        for id in ended {
            self.lease_ended(now, &id);
        }
        let silent: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, w)| w.open && self.is_agent_silent(now.steady_ms, w.agent.as_deref()))
            .map(|(id, _)| id.clone())
            .collect();
        for id in silent {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.agent_silent = true;
            }
            self.tell_placement(now.steady_ms, &id);
        }
    }

    fn is_agent_silent(&self, now: Millis, agent: Option<&str>) -> bool {
        let agent = agent.and_then(|name| self.agents.get(name));
        agent.is_none_or(|agent| now.saturating_sub(agent.heard_at) > SILENT_AGENT_MS)
    }

    /// Nothing can run any more at a worker whose agent has not called for a whole lease.
    fn lease_ended(&mut self, now: Now, id: &WorkerId) {
        if self.runs.at(id).next().is_some() {
            log::warn!("worker {id}: its lease is over, its runs are given away");
        }
        self.drop_worker(now, id);
    }

    fn watch_runs(&mut self, now: Now) {
        self.pause_progress_of_unheard(now.steady_ms);
        let still: Vec<RunId> = self
            .runs
            .all()
            .filter(|(_, run)| self.stands_still(now.steady_ms, run))
            .map(|(id, _)| id.clone())
            .collect();
        for id in still {
            self.move_from_standstill(now.steady_ms, &id);
        }
        self.withdraw_from_silent(now);
        self.hedge_doubtful(now.steady_ms);
        let leaving: Vec<RunId> = self
            .runs
            .all()
            .filter(|(_, run)| !run.stopping && self.ends_too_late(now.steady_ms, run))
            .map(|(id, _)| id.clone())
            .collect();
        for id in leaving {
            log::info!(
                "run {} of {} is moved: its worker leaves before it can end",
                id.run,
                id.task
            );
            self.stop_run(&id);
        }
    }

    /// What has not begun at a silent worker runs elsewhere as soon as its agent confirms that it never will there. While
    /// the agent itself is not heard nothing is known: what was ordered may well be at work.
    fn withdraw_from_silent(&mut self, now: Now) {
        let is_late = |run: &Run| now.steady_ms > run.since + LATE_START_MS;
        let is_due = |run: &Run| {
            let worker = self
                .workers
                .get(&run.worker)
                .filter(|worker| !worker.agent_silent);
            worker.is_some_and(|worker| worker.silent || worker.gone || is_late(run))
        };
        let unbegun: Vec<RunId> = self
            .runs
            .all()
            .filter(|(_, run)| run.phase == Phase::Ordered && !run.stopping)
            .filter(|(_, run)| is_due(run))
            .map(|(id, _)| id.clone())
            .collect();
        for id in unbegun {
            log::debug!(
                "run {} of {} has not begun and is withdrawn",
                id.run,
                id.task
            );
            self.stop_run(&id);
        }
    }

    fn move_from_standstill(&mut self, now: Millis, id: &RunId) {
        log::warn!("run {} of {} stands still and is moved", id.run, id.task);
        if let Some(run) = self.runs.get(id) {
            self.placement.on_run_stalled(now, &run.worker);
        }
        self.jobs.on_run_stalled(id);
        self.stop_run(id);
    }

    /// Whether a run makes no progress although its worker is heard.
    fn stands_still(&self, now: Millis, run: &Run) -> bool {
        if !self.settings.policy.is_enabled(Mechanism::StallDetection) {
            return false;
        }
        if run.phase != Phase::Running
            || run.stopping
            || self.silence_of(now, &run.worker) > HEARD_MS
        {
            return false;
        }
        if run.long_running && run.percent >= AT_WORK_PERCENT {
            return false;
        }
        let bounds = &self.settings.limits;
        let together = if run.gang { bounds.gang_ms } else { 0 };
        let restored = if run.checkpoint.is_empty() {
            0
        } else {
            bounds.restore_ms
        };
        let patience =
            STANDS_STILL_MS.max(run.estimated_ms * SLOW_PERCENTS / 100) + together + restored;
        now.saturating_sub(run.moved_at) > patience
    }

    /// While a worker is not heard nothing is known of its runs: that time does not count as one without progress.
    fn pause_progress_of_unheard(&mut self, now: Millis) {
        let unheard = self
            .workers
            .keys()
            .filter(|id| self.silence_of(now, id) > HEARD_MS);
        let runs: Vec<RunId> = unheard.flat_map(|id| self.runs.ids_at(id)).collect();
        for id in runs {
            if let Some(run) = self.runs.get_mut(&id) {
                run.moved_at = now;
            }
        }
    }

    /// How long ago the newest known heartbeat of a worker was; the longest time where nothing is known of it.
    pub(crate) fn silence_of(&self, now: Millis, worker: &WorkerId) -> Millis {
        let Some(worker) = self.workers.get(worker) else {
            return Millis::MAX;
        };
        let agent = worker.agent.as_ref().and_then(|name| self.agents.get(name));
        let since_report = agent.map_or(Millis::MAX, |agent| now.saturating_sub(agent.heard_at));
        since_report.saturating_add(worker.silent_ms)
    }

    fn ends_too_late(&self, now: Millis, run: &Run) -> bool {
        if !self.settings.policy.is_enabled(Mechanism::Migration) {
            return false;
        }
        let leaves_at = self
            .workers
            .get(&run.worker)
            .and_then(|worker| worker.leaves_at);
        leaves_at.is_some_and(|at| {
            run.long_running || now + run.expected_rest(now) + LEAVING_MARGIN_MS > at
        })
    }
}
