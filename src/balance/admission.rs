//! Admission: accepts, holds or rejects requests, and gives all final answers. Interface: `src/interface/mod.rs`.

use super::{Balancer, MAX_BEST_WORKERS};
use crate::interface::{
    Action, DeduplicationScope, JobId, Micros, Repeatability, Request, TenantId, WorkerId,
};
use crate::state::{Job, PoolKey, Timer};
use rand::{seq::IndexedRandom, Rng};

/// A job waits for probe responses for the shortest latency target divided by this.
const PROBE_WAIT_DIVISOR: Micros = 32;
/// Preferred workers per subject: few, as a worker keeps few data sets, but several, as some may be full.
const AFFINITY_WORKERS: usize = 3;
/// A tenant exceeds its share at this multiple of the median usage relative to quota; allows for chance.
const OVER_SHARE_MULTIPLE: f64 = 1.3;
/// A job is answered early when its expected latency exceeds this multiple of its target; estimates are rough.
const LATE_TARGET_MULTIPLE: f64 = 1.5;

impl Balancer {
    pub(super) fn on_arrived(&mut self, now: Micros, request: Request, actions: &mut Vec<Action>) {
        let id = request.job;
        if request.class.index() >= self.settings.classes.len() || self.jobs.contains_key(&id) {
            return;
        }
        let job = self.new_job(now, request);
        // The timer may fire up to one batch interval late; the answer slack must cover that.
        let slack_us = self.settings.answer_slack_us;
        let early_us = (2 * self.settings.batch_interval_us).saturating_sub(slack_us);
        let deadline_us = job.request.expires_in_us.saturating_sub(early_us);
        actions.push(Timer::Deadline(id).after(deadline_us));
        if self.settings.reports_only_on_probe {
            self.probe_sample(&job, actions);
        }
        let is_over_quota = job.request.free_quota_share.is_some_and(|free| free <= 0.0);
        self.jobs.insert(id, job);
        if is_over_quota {
            self.answer(id, actions);
        } else if !self.settings.reports_only_on_probe {
            self.place(now, id, actions);
        }
    }

    fn new_job(&mut self, now: Micros, request: Request) -> Job {
        let class = request.class.index();
        let over_share = self.is_over_share(now, request.tenant);
        let placement = self.placements[class];
        let affinity_workers = request.affinity_key.map_or_else(Vec::new, |key| {
            let (pools, workers) = (&mut self.pools, &self.workers);
            pools.ring_successors(workers, placement, key, AFFINITY_WORKERS)
        });
        Job {
            request,
            class,
            placement,
            arrived_at: now,
            affinity_workers,
            over_share,
            ..Job::default()
        }
    }

    /// Workers report load only when probed: probes a random sample, of which the lowest ranked are remembered.
    fn probe_sample(&mut self, job: &Job, actions: &mut Vec<Action>) {
        let workers = self.pools.workers(PoolKey::Fleet(job.placement));
        let probed = workers.choose_multiple(&mut self.rng, MAX_BEST_WORKERS);
        actions.extend(probed.map(|&worker| Action::Probe { worker }));
        let wait_us = self.settings.shortest_latency_target_us() / PROBE_WAIT_DIVISOR;
        actions.push(Timer::Recheck(job.request.job).after(wait_us));
    }

    /// Whether this arrival exceeds its tenant's share. Quotas span all dispatchers and this one receives an unknown
    /// part of the traffic, so usage relative to quota is compared with the median tenant's here.
    fn is_over_share(&mut self, now: Micros, tenant: Option<TenantId>) -> bool {
        self.rates.decay(now);
        let tenants = &mut self.rates.tenants;
        let tenant = tenant.map(TenantId::index);
        let Some(tenant) = tenant.filter(|&tenant| tenant < tenants.len()) else {
            return false;
        };
        tenants[tenant] += 1.0;
        let quota = |tenant: usize| self.settings.tenants[tenant].quota_rps.max(1e-9);
        let requests = self.rates.tenants.iter().enumerate();
        let mut usage: Vec<f64> = requests
            .map(|(tenant, requests)| requests / quota(tenant))
            .collect();
        let own = usage[tenant];
        let noise = 2.0 * (own / quota(tenant)).sqrt(); // two standard deviations of a count
        usage.sort_by(f64::total_cmp);
        let threshold = usage[(usage.len() - 1) / 2] * OVER_SHARE_MULTIPLE;
        own - noise > threshold && self.rng.random::<f64>() * own > threshold
    }

    /// Whether a job is expected to end far past its latency target if it is sent now to a worker, behind the jobs
    /// there, or, without a worker, if it could run at once.
    pub(super) fn is_too_late(&self, now: Micros, job: &Job, worker: Option<WorkerId>) -> bool {
        let (work, class) = (self.expected_work(job), &self.settings.classes[job.class]);
        let (wait, slowness) = worker.map_or((0.0, 1.0), |id| {
            let worker = &self.workers[id.index()];
            let ahead = (self.waiting_jobs(id) as f64 + self.load(now, worker) - 1.0).max(0.0);
            (
                ahead * self.work.mean / self.slots(worker),
                self.slowness(worker),
            )
        });
        let latency = (wait + work) * slowness + now.saturating_sub(job.arrived_at) as f64;
        let target = class.latency_target_us as f64 + class.latency_target_stretch * work;
        latency > LATE_TARGET_MULTIPLE * target
    }

    /// The only place that gives final answers: a rejection where the rules permit it, else a failure.
    pub(super) fn answer(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.owes_answer()) else {
            return;
        };
        let target_us = self.settings.shortest_latency_target_us();
        let retry_after_us = target_us.min(self.settings.max_retry_after_us);
        actions.push(if self.may_reject(job) {
            Action::Reject {
                job: id,
                retry_after_us,
            }
        } else {
            Action::Fail { job: id }
        });
        self.finish(id, actions);
    }

    /// Whether the rules permit a rejection, after which the client may retry.
    pub(super) fn may_reject(&self, job: &Job) -> bool {
        match self.settings.classes[job.class].repeatability {
            Repeatability::Idempotent
            | Repeatability::IdempotentByKey {
                scope: DeduplicationScope::All,
                ..
            } => true,
            _ => self.first_possible_run(job).is_none(),
        }
    }

    /// Ends a request: sends no further attempt and cancels those in flight.
    pub(super) fn finish(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.answered = true;
        job.cancel_attempts(&self.settings, |_| true, actions);
        if !job.is_in_flight() {
            self.jobs.remove(&id);
        }
    }
}
