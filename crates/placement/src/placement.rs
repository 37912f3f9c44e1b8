//! Entry point of placement: receives events and returns decisions.

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
/// Copies of a unit wait in the queues of several workers. The first worker with enough free capacity claims
/// the unit, and the other copies are withdrawn in the same step. Capacity is allocated when a start is
/// decided and freed only by [`Placement::release`] or [`Placement::remove_worker`], so a worker is never
/// filled beyond its capacity.
///
/// Methods that depend on the current time take it as an argument, in milliseconds of a monotonic clock.
#[derive(Debug)]
pub struct Placement {
    cluster: Cluster,
    random: Pcg32,
    /// Penalties learned by a former primary for workers that have not reported themselves yet.
    restored_penalties: BTreeMap<WorkerId, Penalty>,
    /// Latest time at which a unit was enqueued or units were placed.
    now: Millis,
}

impl Placement {
    /// Creates a placement without workers and units.
    pub fn new(settings: PlacementSettings) -> Placement {
        Placement {
            random: Pcg32::seed_from_u64(settings.random_seed),
            cluster: Cluster::new(settings),
            restored_penalties: BTreeMap::new(),
            now: 0,
        }
    }

    /// Adds a worker, or updates a known worker to what it reports.
    pub fn update_worker(&mut self, now: Millis, info: WorkerInfo) {
        let id = info.id.clone();
        let Some(index) = worker_lifecycle::update_worker(&mut self.cluster, info) else {
            return;
        };
        if let Some(penalty) = self.restored_penalties.remove(&id) {
            worker_lifecycle::set_penalty(&mut self.cluster, now, index, penalty);
        }
    }

    /// Restores a worker's penalty that a former primary learned, measured in tasks. It takes effect once the
    /// worker reports itself, and decays from `now` on.
    pub fn restore_penalty(&mut self, now: Millis, worker: WorkerId, penalty: f64) {
        self.restored_penalties
            .insert(worker, Penalty::restored(now, penalty));
    }

    /// Current penalty of each worker, measured in tasks, including workers that have not reported themselves
    /// yet.
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

    /// Removes a disconnected worker with all its allocations.
    pub fn remove_worker(&mut self, now: Millis, id: &WorkerId) {
        self.restored_penalties.remove(id);
        worker_lifecycle::remove_worker(&mut self.cluster, now, id);
    }

    /// Allocates capacity for a run that a former primary started; [`Placement::place`] does this itself for
    /// the runs that it starts. `elapsed_before_ms` is how long the run has already held its capacity, 0 if
    /// unknown; the cost of preempting the run depends on it.
    ///
    /// An unknown worker is added as not schedulable until [`Placement::update_worker`] reports it.
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

    /// Releases the allocation of a run and learns from how the run ended.
    pub fn release(
        &mut self,
        now: Millis,
        task: &TaskId,
        worker: &WorkerId,
        reason: ReleaseReason,
    ) {
        worker_lifecycle::release(&mut self.cluster, now, task, worker, reason);
    }

    /// Records that a stop was ordered for a run. The run keeps its allocation until it is released, and is
    /// not preempted again.
    pub fn mark_stopping(&mut self, task: &TaskId, worker: &WorkerId) {
        if let Some(worker) = self.cluster.workers.by_id_mut(worker) {
            worker.mark_stopping(task);
        }
    }

    /// Records that a run makes no progress. The worker's penalty rises at once, before the run ends, to keep
    /// other tasks off it.
    pub fn on_run_stalled(&mut self, now: Millis, worker: &WorkerId) {
        feedback::on_run_stalled(&mut self.cluster, now, worker);
    }

    /// Records the share of its work that a run reports as done, in percent.
    pub fn update_progress(&mut self, now: Millis, task: &TaskId, worker: &WorkerId, percent: f64) {
        feedback::update_progress(&mut self.cluster, now, task, worker, percent);
    }

    /// Enqueues a unit. If a unit with the same identifier is pending, replaces it.
    pub fn enqueue(&mut self, now: Millis, unit: Unit) {
        self.now = self.now.max(now);
        self.withdraw(&unit.id);
        self.cluster.enqueue(now, unit);
    }

    /// Withdraws a pending unit, so that it is not started.
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

    /// Decides what can be started or preempted now. Cheap if nothing has changed and no retry is due.
    pub fn place(&mut self, now: Millis) -> Vec<Decision> {
        self.now = self.now.max(now);
        if !self.cluster.has_changes() && !self.cluster.queue.has_due(now) {
            return Vec::new();
        }
        let mut cycle = SchedulingCycle::new(&mut self.cluster, &mut self.random, now);
        scheduling::run_cycle(&mut cycle);
        cycle.decisions
    }

    /// Order of a pending unit within its priority; `None` if the unit is not pending.
    pub fn order_of(&self, unit: &UnitId) -> Option<u64> {
        let key = self.cluster.queue.key_of(unit)?;
        let pending = self.cluster.queue.get(key)?;
        Some(pending.unit.order)
    }

    /// Changes a pending unit's order within its priority. Returns true if its position was changed.
    ///
    /// The unit keeps its copies and its waiting time. A gang with reservations, and a unit that runs were
    /// preempted for, keep their position. Other reservations are cancelled; the unit's next retry may create
    /// new ones.
    pub fn reorder(&mut self, unit: &UnitId, order: u64) -> bool {
        reorder::reorder(&mut self.cluster, unit, order)
    }

    /// Explains why a unit waits; `None` if it is not pending. Examines every worker of the service and every
    /// unit earlier in the queue.
    pub fn explain(&self, now: Millis, unit: &UnitId) -> Option<WaitExplanation> {
        explain::explain(&self.cluster, now, unit)
    }

    /// Ratio of the run time on a worker to the average of its service in recent runs; 1 if there are too few
    /// observations.
    pub fn worker_slowness(&self, now: Millis, worker: &WorkerId) -> f64 {
        let Some(worker) = self.cluster.workers.by_id(worker) else {
            return 1.0;
        };
        let service = self.cluster.services.get(&worker.info.service);
        service.map_or(1.0, |service| {
            run_estimate::slowness(&self.cluster, now, worker, service)
        })
    }

    /// Ratio of a run's expected time on its worker to that on an average worker near the run's data. For a
    /// run that a former primary started it is unknown whether the worker is remote from the data; it counts
    /// as near.
    pub fn run_slowness(&self, now: Millis, task: &TaskId, worker: &WorkerId) -> f64 {
        let run = self
            .cluster
            .workers
            .by_id(worker)
            .and_then(|worker| worker.runs.get(task));
        let remote_slowdown = run.map_or(1.0, |run| run.remote_slowdown);
        remote_slowdown * self.worker_slowness(now, worker)
    }

    /// Total number of retries of pending units: a measure of the load that a backlog puts on the primary.
    pub fn retry_count(&self) -> u64 {
        self.cluster.queue.retry_count()
    }

    /// Number of pending units.
    pub fn pending_count(&self) -> usize {
        self.cluster.queue.len()
    }

    /// Status of every worker.
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
