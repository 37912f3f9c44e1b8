//! The scheduler itself: takes events, joins the parts, gives out effects.

use crate::accounts::{log_missed, stages_of};
use crate::event::{Effects, Event, RequestId, SchedulerResponse};
use crate::judgements::Judgements;
use crate::runs::{Phase, Run, Runs};
use crate::share_debt::ShareDebt;
use crate::workers::{Agent, Worker};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use streamusher_configuration::ConfigurationStore;
use streamusher_fair_share::UsageCharge;
use streamusher_jobs::JobTable;
use streamusher_placement::{Decision, Placement, Policy, ReleaseReason, WorkerInfo};
use streamusher_protocol::heartbeat::WorkerState;
use streamusher_protocol::store::Write;
use streamusher_protocol::task::{RunId, TaskId};
use streamusher_protocol::unit::{Unit, UnitId, WorkerId};
use streamusher_protocol::{Millis, Now};

/// Bounds of the deployment, from the settings file.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerLimits {
    /// The longest hold of a run without contact.
    pub hold_max_ms: Millis,
    /// How long a stop takes at most.
    pub stop_ms: Millis,
    /// How long a gang's member waits for the others.
    pub gang_ms: Millis,
    /// How long an ended job's state is kept.
    pub status_ms: Millis,
    /// How much too early a timed start may come.
    pub early_ms: Millis,
    /// Factor on a task's time away from its data.
    pub far_x: f64,
    /// Work between two checkpoints.
    pub save_ms: Millis,
    /// Time to continue from a checkpoint.
    pub restore_ms: Millis,
    /// How long a worker that drains may still be given work.
    pub drain_ms: Millis,
    /// Between two heartbeats of an idle worker.
    pub heartbeat_ms: Millis,
}

impl Default for SchedulerLimits {
    /// Those of a small deployment in one region.
    fn default() -> SchedulerLimits {
        SchedulerLimits {
            hold_max_ms: 6_000,
            stop_ms: 900,
            gang_ms: 3_000,
            status_ms: 120_000,
            early_ms: 250,
            far_x: 1.5,
            save_ms: 2_000,
            restore_ms: 600,
            drain_ms: 2_000,
            heartbeat_ms: 1_500,
        }
    }
}

/// What a scheduler is told at its start.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// Bounds of the deployment.
    pub limits: SchedulerLimits,
    /// For random choices.
    pub random_seed: u64,
    /// Debts by recent use order work within a priority; none: by time alone.
    pub share_debt: Option<streamusher_fair_share::FairShareSettings>,
    /// The mechanisms that take part in decisions.
    pub policy: Policy,
}

/// The primary's state machine.
pub struct Scheduler {
    pub(crate) settings: SchedulerSettings,
    pub(crate) epoch: u64,
    pub(crate) jobs: JobTable,
    pub(crate) placement: Placement,
    pub(crate) configuration: ConfigurationStore,
    pub(crate) runs: Runs,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    pub(crate) agents: BTreeMap<Arc<str>, Agent>,
    /// Workers whose successor on the same machine was seen, newest last.
    pub(crate) dead: Vec<WorkerId>,
    /// Units that wait for placement, as placement forgets them at the claim.
    pub(crate) waiting: BTreeMap<UnitId, Unit>,
    /// Agents that called, or whose orders must be made anew, since the last answers.
    pub(crate) agents_to_look_at: BTreeSet<Arc<str>>,
    /// When the time of waiting calls is over; calls that were answered meanwhile may still stand here.
    pub(crate) calls_by_end: BTreeSet<(Millis, Arc<str>)>,
    /// None where it is switched off.
    pub(crate) share_debt: Option<ShareDebt>,
    pub(crate) judgements: Judgements,
    pub(crate) next_watch: Millis,
    pub(crate) effects: Effects,
}

impl Scheduler {
    /// Takes one event.
    pub fn handle(&mut self, now: Now, event: Event) -> Effects {
        match event {
            Event::Client { request, call } => self.client(now, request, call),
            Event::Agent { request, sync } => self.agent(now, request, sync),
            Event::Operator { request, order } => self.operator(request, order),
            Event::Abandoned { request } => self.abandoned(request),
            Event::Tick => self.watch(now),
        }
        self.settle(now);
        self.answer_agents(now);
        std::mem::take(&mut self.effects)
    }

    /// The configuration and its history.
    pub fn configuration(&self) -> &ConfigurationStore {
        &self.configuration
    }

    /// State for operators.
    pub fn status(&self, now: Millis) -> serde_json::Value {
        let workers: Vec<_> = self
            .workers
            .iter()
            .map(|(id, worker)| {
                serde_json::json!({
                    "id": id, "agent": worker.agent, "service": worker.service, "zone": worker.zone,
                    "open": worker.open, "gone": worker.gone, "silent": worker.silent || worker.agent_silent,
                    "runs": self.runs.at(id).count(),
                    "state": worker.state, "lease_left_ms": worker.lease_until.saturating_sub(now),
                })
            })
            .collect();
        serde_json::json!({
            "epoch": self.epoch,
            "configuration": self.configuration.current().map(|c| c.version),
            "runs": self.runs.len(),
            "waiting": self.waiting.len(),
            "queues": self.waiting_by_queue(),
            "workers": workers,
            "share_debt": self.share_debt.as_ref().map(|debt| debt.status(now)),
        })
    }

    /// Pending jobs of each queue that has any.
    fn waiting_by_queue(&self) -> BTreeMap<Arc<str>, u64> {
        let routes = self
            .configuration
            .current()
            .map(|current| current.routes.as_slice());
        let waiting = routes
            .unwrap_or_default()
            .iter()
            .map(|route| (&route.name, self.jobs.pending_count(&route.name)));
        waiting
            .filter(|(_, jobs)| *jobs > 0)
            .map(|(name, jobs)| (name.clone(), jobs))
            .collect()
    }

    pub(crate) fn reply(&mut self, request: RequestId, reply: SchedulerResponse) {
        self.effects.replies.push((request, reply));
    }

    pub(crate) fn write(&mut self, writes: impl IntoIterator<Item = Write>) {
        self.effects.writes.extend(writes);
    }

    /// Moves changes between job record and placement until nothing changes any more.
    pub(crate) fn settle(&mut self, now: Now) {
        loop {
            self.take_job_changes(now);
            let decisions = self.placement.place(now.steady_ms);
            if decisions.is_empty() {
                break;
            }
            for decision in decisions {
                self.carry_out(now, decision);
            }
        }
    }

    pub(crate) fn take_job_changes(&mut self, now: Now) {
        let changes = self.jobs.take_changes();
        self.write(changes.writes);
        for unit in changes.revoked_units {
            self.waiting.remove(&unit);
            self.placement.withdraw(&unit);
        }
        for unit in changes.ready_units {
            self.waiting.insert(unit.id.clone(), unit.clone());
            let order = self.order_by_debt(&unit);
            self.placement
                .enqueue(now.steady_ms, Unit { order, ..unit });
        }
        for run in changes.runs_to_stop {
            self.stop_run(&run);
        }
        changes.completions.iter().for_each(log_missed);
    }

    fn carry_out(&mut self, now: Now, decision: Decision) {
        match decision {
            Decision::Start {
                unit,
                assignments,
                waits,
            } => {
                self.jobs.record_wait(now, &unit, &stages_of(&waits));
                let on: Vec<(TaskId, WorkerId)> = assignments
                    .into_iter()
                    .map(|assignment| (assignment.task, assignment.worker))
                    .collect();
                self.begin(now, &unit, &on);
            }
            Decision::Preempt { task, worker } => {
                if let Some(run) = self.runs.of_task(&task, &worker) {
                    log::info!(
                        "task {task} is preempted at worker {worker}: one of higher priority needs its room"
                    );
                    self.stop_run(&run);
                }
            }
        }
    }

    fn begin(&mut self, now: Now, id: &UnitId, on: &[(TaskId, WorkerId)]) {
        let unit = self.waiting.remove(id);
        let started = self.jobs.start_unit(now, id, on);
        let Some(unit) = unit.filter(|_| !started.is_empty()) else {
            return self.give_back(now.steady_ms, id, on);
        };
        for started in started {
            self.remember_agent_of(&started.worker);
            let run = Run {
                worker: started.worker.clone(),
                phase: Phase::Ordered,
                spec: started.spec,
                checkpoint: started.checkpoint,
                withdrawn: None,
                stopping: false,
                estimated_ms: unit.estimated_ms,
                long_running: unit.long_running,
                gang: unit.id.index.is_none(),
                hedged: unit.hedged,
                since: now.steady_ms,
                percent: 0.0,
                moved_at: now.steady_ms,
                missing: 0,
            };
            self.debt_begins(now.steady_ms, &started.run, &unit.resources);
            self.runs.insert(started.run, run);
            self.touch(&started.worker);
        }
    }

    /// Room was taken for a unit that is not to be started: it is free again.
    fn give_back(&mut self, now: Millis, id: &UnitId, on: &[(TaskId, WorkerId)]) {
        log::error!(
            "{id:?} was placed though it does not wait; its room is given back: report this"
        );
        for (task, worker) in on {
            self.placement
                .release(now, task, worker, ReleaseReason::Withdrawn);
        }
    }

    /// Has a run stopped, or withdrawn where it has not begun yet. Its room stays taken until its end is proven.
    pub(crate) fn stop_run(&mut self, id: &RunId) {
        let Some(run) = self.runs.get_mut(id) else {
            return;
        };
        if run.stopping {
            return;
        }
        run.stopping = true;
        let worker = run.worker.clone();
        let agent = self.workers.get(&worker).and_then(|w| w.agent.clone());
        let revision = agent
            .and_then(|a| self.agents.get(&a))
            .map_or(0, |a| a.revision);
        run.withdrawn = Some(revision + 1);
        self.placement.mark_stopping(&id.task, &worker);
        self.touch(&worker);
    }

    /// A run is over: its room is free.
    pub(crate) fn free(&mut self, now: Millis, id: &RunId, how: ReleaseReason) {
        if let Some(run) = self.runs.remove(id) {
            self.debt_ends(now, id, UsageCharge::ThrownAway);
            self.placement.release(now, &id.task, &run.worker, how);
            self.touch(&run.worker);
        }
    }

    /// All runs of a worker are over without a listed end.
    pub(crate) fn lose_runs(&mut self, now: Now, worker: &WorkerId) {
        for id in self.runs.ids_at(worker) {
            self.jobs.on_run_lost(now, &id);
            self.free(now.steady_ms, &id, ReleaseReason::Lost);
        }
    }

    /// Nothing runs at a worker any more, and nothing that was ordered there will.
    pub(crate) fn drop_worker(&mut self, now: Now, id: &WorkerId) {
        self.lose_runs(now, id);
        self.workers.remove(id);
        self.placement.remove_worker(now.steady_ms, id);
        let judgement = self.judgements.forget(id);
        self.write(judgement);
        self.write([Write::remove(format!("worker/{id}"))]);
    }

    /// The orders for a worker's agent must be made anew.
    pub(crate) fn touch(&mut self, worker: &WorkerId) {
        let Some(name) = self.workers.get(worker).and_then(|w| w.agent.clone()) else {
            return;
        };
        if let Some(agent) = self.agents.get_mut(&name) {
            agent.dirty = true;
            self.agents_to_look_at.insert(name);
        }
    }

    /// Tells placement what is known of a worker.
    pub(crate) fn tell_placement(&mut self, now: Millis, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let takes_work = worker.takes_work();
        if worker.open && !takes_work && worker.state == WorkerState::Ready {
            log::info!("worker {id} is silent or gone: it is given no more work until it is heard");
        }
        worker.open = takes_work;
        let info = WorkerInfo {
            id: id.clone(),
            service: worker.service.clone(),
            zone: worker.zone.clone(),
            labels: worker.labels.clone(),
            capacity: worker.capacity,
            schedulable: worker.open,
        };
        self.placement.update_worker(now, info);
    }

    /// The machine of each worker that runs something is replicated: a successor there proves that it is dead.
    fn remember_agent_of(&mut self, worker: &WorkerId) {
        let first = self.runs.at(worker).next().is_none();
        let agent = self.workers.get(worker).and_then(|w| w.agent.clone());
        if let (true, Some(agent)) = (first, agent) {
            let value = serde_json::Value::from(&*agent).to_string();
            self.write([Write::set(format!("worker/{worker}"), value)]);
        }
    }
}
