//! Which worker: own jobs there, what is added to the count, and what forbids it. See `src/interface.rs`.

use super::{open_to, ramp::Part, Balancer, CHARGE};
use crate::interface::*;
use crate::state::*;
use rand::seq::*;
use std::f64::consts::LN_2;

/// Workers sampled for a ranking, from the own zone and from all alike: few, so cost follows the sample.
const SAMPLE: usize = 6;
/// Jobs that a worker of another zone must be ahead by: a crossing costs little beside a wait.
const CROSSING: f64 = 0.25;
/// Jobs ahead that cost about the whole worth of a request: they weigh what a new connection costs.
const WORTH: f64 = 5.0;
/// A job may cost this many times what its class costs on average; a cold worker must bear that.
const HEAVY: f64 = 3.0;

impl Balancer {
    /// Own jobs at the worker; in jobs too, its charges and, to break ties, others' load, slowness, distance.
    pub(super) fn rank(&self, now: Micros, id: u32, class: usize) -> f64 {
        let w = &self.workers[id as usize];
        let crossing = if w.entry.zone == self.set.local_zone {
            0.0
        } else {
            CROSSING
        };
        let connecting =
            f64::from(w.out >= w.carries(now, &self.set)) * WORTH * self.set.connection_cost;
        let others = (self.load_of(now, w) + 0.5) * self.slowness(w);
        w.out as f64
            + self.charge_of(now, w, class)
            + self.charge_of(now, w, self.best.len())
            + others
            + crossing
            + connecting
    }

    /// What speaks against a worker for a class: what was seen fades to what is usual for the class.
    pub(super) fn charge_of(&self, now: Micros, w: &Worker, class: usize) -> f64 {
        let usual = self.fails.get(class).map_or(0.0, |f| f.mean * CHARGE);
        fading(
            w.charges[class],
            usual,
            now,
            self.set.warm_up_us.max(1_000_000) as f64 / LN_2,
        )
    }

    /// Load by others: what was seen fades to the usual of its kind; one for all would jam fast ones unseen.
    pub(super) fn load_of(&self, now: Micros, w: &Worker) -> f64 {
        let usual = self.kinds.get(&w.entry.kind).map_or(0.0, |k| k.load.mean);
        fading(
            w.seen,
            (1.0 + usual) * self.held(w) - 1.0,
            now,
            2.0 * self.work.mean,
        )
    }

    /// Where only those asked tell their load, a live weight tells it of all: size over one and jobs held.
    pub(super) fn held(&self, w: &Worker) -> f64 {
        let live = self.set.weight_meaning == WeightMeaning::Live && self.set.reports_only_on_probe;
        self.pools.size(w).max(0.1).powi(-i32::from(live))
    }

    pub(super) fn slots(&self, w: &Worker) -> f64 {
        self.kinds.get(&w.entry.kind).map_or(1.0, Kind::slots)
    }

    /// Running time here over the usual: of the worker, while little is known of its kind, then as listed.
    pub(super) fn slowness(&self, w: &Worker) -> f64 {
        let listed = -(self.pools.size(w) * self.held(w))
            .max(1e-9)
            .ln()
            .clamp(-1.0, 1.0);
        let kind = self
            .kinds
            .get(&w.entry.kind)
            .map_or(listed, |k| k.slow.or(listed));
        w.slow.or(kind).exp()
    }

    pub(super) fn sort(&self, now: Micros, class: usize, workers: &mut [u32]) {
        workers.sort_by_cached_key(|&w| (self.rank(now, w, class) * 1e6) as i64);
    }

    /// Eligible workers for the next attempt of a job, lowest rank first: a sample and the best remembered.
    pub(super) fn ranked(&mut self, now: Micros, id: JobId) -> Vec<u32> {
        let Some(job) = self.jobs.get(&id) else {
            return Vec::new();
        };
        let first = self
            .bound(job)
            .map(|a| &self.workers[a.worker as usize].entry);
        let pool = match (self.set.classes[job.class].repeatability, first) {
            (
                Repeatability::IdempotentByKey {
                    scope: DeduplicationScope::Cell,
                    ..
                },
                Some(e),
            ) => Pool::Cell(job.open, e.cell),
            (
                Repeatability::IdempotentByKey {
                    scope: DeduplicationScope::Zone,
                    ..
                },
                Some(e),
            ) => Pool::Zone(job.open, e.zone),
            _ => Pool::All(job.open),
        };
        let (all, best) = (self.pools.of(pool), &self.best[job.class]);
        let own_zone = Pool::Zone(job.open, self.set.local_zone);
        let near = self.pools.of(if matches!(pool, Pool::All(_)) {
            own_zone
        } else {
            pool
        });
        // Away from its homes a subject's data must be fetched; of workers not asked no load is known.
        let known = if job.homes.is_empty() && self.set.reports_only_on_probe {
            best
        } else {
            &job.homes
        };
        let mut picks: Vec<u32> = known
            .iter()
            .copied()
            .filter(|&w| self.eligible(now, job, w))
            .collect();
        if picks.is_empty() {
            let cold = |w: &u32| self.present_share(now, &self.workers[*w as usize].entry) < 1.0;
            let cold = all
                .iter()
                .copied()
                .filter(|w| cold(w) && self.eligible(now, job, *w));
            picks = cold.collect(); // those with credit are few, and stand idle
            picks.extend(all.choose_multiple(&mut self.rng, SAMPLE));
            picks.extend(near.choose_multiple(&mut self.rng, SAMPLE));
            picks.extend(best);
            picks.retain(|&w| self.eligible(now, job, w));
            picks.sort_unstable();
            picks.dedup();
        }
        if picks.is_empty() {
            picks = all
                .iter()
                .copied()
                .filter(|&w| self.eligible(now, job, w))
                .take(SAMPLE)
                .collect();
        }
        picks.shuffle(&mut self.rng); // ties go at random
        self.sort(now, job.class, &mut picks);
        picks
    }

    /// All that may forbid an attempt at this worker; the one sending place asks again.
    pub(super) fn eligible(&self, now: Micros, job: &Job, id: u32) -> bool {
        let w = &self.workers[id as usize];
        w.entry.state == EndpointState::Ready
            && open_to(&self.set, job.open, &w.entry)
            && !job
                .attempts
                .iter()
                .any(|a| a.worker == id && a.life == w.life)
            && (self.set.may_duplicate || !job.is_out())
            && self
                .bound(job)
                .is_none_or(|a| self.bears(now, job, a, &w.entry))
            && self.cold_room(now, job, w)
    }

    /// The first attempt that may have run, copies still out included: it fixes a keyed job's group, window,
    /// and an unsafe job's only try. Where workers shed what they had begun, 'full' proves nothing.
    pub(super) fn bound<'a>(&self, job: &'a Job) -> Option<&'a Attempt> {
        job.attempts.iter().find(|a| !self.never_ran(a))
    }

    fn never_ran(&self, a: &Attempt) -> bool {
        matches!(
            a.end,
            Some(AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
        ) || a.end == Some(AttemptOutcome::Shed) && !self.set.shed_may_have_run
    }

    /// Whether a job's class bears an attempt there after, or beside, one that may have run.
    fn bears(&self, now: Micros, job: &Job, a: &Attempt, e: &Endpoint) -> bool {
        let first = &self.workers[a.worker as usize].entry;
        match self.set.classes[job.class].repeatability {
            Repeatability::Idempotent => true,
            Repeatability::AtMostOnce => false,
            Repeatability::IdempotentByKey { scope, window_us } => {
                (scope != DeduplicationScope::Zone || first.zone == e.zone)
                    && (scope != DeduplicationScope::Cell || first.cell == e.cell)
                    && now < a.sent.saturating_add(window_us)
            }
        }
    }

    /// Whether an attempt that was decided on may still begin. Asked when its connection is there, which may
    /// be late: by then the job may be answered, the worker leaving or another life, and a window over.
    pub fn may_begin(&self, now: Micros, job: JobId, attempt: u32) -> bool {
        let found = self
            .jobs
            .get(&job)
            .and_then(|j| Some((j, j.attempts.get(attempt as usize)?)));
        let open = |(j, a): &(&Job, &Attempt)| {
            !j.answered && !j.time_is_up(now) && a.waits() && !a.cancelled
        };
        let Some((job, a)) = found.filter(open) else {
            return false;
        };
        let w = &self.workers[a.worker as usize];
        let mut others = job
            .attempts
            .iter()
            .filter(|b| !std::ptr::eq(*b, a) && !self.never_ran(b));
        w.entry.state == EndpointState::Ready
            && w.life == a.life
            && others.all(|b| self.bears(now, job, b, &w.entry))
    }

    /// Guards a cold worker: nothing that could be too heavy for it alone, and no more than its present share
    /// of what a warm one gets from here. If all keep to that it gets a warm one's load for its capacity.
    pub(super) fn cold_room(&self, now: Micros, job: &Job, w: &Worker) -> bool {
        let share = self.present_share(now, &w.entry);
        let bearable = share * self.set.overload_multiple * self.set.overload_tolerance_us as f64;
        share >= 1.0
            || (self.work_of(job) * HEAVY <= bearable
                && w.ramp.left(now, self.part_of(now, w)) >= 0.0)
    }

    pub(super) fn present_share(&self, now: Micros, e: &Endpoint) -> f64 {
        let warm = now.saturating_sub(e.started_at_us) as f64 / self.set.warm_up_us.max(1) as f64;
        let warm = if e.started_at_us == 0 {
            1.0
        } else {
            warm.min(1.0)
        };
        self.set.start_capacity + (1.0 - self.set.start_capacity) * warm
    }

    /// This dispatcher's part of a cold worker.
    pub(super) fn part_of(&self, now: Micros, w: &Worker) -> Part {
        let size = if self.set.weight_meaning == WeightMeaning::Size {
            self.pools.size(w)
        } else {
            1.0
        };
        let usual = self.rates.work / RATE_US / self.pools.of(Pool::All(0)).len() as f64 * size;
        Part::of(
            &self.set,
            self.slots(w),
            self.present_share(now, &w.entry),
            usual,
            self.work.mean,
        )
    }

    /// Work expected of a job: its hint, or the usual of its class; at first the aim, which is of that order.
    pub(super) fn work_of(&self, job: &Job) -> f64 {
        job.request
            .expected_work_us
            .map_or(self.run[job.class].0.mean, |h| h as f64)
            .max(1.0)
    }
}
