//! State of one service: its workers, its demand, its pending gangs and the statistics of its runs.

use crate::allocation::Allocation;
use crate::decay::decayed;
use crate::headroom::Headroom;
use crate::index::{QueueKey, WorkerIndex};
use crate::penalty::{max_concurrent_runs, Penalty};
use crate::resource_vector::ResourceVector;
use crate::retry_pacer::RetryPacer;
use crate::run_time::{MeanRunTime, RelativeSpeed};
use crate::step_run_times::StepRunTimes;
use crate::worker::Worker;
use crate::worker_pool::{LoadLevel, WorkerPools};
use std::collections::BTreeSet;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::Millis;

/// Minimum interval between updates of the headroom, unless the schedulable workers change.
const HEADROOM_REFRESH_INTERVAL_MS: Millis = 100;
/// Mean run time that is assumed before any run has ended.
const INITIAL_RUN_MS: f64 = 1_000.0;
/// Share of used capacity below which a unit that has waited long may use any free capacity.
const LIGHT_USE_SHARE: f64 = 0.6;
/// Half-life of the largest requested share of a worker.
const LARGEST_REQUEST_HALF_LIFE_MS: f64 = 30_000.0;

/// Largest share of a worker that a unit has recently requested; decays with time.
#[derive(Debug, Default)]
struct LargestRequest {
    share: f64,
    observed_at: Millis,
}

impl LargestRequest {
    fn value_at(&self, now: Millis) -> f64 {
        decayed(
            self.share,
            self.observed_at,
            now,
            LARGEST_REQUEST_HALF_LIFE_MS,
        )
    }

    fn observe(&mut self, now: Millis, share: f64) {
        if share >= self.value_at(now) {
            self.share = share;
            self.observed_at = now;
        }
    }
}

/// State of one service.
#[derive(Debug, Default)]
pub(crate) struct Service {
    pub(crate) pools: WorkerPools,
    /// Capacity of the schedulable workers.
    capacity: ResourceVector,
    /// Capacity that runs hold on schedulable workers.
    used: ResourceVector,
    pub(crate) headroom: Headroom,
    headroom_refreshed_at: Option<Millis>,
    /// Units that hold reservations.
    pub(crate) reserving_units: BTreeSet<QueueKey>,
    /// Gangs that are pending.
    pub(crate) pending_gangs: BTreeSet<QueueKey>,
    pub(crate) speed: RelativeSpeed,
    /// Sum of the workers' penalties.
    penalty_sum: Penalty,
    mean_run_time: MeanRunTime,
    step_run_times: StepRunTimes,
    largest_request: LargestRequest,
    retry_pacer: RetryPacer,
}

impl Service {
    pub(crate) fn add_worker(&mut self, index: WorkerIndex, worker: &mut Worker) {
        self.pools
            .add(index, &worker.info.labels, worker.listed_load);
        if worker.info.schedulable {
            self.headroom_refreshed_at = None;
            self.capacity
                .add_non_negative(ResourceVector::from(&worker.info.capacity));
        }
        self.update_usage(worker);
    }

    pub(crate) fn remove_worker(&mut self, index: WorkerIndex, worker: &mut Worker) {
        self.pools
            .remove(index, &worker.info.labels, worker.listed_load);
        if worker.info.schedulable {
            self.headroom_refreshed_at = None;
            self.capacity
                .subtract_non_negative(ResourceVector::from(&worker.info.capacity));
        }
        self.used
            .subtract_non_negative(ResourceVector::from(&worker.counted_usage));
        worker.counted_usage = Resources::default();
    }

    /// Updates the service's total to what the runs of a worker hold now; only schedulable workers count.
    pub(crate) fn update_usage(&mut self, worker: &mut Worker) {
        let allocated = if worker.info.schedulable {
            worker.allocated.total()
        } else {
            Resources::default()
        };
        self.used
            .subtract_non_negative(ResourceVector::from(&worker.counted_usage));
        self.used.add_non_negative(ResourceVector::from(&allocated));
        worker.counted_usage = allocated;
    }

    /// Moves a worker to its current load level in the pools.
    pub(crate) fn update_listed_load(
        &mut self,
        index: WorkerIndex,
        worker: &Worker,
        previous: LoadLevel,
    ) {
        self.pools
            .change_load(index, &worker.info.labels, previous, worker.listed_load);
    }

    /// Whether much of the capacity is free.
    pub(crate) fn is_lightly_used(&self) -> bool {
        let shares = self
            .used
            .zip_with(self.capacity, |used, capacity| used / capacity.max(1.0));
        shares.largest() < LIGHT_USE_SHARE
    }

    /// Reserves the time at which a pending unit that is due is retried. It is immediate if much of the
    /// capacity is free, because the wait of a unit is bounded then.
    pub(crate) fn reserve_retry(&mut self, now: Millis) -> Millis {
        if self.is_lightly_used() {
            now
        } else {
            self.retry_pacer.reserve(now)
        }
    }

    /// Updates the headroom if the refresh interval has passed or the schedulable workers have changed.
    pub(crate) fn refresh_headroom(&mut self, now: Millis) {
        let is_fresh = |at: Millis| now < at.saturating_add(HEADROOM_REFRESH_INTERVAL_MS);
        if self.headroom_refreshed_at.is_some_and(is_fresh) {
            return;
        }
        self.headroom_refreshed_at = Some(now);
        self.headroom.refresh(now, self.capacity);
    }

    /// Mean run time of the service's completed runs.
    pub(crate) fn mean_run_ms(&self) -> f64 {
        self.mean_run_time.get_or(INITIAL_RUN_MS)
    }

    /// Applies a change of one worker's penalty to the sum.
    pub(crate) fn change_penalty_sum(&mut self, now: Millis, change: f64) {
        self.penalty_sum.add_to_sum(now, change);
    }

    /// Number of concurrent runs that a worker may have, by its penalty relative to the mean of the service.
    pub(crate) fn max_concurrent_runs(&self, now: Millis, worker: &Worker) -> usize {
        let penalty = worker.penalty.value_at(now);
        if penalty == 0.0 {
            return usize::MAX;
        }
        let workers = self.pools.all.members.len().max(1) as f64;
        max_concurrent_runs(penalty, self.penalty_sum.value_at(now) / workers)
    }

    /// Records the run time of a successful run.
    pub(crate) fn observe_run_time(&mut self, ran_ms: Millis) {
        self.mean_run_time.observe(ran_ms as f64);
    }

    /// Updates a worker's speed from the time that a run takes, or took, without the slowdown by remote data.
    /// The time is compared with the step's other tasks, or with the run's estimate if there are none.
    /// Members of a gang are ignored: all take the time of the slowest, which says nothing about their own
    /// worker.
    pub(crate) fn observe_speed(
        &mut self,
        now: Millis,
        allocation: &Allocation,
        local_run_ms: f64,
        worker: &mut RelativeSpeed,
    ) {
        if allocation.gang_member {
            return;
        }
        let by_step = self
            .step_run_times
            .observe(&allocation.unit.step, local_run_ms);
        let Some(ratio) = by_step.or_else(|| ratio_to_estimate(allocation, local_run_ms)) else {
            return;
        };
        worker.observe(now, ratio);
        self.speed.observe(now, ratio);
    }

    /// Records the share of a worker that a unit requests.
    pub(crate) fn observe_request(&mut self, now: Millis, share: f64) {
        self.largest_request.observe(now, share);
    }

    /// Largest share of a worker that was recently requested.
    pub(crate) fn largest_request(&self, now: Millis) -> f64 {
        self.largest_request.value_at(now)
    }
}

fn ratio_to_estimate(allocation: &Allocation, local_run_ms: f64) -> Option<f64> {
    (allocation.estimated_ms > 0).then(|| local_run_ms / allocation.estimated_ms as f64)
}
