//! The entry point: events in, decisions out.

use crate::allocation::{Allocation, ReleaseReason};
use crate::cluster::Cluster;
use crate::cycle::SchedulingCycle;
use crate::decision::Decision;
use crate::headroom::DemandChange;
use crate::penalty::Penalty;
use crate::settings::PlacementSettings;
use crate::wait_reason::WaitExplanation;
use crate::worker::Worker;
use crate::worker_info::{WorkerInfo, WorkerStatus};
use crate::{explain, feedback, reorder, run_estimate, scheduling, worker_lifecycle};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use streamusher_protocol::task::TaskId;
use streamusher_protocol::unit::{Unit, UnitId, WorkerId};
use streamusher_protocol::Millis;

/// Decides which worker runs which unit.
///
/// Copies of a unit wait in the queues of several workers. The first worker with capacity claims the unit, and the
/// other copies are withdrawn in the same step. Capacity is allocated when a start is decided and freed by
/// [`Placement::release`] or [`Placement::remove_worker`] only, so a worker is never filled beyond its capacity.
///
/// All methods take the current time as an argument, in milliseconds of a clock that never goes back.
#[derive(Debug)]
pub struct Placement {
    cluster: Cluster,
    random: Pcg32,
    /// Penalties that a former primary has learnt, of workers that have not reported themselves yet.
    restored_penalties: BTreeMap<WorkerId, Penalty>,
    /// The latest time at which a unit was enqueued or units were placed.
    now: Millis,
}

impl Placement {
    /// A placement without workers and units.
    pub fn new(settings: PlacementSettings) -> Placement {
        Placement {
            random: Pcg32::seed_from_u64(settings.random_seed),
            cluster: Cluster::new(settings),
            restored_penalties: BTreeMap::new(),
            now: 0,
        }
    }

    /// Adds a worker, or takes over what it reports of itself now.
    pub fn update_worker(&mut self, now: Millis, info: WorkerInfo) {
        let id = info.id.clone();
        let Some(index) = worker_lifecycle::update_worker(&mut self.cluster, info) else {
            return;
        };
        if let Some(penalty) = self.restored_penalties.remove(&id) {
            worker_lifecycle::set_penalty(&mut self.cluster, now, index, penalty);
        }
    }

    /// Takes over a worker's penalty that a former primary has learnt, in tasks. It counts as soon as the worker reports itself,
    /// and decays from now on.
    pub fn restore_penalty(&mut self, now: Millis, worker: WorkerId, penalty: f64) {
        self.restored_penalties
            .insert(worker, Penalty::restored(now, penalty));
    }

    /// The penalty of each worker now, in tasks; also of workers that have not reported themselves yet.
    pub fn penalties(&self, now: Millis) -> impl Iterator<Item = (&WorkerId, f64)> {
        let known = self
            .cluster
            .workers
            .iter()
            .map(move |(_, worker)| (&worker.info.id, worker.penalty.value_at(now)));
        let restored = self
            .restored_penalties
            .iter()
            .map(move |(id, penalty)| (id, penalty.value_at(now)));
        known.chain(restored)
    }

    /// Removes a worker that is gone, with all allocations there.
    pub fn remove_worker(&mut self, now: Millis, id: &WorkerId) {
        self.restored_penalties.remove(id);
        worker_lifecycle::remove_worker(&mut self.cluster, now, id);
    }

    /// Allocates capacity for a run that a former primary has started; for its own decisions `place` does this itself.
    /// The run has held its capacity for `elapsed_before_ms` milliseconds, 0 where that is not known: what preempting it
    /// loses follows from that.
    ///
    /// A worker that is not known yet is added as one that takes no work until [`Placement::update_worker`] reports it.
    pub fn restore_run(
        &mut self,
        now: Millis,
        task: &TaskId,
        worker: &WorkerId,
        allocation: Allocation,
        elapsed_before_ms: Millis,
    ) {
        if self.cluster.workers.index_of(worker).is_none() {
            let info = worker_lifecycle::unreported_worker(worker, &allocation.service);
            self.update_worker(now, info);
        }
        worker_lifecycle::restore_run(
            &mut self.cluster,
            now,
            task,
            worker,
            allocation,
            elapsed_before_ms,
        );
    }

    /// Releases the allocation of a run, and learns from how it ended.
    pub fn release(
        &mut self,
        now: Millis,
        task: &TaskId,
        worker: &WorkerId,
        reason: ReleaseReason,
    ) {
        worker_lifecycle::release(&mut self.cluster, now, task, worker, reason);
    }

    /// Notes that a stop was ordered for a run: it holds its allocation until it is released, and is not preempted again.
    pub fn mark_stopping(&mut self, task: &TaskId, worker: &WorkerId) {
        if let Some(worker) = self.cluster.workers.by_id_mut(worker) {
            worker.mark_stopping(task);
        }
    }

    /// A run makes no progress: others are kept from its worker at once, before its own end is known.
    pub fn on_run_stalled(&mut self, now: Millis, worker: &WorkerId) {
        feedback::on_run_stalled(&mut self.cluster, now, worker);
    }

    /// A run reports the share of its work that it has done, in percent.
    pub fn update_progress(&mut self, now: Millis, task: &TaskId, worker: &WorkerId, percent: f64) {
        feedback::update_progress(&mut self.cluster, now, task, worker, percent);
    }

    /// Enqueues a unit. The same unit again replaces the former one.
    pub fn enqueue(&mut self, now: Millis, unit: Unit) {
        self.now = self.now.max(now);
        self.withdraw(&unit.id);
        self.cluster.enqueue(now, unit);
    }

    /// Withdraws a pending unit: it is not to be started any more.
    pub fn withdraw(&mut self, unit: &UnitId) {
        let Some(key) = self.cluster.queue.key_of(unit) else {
            return;
        };
        let Some(pending) = self.cluster.remove_pending(key) else {
            return;
        };
        self.cluster.change_demand(
            self.now,
            &Allocation::from(&pending.unit),
            pending.slack_class,
            DemandChange::Removed,
        );
    }

    /// Decides what can be started or preempted now. Costs little when nothing has changed and nothing is due.
    pub fn place(&mut self, now: Millis) -> Vec<Decision> {
        self.now = self.now.max(now);
        if !self.cluster.has_changes() && !self.cluster.queue.has_due(now) {
            return Vec::new();
        }
        let mut cycle = SchedulingCycle::new(&mut self.cluster, &mut self.random, now);
        scheduling::run_cycle(&mut cycle);
        cycle.decisions
    }

    /// A pending unit's order within its priority; none where it is not pending.
    pub fn order_of(&self, unit: &UnitId) -> Option<u64> {
        let key = self.cluster.queue.key_of(unit)?;
        let pending = self.cluster.queue.get(key)?;
        Some(pending.unit.order)
    }

    /// Changes a pending unit's order within its priority. True if its place was changed.
    ///
    /// Its copies and the time that it has waited stay. A gang with reservations, and a unit that runs were preempted for, keep
    /// their place. Other reservations are cancelled, and made anew at the unit's next look.
    pub fn reorder(&mut self, unit: &UnitId, order: u64) -> bool {
        reorder::reorder(&mut self.cluster, unit, order)
    }

    /// Why a unit waits; none where it is not pending. Looks at every worker of the service and every unit before this one.
    pub fn explain(&self, now: Millis, unit: &UnitId) -> Option<WaitExplanation> {
        explain::explain(&self.cluster, now, unit)
    }

    /// How much longer than usual a worker's runs have lately taken; 1 where too little is known.
    pub fn worker_slowness(&self, now: Millis, worker: &WorkerId) -> f64 {
        let Some(worker) = self.cluster.workers.by_id(worker) else {
            return 1.0;
        };
        let service = self.cluster.services.get(&worker.info.service);
        service.map_or(1.0, |service| {
            run_estimate::slowness(&self.cluster, now, worker, service)
        })
    }

    /// How much longer a run on a worker is expected to take than on a usual worker near its data. Whether a run that a former
    /// primary has started is remote is not known; it counts as near its data.
    pub fn run_slowness(&self, now: Millis, task: &TaskId, worker: &WorkerId) -> f64 {
        let run = self
            .cluster
            .workers
            .by_id(worker)
            .and_then(|worker| worker.runs.get(task));
        let remote_slowdown = run.map_or(1.0, |run| run.remote_slowdown);
        remote_slowdown * self.worker_slowness(now, worker)
    }

    /// How often pending units were looked at again so far: what a backlog costs the primary.
    pub fn retry_count(&self) -> u64 {
        self.cluster.queue.retry_count()
    }

    /// The number of pending units.
    pub fn pending_count(&self) -> usize {
        self.cluster.queue.len()
    }

    /// Every worker with what is known of it.
    pub fn workers(&self) -> impl Iterator<Item = WorkerStatus> + '_ {
        let workers = self.cluster.workers.iter();
        workers.map(|(_, worker)| self.status_of(worker))
    }

    fn status_of(&self, worker: &Worker) -> WorkerStatus {
        let service = self.cluster.services.get(&worker.info.service);
        WorkerStatus {
            info: worker.info.clone(),
            used: worker.allocated.total(),
            runs: worker.runs.len(),
            queued: worker.queue.len(),
            penalty: worker.penalty.value_at(self.now),
            slowness: service.map_or(1.0, |service| {
                worker.speed.slowness(self.now, &service.speed)
            }),
        }
    }
}
