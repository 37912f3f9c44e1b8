//! What is taken, held or refused, and the one place that answers. Interface: `src/interface.rs`.

use super::{cancel, Balancer, MEMORY};
use crate::interface::*;
use crate::state::*;
use rand::{seq::*, Rng};

/// Part of the shortest aim that a job waits for the answers to probes.
const ASK_PART: Micros = 32;
/// Homes of a subject, the same at every dispatcher: a few, as workers keep few data sets and homes fill up.
const HOMES: usize = 3;
/// A tenant this far above the typical one, each by its quota, is beyond its share: room for chance.
const OVER_SHARE: f64 = 1.3;
/// A job is given up early when it is expected to take this many times its aim: estimates are rough.
const HOPELESS: f64 = 1.5;

impl Balancer {
    pub(super) fn arrived(&mut self, now: Micros, request: Request, out: &mut Vec<Action>) {
        let (id, class) = (request.job, request.class.0 as usize);
        if class >= self.set.classes.len() || self.jobs.contains_key(&id) {
            return;
        }
        let over_share = self.beyond_share(now, request.tenant);
        let open = self.open[class];
        let homes = request.affinity_key.map_or_else(Vec::new, |k| {
            self.pools.homes(&self.workers, open, k, HOMES)
        });
        let job = Job {
            request,
            class,
            homes,
            open,
            arrived: now,
            over_share,
            ..Job::default()
        };
        // The timer comes up to a tick late; the slack must bear that.
        let early = (2 * self.set.batch_interval_us).saturating_sub(self.set.answer_slack_us);
        out.push(job.timer(job.request.expires_in_us.saturating_sub(early), 0));
        if self.set.reports_only_on_probe {
            // Nothing is told unasked: a few are asked first, and the lowest ranked of them remembered.
            let asked = self
                .pools
                .of(Pool::All(open))
                .choose_multiple(&mut self.rng, MEMORY);
            out.extend(asked.map(|&w| Action::Probe {
                worker: WorkerId(w),
            }));
            out.push(job.timer(self.set.shortest_aim() / ASK_PART, 1));
        }
        let beyond_quota = job.request.free_quota_share.is_some_and(|free| free <= 0.0);
        self.jobs.insert(id, job);
        if beyond_quota {
            self.answer(id, out);
        } else if !self.set.reports_only_on_probe {
            self.place(now, id, out);
        }
    }

    /// Whether this arrival counts as beyond its tenant's share. Quotas span all dispatchers and this one has
    /// a part of unknown size, so tenants are held against the typical one here, each by its quota.
    pub(super) fn beyond_share(&mut self, now: Micros, tenant: Option<TenantId>) -> bool {
        self.rates.age(now);
        let seen = tenant.and_then(|t| self.rates.tenants.get_mut(t.0 as usize));
        let Some((own, TenantId(t))) = seen.zip(tenant) else {
            return false;
        };
        *own += 1.0;
        let quota = |t: usize| self.set.tenants[t].quota_rps.max(1e-9);
        let mut used: Vec<f64> = self
            .rates
            .tenants
            .iter()
            .enumerate()
            .map(|(t, n)| n / quota(t))
            .collect();
        let (own, chance) = (
            used[t as usize],
            2.0 * (used[t as usize] / quota(t as usize)).sqrt(),
        );
        used.sort_by(f64::total_cmp);
        let most = used[(used.len() - 1) / 2] * OVER_SHARE;
        own - chance > most && self.rng.random::<f64>() * own > most
    }

    /// Whether a job is expected far past its aim if sent there now, after the jobs ahead; or nowhere yet.
    pub(super) fn hopeless(&self, now: Micros, job: &Job, at: Option<u32>) -> bool {
        let (work, class) = (self.work_of(job), &self.set.classes[job.class]);
        let (wait, slow) = at.map_or((0.0, 1.0), |id| {
            let w = &self.workers[id as usize];
            let ahead = (self.waiting(id) as f64 + self.load_of(now, w) - 1.0).max(0.0);
            (ahead * self.work.mean / self.slots(w), self.slowness(w))
        });
        let finish = (wait + work) * slow + now.saturating_sub(job.arrived) as f64;
        finish > HOPELESS * (class.latency_target_us as f64 + class.latency_target_stretch * work)
    }

    /// The one place that answers: refused where that is harmless by the rules, else failed.
    pub(super) fn answer(&mut self, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|j| j.owed()) else {
            return;
        };
        let hold_off_us = self.set.shortest_aim().min(self.set.max_retry_after_us);
        out.push(if self.harmless(job) {
            Action::Reject {
                job: id,
                retry_after_us: hold_off_us,
            }
        } else {
            Action::Fail { job: id }
        });
        self.ended(id, out);
    }

    /// Whether the rules bear a refusal, after which the client may ask again.
    pub(super) fn harmless(&self, job: &Job) -> bool {
        match (self.set.classes[job.class].repeatability, self.bound(job)) {
            (Repeatability::Idempotent, _)
            | (_, None)
            | (
                Repeatability::IdempotentByKey {
                    scope: DeduplicationScope::All,
                    ..
                },
                _,
            ) => true,
            (Repeatability::IdempotentByKey { .. } | Repeatability::AtMostOnce, Some(_)) => false,
        }
    }

    /// The request is over: nothing more is sent for it, and what is out is called back. It stays known until
    /// each of its attempts has ended, for the counts.
    pub(super) fn ended(&mut self, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.answered = true;
        cancel(&self.set, job, |_| true, out);
        if !job.is_out() {
            self.jobs.remove(&id);
        }
    }
}
