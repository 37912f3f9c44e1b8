//! What happens by time alone: due times, leases that end, tasks that stand still, workers that leave.

use crate::event::RequestId;
use crate::runs::{Phase, Run};
use crate::scheduler::Scheduler;
use streamusher_protocol::task::RunId;
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::{Millis, Now};

/// Between two looks at runs and workers.
const WATCH_EVERY_MS: Millis = 100;
/// Added to a lease's end: rounding on both sides.
const LEASE_MARGIN_MS: Millis = 60;
/// An agent calls several times a second; without a call for so long its worker is given no more work.
const SILENT_AGENT_MS: Millis = 1_800;
/// A run whose progress does not rise for so long stands still, where its estimate does not allow more.
const STANDS_STILL_MS: Millis = 2_500;
/// Progress is told in percent: a run may take this many hundredths of its estimate for one, being slow.
const SLOW_PERCENTS: Millis = 12;
/// An order that has not begun after so long is withdrawn: agents hand orders on within a second.
const LATE_START_MS: Millis = 2_000;
/// Kept between the expected end of a run and its worker's leaving.
const LEAVING_MARGIN_MS: Millis = 300;

impl Scheduler {
    /// Time has passed.
    pub(crate) fn watch(&mut self, now: Now) {
        self.jobs.advance(now);
        if now.steady < self.next_watch {
            return;
        }
        self.next_watch = now.steady + WATCH_EVERY_MS;
        self.watch_workers(now);
        self.watch_runs(now);
        self.watch_debts(now.steady);
    }

    /// The caller of an agent's call has left.
    pub(crate) fn abandoned(&mut self, request: RequestId) {
        for agent in self.agents.values_mut() {
            if agent.parked.as_ref().is_some_and(|parked| parked.request == request) {
                agent.parked = None;
            }
        }
    }

    fn watch_workers(&mut self, now: Now) {
        let over = |until: Millis| now.steady > until + LEASE_MARGIN_MS;
        let ended = self.workers.iter().filter(|(_, w)| over(w.lease_until));
        let ended: Vec<WorkerId> = ended.map(|(id, _)| id.clone()).collect();
        for id in ended {
            self.lease_ended(now, &id);
        }
        let silent: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, w)| w.open && self.is_agent_silent(now.steady, w.agent.as_deref()))
            .map(|(id, _)| id.clone())
            .collect();
        for id in silent {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.agent_silent = true;
            }
            self.tell_placement(now.steady, &id);
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
        let still: Vec<RunId> = self
            .runs
            .all()
            .filter(|(_, run)| stands_still(now.steady, run, self.settings.bounds.gang_ms))
            .filter(|(_, run)| self.workers.get(&run.worker).is_some_and(|w| !w.silent && !w.agent_silent))
            .map(|(id, _)| id.clone())
            .collect();
        for id in still {
            self.move_from_standstill(&id);
        }
        self.withdraw_from_silent(now);
        self.hedge_doubtful(now.steady);
        let leaving: Vec<RunId> = self
            .runs
            .all()
            .filter(|(_, run)| !run.stopping && self.ends_too_late(now.steady, run))
            .map(|(id, _)| id.clone())
            .collect();
        for id in leaving {
            log::info!("run {} of {} is moved: its worker leaves before it can end", id.run, id.task);
            self.stop_run(&id);
        }
    }

    /// What has not begun at a silent worker runs elsewhere as soon as its agent confirms that it never will there. While
    /// the agent itself is not heard nothing is known: what was ordered may well be at work.
    fn withdraw_from_silent(&mut self, now: Now) {
        let is_late = |run: &Run| now.steady > run.since + LATE_START_MS;
        let is_due = |run: &Run| {
            let worker = self.workers.get(&run.worker).filter(|worker| !worker.agent_silent);
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
            log::debug!("run {} of {} has not begun and is withdrawn", id.run, id.task);
            self.stop_run(&id);
        }
    }

    fn move_from_standstill(&mut self, id: &RunId) {
        log::warn!("run {} of {} stands still and is moved", id.run, id.task);
        if let Some(run) = self.runs.get_mut(id) {
            run.stood_still = true;
        }
        self.jobs.stalled(id);
        self.stop_run(id);
    }

    fn ends_too_late(&self, now: Millis, run: &Run) -> bool {
        let leaves_at = self.workers.get(&run.worker).and_then(|worker| worker.leaves_at);
        leaves_at.is_some_and(|at| run.long_running || now + run.expected_rest(now) + LEAVING_MARGIN_MS > at)
    }
}

fn stands_still(now: Millis, run: &Run, gang_ms: Millis) -> bool {
    if run.phase != Phase::Running || run.stopping || run.long_running {
        return false;
    }
    let together = if run.gang { gang_ms } else { 0 };
    let patience = STANDS_STILL_MS.max(run.estimated_ms * SLOW_PERCENTS / 100) + together;
    now.saturating_sub(run.moved_at) > patience
}
