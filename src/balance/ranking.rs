//! Worker selection: ranks by own jobs and added costs, and eligibility. Interface: `src/interface/mod.rs`.

use super::{permits, slow_start::SlowStartShare, Balancer, FAILURE_PENALTY};
use crate::interface::{
    AttemptOutcome, DeduplicationScope, Endpoint, EndpointState, JobId, Micros, Repeatability,
    WeightMeaning, WorkerId,
};
use crate::state::{decayed, Attempt, Job, MachineKind, PoolKey, Worker, RATE_TIME_CONSTANT_US};
use rand::seq::{IndexedRandom, SliceRandom};
use std::f64::consts::LN_2;

/// Workers sampled per ranking, each from the local zone and from all: few, as cost grows with the sample.
const SAMPLE_SIZE: usize = 6;
/// A worker in another zone must lead by this many jobs: crossing zones costs little relative to a wait.
const OTHER_ZONE_COST: f64 = 0.25;
/// Jobs ahead that cost about the whole value of a request; converts the cost of a connection to jobs.
const JOBS_PER_REQUEST_VALUE: f64 = 5.0;
/// A job may cost this multiple of its class's average, which a warming worker must tolerate.
const HEAVY_JOB_MULTIPLE: f64 = 3.0;

impl Balancer {
    /// Own jobs at the worker plus, in jobs, penalties and, to break ties, load by others, slowness, distance.
    pub(super) fn rank(&self, now: Micros, id: WorkerId, class: usize) -> f64 {
        let worker = &self.workers[id.index()];
        let is_local = worker.endpoint.zone == self.settings.local_zone;
        let zone_cost = if is_local { 0.0 } else { OTHER_ZONE_COST };
        let connects = worker.in_flight >= worker.connection_capacity(now, &self.settings);
        let connection_cost =
            f64::from(connects) * JOBS_PER_REQUEST_VALUE * self.settings.connection_cost;
        let load_of_others = (self.load(now, worker) + 0.5) * self.slowness(worker);
        f64::from(worker.in_flight)
            + self.penalty(now, worker, class)
            + self.penalty(now, worker, self.all_classes())
            + load_of_others
            + zone_cost
            + connection_cost
    }

    /// Index of the penalty for all classes.
    pub(super) fn all_classes(&self) -> usize {
        self.best_workers.len()
    }

    /// Penalty of a worker for a class, or for all: an observed one decays to the average of the class.
    pub(super) fn penalty(&self, now: Micros, worker: &Worker, class: usize) -> f64 {
        let failure_rate = self.failure_rates.get(class);
        let average = failure_rate.map_or(0.0, |rate| rate.mean * FAILURE_PENALTY);
        let half_life_us = self.settings.warm_up_us.max(1_000_000) as f64;
        decayed(worker.penalties[class], average, now, half_life_us / LN_2)
    }

    /// Load by others: an observed one decays to its kind's average; a fleet average overloads fast kinds.
    pub(super) fn load(&self, now: Micros, worker: &Worker) -> f64 {
        let kind = self.kinds.get(&worker.endpoint.kind);
        let average = kind.map_or(0.0, |kind| kind.load.mean);
        let baseline = (1.0 + average) * self.weighted_load(worker) - 1.0;
        decayed(worker.observed_load, baseline, now, 2.0 * self.work.mean)
    }

    /// Where only probed workers report load, a live weight shows it for all: size / (1 + jobs held).
    fn weighted_load(&self, worker: &Worker) -> f64 {
        let is_live = self.settings.weight_meaning == WeightMeaning::Live;
        let exponent = -i32::from(is_live && self.settings.reports_only_on_probe);
        self.pools.relative_weight(worker).max(0.1).powi(exponent)
    }

    pub(super) fn slots(&self, worker: &Worker) -> f64 {
        let kind = self.kinds.get(&worker.endpoint.kind);
        kind.map_or(1.0, MachineKind::slots)
    }

    /// Running time relative to the average: the worker's own; with few samples, its kind's; else by weight.
    pub(super) fn slowness(&self, worker: &Worker) -> f64 {
        let size = self.pools.relative_weight(worker) * self.weighted_load(worker);
        let prior = -size.max(1e-9).ln().clamp(-1.0, 1.0);
        let kind = self.kinds.get(&worker.endpoint.kind);
        let kind_prior = kind.map_or(prior, |kind| kind.log_slowness.with_prior(prior));
        worker.log_slowness.with_prior(kind_prior).exp()
    }

    #[allow(clippy::cast_possible_truncation, reason = "as saturates")]
    pub(super) fn sort_by_rank(&self, now: Micros, class: usize, workers: &mut [WorkerId]) {
        workers.sort_by_cached_key(|&worker| (self.rank(now, worker, class) * 1e6) as i64);
    }

    /// Eligible workers for the next attempt of a job, lowest rank first: its preferred ones, else a sample and the
    /// best workers, else any.
    pub(super) fn candidates(&mut self, now: Micros, id: JobId) -> Vec<WorkerId> {
        let Some(job) = self.jobs.get(&id) else {
            return Vec::new();
        };
        let all = self.pools.workers(self.permitted_pool(job));
        let best = &self.best_workers[job.class];
        // Away from its affinity workers a subject's data must be fetched; the load of unprobed workers is unknown.
        let only_best = job.affinity_workers.is_empty() && self.settings.reports_only_on_probe;
        let preferred = if only_best {
            best
        } else {
            &job.affinity_workers
        };
        let is_eligible = |worker: &WorkerId| self.is_eligible(now, job, *worker);
        let mut candidates: Vec<WorkerId> = preferred.iter().copied().filter(is_eligible).collect();
        if candidates.is_empty() {
            let local = match self.permitted_pool(job) {
                PoolKey::Fleet(placement) => PoolKey::Zone(placement, self.settings.local_zone),
                pool => pool,
            };
            let local = self.pools.workers(local);
            // Warming workers with credit are few, and idle.
            let is_warming_up = |worker: &WorkerId| {
                self.capacity_share(now, &self.workers[worker.index()].endpoint) < 1.0
            };
            candidates.extend(all.iter().filter(|worker| is_warming_up(worker)));
            candidates.extend(all.choose_multiple(&mut self.rng, SAMPLE_SIZE));
            candidates.extend(local.choose_multiple(&mut self.rng, SAMPLE_SIZE));
            candidates.extend(best);
            candidates.retain(|&worker| self.is_eligible(now, job, worker));
            candidates.sort_unstable();
            candidates.dedup();
        }
        if candidates.is_empty() {
            let is_eligible = |worker: &WorkerId| self.is_eligible(now, job, *worker);
            candidates.extend(all.iter().copied().filter(is_eligible).take(SAMPLE_SIZE));
        }
        candidates.shuffle(&mut self.rng); // ties are broken at random
        self.sort_by_rank(now, job.class, &mut candidates);
        candidates
    }

    /// The pool that is permitted for the next attempt.
    fn permitted_pool(&self, job: &Job) -> PoolKey {
        let first = self.first_possible_run(job);
        let first = first.map(|attempt| &self.workers[attempt.worker.index()].endpoint);
        match (self.settings.classes[job.class].repeatability, first) {
            (Repeatability::IdempotentByKey { scope, .. }, Some(first)) => match scope {
                DeduplicationScope::All => PoolKey::Fleet(job.placement),
                DeduplicationScope::Zone => PoolKey::Zone(job.placement, first.zone),
                DeduplicationScope::Cell => PoolKey::Cell(job.placement, first.cell),
            },
            _ => PoolKey::Fleet(job.placement),
        }
    }

    /// All conditions for an attempt at this worker; `send` checks them again.
    pub(super) fn is_eligible(&self, now: Micros, job: &Job, id: WorkerId) -> bool {
        let worker = &self.workers[id.index()];
        worker.endpoint.state == EndpointState::Ready
            && permits(&self.settings.classes, job.placement, &worker.endpoint)
            && !job.has_tried(id, worker.incarnation)
            && (self.settings.may_duplicate || !job.is_in_flight())
            && self
                .first_possible_run(job)
                .is_none_or(|first| self.permits_repeat(now, job, first, &worker.endpoint))
            && self.slow_start_admits(now, job, id)
    }

    /// The first attempt that may have run, including those in flight: it fixes the deduplication group and window of
    /// a keyed job, and is the only one of a job that must not run twice.
    pub(super) fn first_possible_run<'job>(&self, job: &'job Job) -> Option<&'job Attempt> {
        job.attempts.iter().find(|attempt| !self.never_ran(attempt))
    }

    fn never_ran(&self, attempt: &Attempt) -> bool {
        match attempt.outcome {
            Some(AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent) => true,
            Some(AttemptOutcome::Shed) => !self.settings.shed_may_have_run,
            _ => false,
        }
    }

    /// Whether the job's class permits an attempt at `endpoint` after, or beside, one that may have run.
    fn permits_repeat(&self, now: Micros, job: &Job, first: &Attempt, endpoint: &Endpoint) -> bool {
        let first_endpoint = &self.workers[first.worker.index()].endpoint;
        match self.settings.classes[job.class].repeatability {
            Repeatability::Idempotent => true,
            Repeatability::AtMostOnce => false,
            Repeatability::IdempotentByKey { scope, window_us } => {
                (scope != DeduplicationScope::Zone || first_endpoint.zone == endpoint.zone)
                    && (scope != DeduplicationScope::Cell || first_endpoint.cell == endpoint.cell)
                    && now < first.sent_at.saturating_add(window_us)
            }
        }
    }

    /// Whether a scheduled attempt may still begin. Call it once its connection is open, which may be late: by then
    /// the job may be answered, the worker draining or restarted, or a deduplication window over.
    pub fn may_begin(&self, now: Micros, job: JobId, attempt: u32) -> bool {
        let job = self.jobs.get(&job);
        let found = job.and_then(|job| Some((job, job.attempts.get(attempt as usize)?)));
        let Some((job, attempt)) = found.filter(|(job, _)| !job.answered && !job.is_expired(now))
        else {
            return false;
        };
        let worker = &self.workers[attempt.worker.index()];
        let is_other = |other: &&Attempt| !std::ptr::eq(*other, attempt) && !self.never_ran(other);
        let mut others = job.attempts.iter().filter(is_other);
        attempt.is_waiting()
            && !attempt.cancelled
            && worker.endpoint.state == EndpointState::Ready
            && worker.incarnation == attempt.incarnation
            && others.all(|other| self.permits_repeat(now, job, other, &worker.endpoint))
    }

    /// Slow start: admits no job that alone could overload the worker, and only its present share of what this
    /// dispatcher sends a warm one. If all dispatchers do so, its load matches its capacity as a warm one's does.
    fn slow_start_admits(&self, now: Micros, job: &Job, id: WorkerId) -> bool {
        let worker = &self.workers[id.index()];
        let capacity_share = self.capacity_share(now, &worker.endpoint);
        let tolerated = capacity_share
            * self.settings.overload_multiple
            * self.settings.overload_tolerance_us as f64;
        let credit =
            || self.slow_starts[id.index()].credit(now, self.slow_start_share(now, worker));
        capacity_share >= 1.0
            || (self.expected_work(job) * HEAVY_JOB_MULTIPLE <= tolerated && credit() >= 0.0)
    }

    /// The part of its capacity that a worker has at its age.
    pub(super) fn capacity_share(&self, now: Micros, endpoint: &Endpoint) -> f64 {
        let age_us = now.saturating_sub(endpoint.started_at_us) as f64;
        let warm_part = (age_us / self.settings.warm_up_us.max(1) as f64).min(1.0);
        let warm_part = if endpoint.started_at_us == 0 {
            1.0
        } else {
            warm_part
        };
        self.settings.start_capacity + (1.0 - self.settings.start_capacity) * warm_part
    }

    /// This dispatcher's share of a warming worker.
    pub(super) fn slow_start_share(&self, now: Micros, worker: &Worker) -> SlowStartShare {
        let size = match self.settings.weight_meaning {
            WeightMeaning::Size => self.pools.relative_weight(worker),
            WeightMeaning::Off | WeightMeaning::Live => 1.0,
        };
        let workers = self.pools.fleet_size() as f64;
        let rate = self.rates.work / RATE_TIME_CONSTANT_US / workers * size;
        let capacity_share = self.capacity_share(now, &worker.endpoint);
        let slots = self.slots(worker);
        SlowStartShare::new(&self.settings, slots, capacity_share, rate, self.work.mean)
    }

    /// Expected work in microseconds: the client's hint, or the class's average; initially the latency target.
    pub(super) fn expected_work(&self, job: &Job) -> f64 {
        let average = self.running_times[job.class].mean;
        let hint_us = job.request.expected_work_us;
        hint_us.map_or(average, |work_us| work_us as f64).max(1.0)
    }
}
