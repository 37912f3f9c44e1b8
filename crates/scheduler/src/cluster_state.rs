//! State of the cluster as the primary knows it, and the transitions that keep its parts consistent.
//!
//! A run has an entry in the job table, holds capacity in placement, has an entry in the run table, accrues
//! usage in fair share and appears in its agent's commands. The transitions in this module change all of
//! these together. The calling modules decide which transition an event requires.

use crate::agents::{AgentSession, AgentTable};
use crate::event::{Effects, PendingResponse, RequestId, SchedulerResponse};
use crate::fair_share::{FairShare, ReorderedUnit};
use crate::objective_report::{latency_of_waits, log_if_missed};
use crate::penalty_store::PenaltyStore;
use crate::runs::{ActiveRun, RunProfile, RunTable};
use crate::settings::SchedulerSettings;
use crate::workers::WorkerTable;
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_jobs::{JobTable, RunTimings, StartedRun};
use streamusher_placement::{Decision, Placement, ReleaseReason, WorkerInfo};
use streamusher_protocol::heartbeat::WorkerState;
use streamusher_protocol::store::Write;
use streamusher_protocol::task::{JobId, RunEnd, RunId};
use streamusher_protocol::unit::{TaskAssignment, Unit, UnitId, WorkerId};
use streamusher_protocol::{Millis, Now};

/// Prefix of the replicated keys that store the agent of a worker. The worker's identifier follows the
/// prefix.
pub(crate) const WORKER_KEY_PREFIX: &str = "worker/";

/// State of the cluster, as the primary keeps it in memory.
pub(crate) struct ClusterState {
    pub(crate) settings: SchedulerSettings,
    pub(crate) epoch: u64,
    pub(crate) jobs: JobTable,
    pub(crate) placement: Placement,
    pub(crate) runs: RunTable,
    pub(crate) workers: WorkerTable,
    pub(crate) agents: AgentTable,
    /// Units that are ready and have no worker. Kept here because placement drops a unit when it places it.
    pub(crate) pending_units: BTreeMap<UnitId, Unit>,
    /// `None` if fair share is disabled.
    pub(crate) fair_share: Option<FairShare>,
    pub(crate) penalties: PenaltyStore,
    effects: Effects,
}

impl ClusterState {
    /// Creates a state without runs, workers and agents.
    pub(crate) fn new(
        settings: SchedulerSettings,
        epoch: u64,
        jobs: JobTable,
        fair_share: Option<FairShare>,
        penalties: PenaltyStore,
    ) -> ClusterState {
        ClusterState {
            placement: Placement::new(settings.placement_settings()),
            agents: AgentTable::new(epoch, settings.limits.max_lease_ms),
            settings,
            epoch,
            jobs,
            runs: RunTable::default(),
            workers: WorkerTable::default(),
            pending_units: BTreeMap::new(),
            fair_share,
            penalties,
            effects: Effects::default(),
        }
    }

    /// Takes the effects that have accumulated since the last call.
    pub(crate) fn take_effects(&mut self) -> Effects {
        std::mem::take(&mut self.effects)
    }

    /// Queues a response, to be sent once all writes so far are committed.
    pub(crate) fn respond(&mut self, request: RequestId, response: SchedulerResponse) {
        self.effects
            .responses
            .push(PendingResponse { request, response });
    }

    /// Queues writes to the replicated state.
    pub(crate) fn write(&mut self, writes: impl IntoIterator<Item = Write>) {
        self.effects.writes.extend(writes);
    }

    /// Exchanges changes between the job table and placement until neither has any left.
    pub(crate) fn schedule(&mut self, now: Now) {
        loop {
            self.apply_job_changes(now);
            let decisions = self.placement.place(now.steady_ms);
            if decisions.is_empty() {
                break;
            }
            for decision in decisions {
                self.apply_decision(now, decision);
            }
        }
    }

    /// Applies the pending changes of the job table.
    pub(crate) fn apply_job_changes(&mut self, now: Now) {
        let changes = self.jobs.take_changes();
        self.write(changes.writes);
        for unit in changes.revoked_units {
            self.pending_units.remove(&unit);
            self.placement.withdraw(&unit);
        }
        for unit in changes.ready_units {
            self.enqueue_unit(now.steady_ms, unit);
        }
        for run in changes.runs_to_stop {
            self.stop_run(&run);
        }
        for completion in &changes.completions {
            log_if_missed(completion);
        }
    }

    fn enqueue_unit(&mut self, now: Millis, unit: Unit) {
        self.pending_units.insert(unit.id.clone(), unit.clone());
        let order = match &self.fair_share {
            Some(fair_share) => fair_share.order_key(&self.jobs, &unit),
            None => unit.order,
        };
        self.placement.enqueue(now, Unit { order, ..unit });
    }

    fn apply_decision(&mut self, now: Now, decision: Decision) {
        match decision {
            Decision::Start {
                unit,
                assignments,
                waits,
            } => {
                self.jobs.record_wait(now, &unit, &latency_of_waits(&waits));
                self.start_unit(now, &unit, &assignments);
            }
            Decision::Preempt { task, worker } => {
                if let Some(run) = self.runs.find_at_worker(&task, &worker) {
                    log::info!(
                        "task {task} at worker {worker} preempted by a unit of higher priority"
                    );
                    self.stop_run(&run);
                }
            }
        }
    }

    fn start_unit(&mut self, now: Now, id: &UnitId, assignments: &[TaskAssignment]) {
        let unit = self.pending_units.remove(id);
        let started = self.jobs.start_unit(now, id, assignments);
        let Some(unit) = unit.filter(|_| !started.is_empty()) else {
            return self.release_unstarted(now.steady_ms, id, assignments);
        };
        for started in started {
            self.start_run(now.steady_ms, &unit, started);
        }
    }

    fn start_run(&mut self, now: Millis, unit: &Unit, started: StartedRun) {
        self.record_agent(&started.worker);
        if let Some(fair_share) = &mut self.fair_share {
            fair_share.on_run_started(now, &self.jobs, &started.run, &unit.resources);
        }
        let profile = RunProfile {
            estimated_ms: unit.estimated_ms,
            long_running: unit.long_running,
            in_gang: unit.id.index.is_none(),
            may_hedge: unit.hedged,
        };
        let worker = started.worker.clone();
        let run = ActiveRun::starting(
            now,
            started.worker,
            started.spec,
            started.checkpoint,
            profile,
        );
        self.runs.insert(started.run, run);
        self.invalidate_commands(&worker);
    }

    /// Releases the capacity of a unit that was placed and must not start.
    fn release_unstarted(&mut self, now: Millis, id: &UnitId, assignments: &[TaskAssignment]) {
        log::error!(
            "bug: unit {id:?} was placed although it is not pending; releasing its allocation; please report this"
        );
        for TaskAssignment { task, worker } in assignments {
            self.placement
                .release(now, task, worker, ReleaseReason::Withdrawn);
        }
    }

    /// Replicates the agent of a worker that gets its first run. After a takeover, another worker reported by
    /// this agent then proves that the recorded worker is lost.
    fn record_agent(&mut self, worker: &WorkerId) {
        if self.runs.at_worker(worker).next().is_some() {
            return;
        }
        let Some(agent) = self.workers.agent_of(worker) else {
            return;
        };
        let value = serde_json::Value::from(&**agent).to_string();
        self.write([Write::set(format!("{WORKER_KEY_PREFIX}{worker}"), value)]);
    }

    /// Stops a run, or withdraws its start command. The run holds its capacity until it is proven to be over.
    pub(crate) fn stop_run(&mut self, id: &RunId) {
        let Some(run) = self.runs.get_mut(id).filter(|run| !run.is_stopping()) else {
            return;
        };
        let worker = run.worker.clone();
        let session = self
            .workers
            .agent_of(&worker)
            .and_then(|agent| self.agents.get(agent));
        run.stop_revision = Some(session.map_or(1, AgentSession::next_revision));
        self.placement.mark_stopping(&id.task, &worker);
        self.invalidate_commands(&worker);
    }

    /// Handles a worker's report that one of its runs has finished.
    pub(crate) fn finish_run(
        &mut self,
        now: Now,
        worker: &WorkerId,
        id: &RunId,
        outcome: RunEnd,
        checkpoint: &str,
    ) {
        let Some(run) = self.runs.get(id).filter(|run| run.worker == *worker) else {
            return;
        };
        let ran_ms = run.phase_duration_ms(now.steady_ms);
        if let Some(fair_share) = &mut self.fair_share {
            fair_share.on_run_finished(now.steady_ms, &self.jobs, id, outcome, checkpoint);
        }
        let slowness = self.placement.run_slowness(now.steady_ms, &id.task, worker);
        let timings = RunTimings { ran_ms, slowness };
        self.jobs.record_run_timings(id, timings);
        self.jobs.on_run_finished(now, id, outcome, checkpoint);
        let reason = ReleaseReason::Finished { outcome, ran_ms };
        self.release_run(now.steady_ms, id, reason);
    }

    /// Handles the agent's confirmation that a run that is to be stopped has not started and never will.
    pub(crate) fn withdraw_run(&mut self, now: Now, id: &RunId) {
        self.jobs.on_run_withdrawn(now, id);
        self.release_run(now.steady_ms, id, ReleaseReason::Withdrawn);
    }

    /// Handles the end of a run without a reported outcome.
    pub(crate) fn lose_run(&mut self, now: Now, id: &RunId) {
        self.jobs.on_run_lost(now, id);
        self.release_run(now.steady_ms, id, ReleaseReason::Lost);
    }

    /// Handles the end of all runs of a worker without a reported outcome.
    pub(crate) fn lose_runs(&mut self, now: Now, worker: &WorkerId) {
        for id in self.runs.ids_at_worker(worker) {
            self.lose_run(now, &id);
        }
    }

    /// Releases the capacity that a run held.
    fn release_run(&mut self, now: Millis, id: &RunId, reason: ReleaseReason) {
        let Some(run) = self.runs.remove(id) else {
            return;
        };
        if let Some(fair_share) = &mut self.fair_share {
            fair_share.on_run_released(now, id);
        }
        self.placement.release(now, &id.task, &run.worker, reason);
        self.invalidate_commands(&run.worker);
    }

    /// Removes a worker on which nothing runs any more and no issued start command can take effect.
    pub(crate) fn remove_worker(&mut self, now: Now, id: &WorkerId) {
        self.lose_runs(now, id);
        self.workers.remove(id);
        self.placement.remove_worker(now.steady_ms, id);
        let penalty = self.penalties.remove(id);
        self.write(penalty);
        self.write([Write::remove(format!("{WORKER_KEY_PREFIX}{id}"))]);
    }

    /// Marks the commands of the worker's agent as stale, so that they are recomputed.
    pub(crate) fn invalidate_commands(&mut self, worker: &WorkerId) {
        if let Some(agent) = self.workers.agent_of(worker) {
            self.agents.invalidate_commands(agent);
        }
    }

    /// Passes a worker's current description to placement.
    pub(crate) fn update_placement(&mut self, now: Millis, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let is_schedulable = worker.is_schedulable();
        if worker.schedulable && !is_schedulable && worker.state == WorkerState::Ready {
            log::info!(
                "worker {id} is unresponsive or terminated; unschedulable until it reports again"
            );
        }
        worker.schedulable = is_schedulable;
        let info = WorkerInfo {
            id: id.clone(),
            service: worker.service.clone(),
            zone: worker.zone.clone(),
            labels: worker.labels.clone(),
            capacity: worker.capacity,
            schedulable: worker.schedulable,
        };
        self.placement.update_worker(now, info);
    }

    /// Returns the user that is charged for a job; `None` if fair share is disabled or the job is unknown.
    pub(crate) fn user_of(&self, job: &JobId) -> Option<Arc<str>> {
        self.fair_share.as_ref()?.user_of(&self.jobs, job)
    }

    /// Publishes a new ranking if one is due, and reorders a bounded number of pending units by it.
    pub(crate) fn update_fair_share(&mut self, now: Millis) {
        let Some(fair_share) = &mut self.fair_share else {
            return;
        };
        let writes = fair_share.publish_ranking(now);
        let reordered = fair_share.next_reordered_units(&self.jobs, &self.pending_units);
        let min_shift_ms = fair_share.min_shift_ms();
        self.write(writes);
        for ReorderedUnit { unit, order } in reordered {
            let current = self.placement.order_of(&unit);
            if current.is_some_and(|current| current.abs_diff(order) > min_shift_ms) {
                self.placement.reorder(&unit, order);
            }
        }
    }
}
