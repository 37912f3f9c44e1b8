//! Hedging: how many copies, when, and the only place that sends. Interface: `src/interface/mod.rs`.

use super::Balancer;
use crate::interface::{Action, JobId, Micros, Repeatability, WorkerId};
use crate::state::{Attempt, Job, Timer};

/// Maximum copies of a job in flight: beyond three or four queues the shortest gains little.
const MAX_COPIES: usize = 4;
/// Penalty, in jobs, each time a job is unanswered at a recheck without start notifications: no more than a wait.
const UNANSWERED_PENALTY: f64 = 1.0;
/// Traffic over its share is served while this part of the slots is free: a reserve for a general slow-down.
const SPARE_CAPACITY_SHARE: f64 = 0.35;

/// A job that no worker can take is held for the shortest latency target divided by this, then retried.
const HOLD_DIVISOR: Micros = 8;
/// The recheck delay stops doubling after this many missed starts.
const MAX_RECHECK_DOUBLINGS: u32 = 8;

/// Which workers may receive a further copy.
#[derive(Clone, Copy, PartialEq)]
enum CopyTarget {
    AnyWorker,
    IdleWorker,
}

impl Balancer {
    /// Own jobs that wait at a worker. Without start notifications the first of them is assumed to run.
    pub(super) fn waiting_jobs(&self, worker: WorkerId) -> usize {
        let worker = &self.workers[worker.index()];
        let running = if self.settings.notifies_start {
            worker.running
        } else {
            1
        };
        worker.in_flight.saturating_sub(running) as usize
    }

    /// Maximum copies that the class and the settings permit, reduced as copies waste work (Claim 1).
    #[allow(clippy::cast_possible_truncation, reason = "at most MAX_COPIES")]
    fn max_copies(&self, job: &Job) -> usize {
        let repeatability = self.settings.classes[job.class].repeatability;
        let may_fork = self.settings.may_cancel && repeatability != Repeatability::AtMostOnce;
        let attempts = self.settings.max_attempts.saturating_sub(1) as usize;
        let limit = MAX_COPIES.min(attempts) as f64 * f64::from(may_fork);
        (limit * (1.0 - 2.0 * self.wasted_copies.mean))
            .round()
            .max(1.0) as usize
    }

    /// Sends a job with no attempt in flight as n copies; n is 1 while no own job waits at the lowest-ranked worker.
    pub(super) fn place(&mut self, now: Micros, id: JobId, actions: &mut Vec<Action>) {
        let candidates = self.candidates(now, id);
        let Some(job) = self.jobs.get(&id).filter(|job| !job.answered) else {
            return;
        };
        let is_exhausted = self.is_exhausted(job) || self.is_useless(now, job);
        let Some(&first) = candidates.first().filter(|_| !is_exhausted) else {
            return self.hold_or_answer(now, id, is_exhausted, actions);
        };
        if self.first_possible_run(job).is_none() && self.should_reject(now, job, &candidates) {
            return self.answer(id, actions);
        }
        let copies = self.max_copies(job).min(1 + self.waiting_jobs(first));
        self.send(now, id, first, actions);
        for _ in 1..copies {
            self.send_copy(now, id, CopyTarget::AnyWorker, actions);
        }
        self.schedule_recheck(now, id, actions);
    }

    /// Holds a job without an eligible worker only while it can be in time and cannot have run; else answers it.
    fn hold_or_answer(
        &mut self,
        now: Micros,
        id: JobId,
        is_exhausted: bool,
        actions: &mut Vec<Action>,
    ) {
        let job = &self.jobs[&id];
        let may_have_run = self.first_possible_run(job).is_some();
        if is_exhausted || may_have_run || job.over_share || self.is_too_late(now, job, None) {
            return self.answer(id, actions);
        }
        let hold_us = self.settings.shortest_latency_target_us() / HOLD_DIVISOR;
        actions.push(Timer::Recheck(id).after(hold_us));
    }

    /// Whether to reject a job: its tenant exceeds its share while capacity is short, or it would end too late at
    /// every candidate.
    fn should_reject(&self, now: Micros, job: &Job, workers: &[WorkerId]) -> bool {
        let excess_load = |id: &WorkerId| {
            let worker = &self.workers[id.index()];
            self.load(now, worker) - 1.0 / (1.0 + SPARE_CAPACITY_SHARE * self.slots(worker))
        };
        job.over_share && workers.iter().map(excess_load).sum::<f64>() > 0.0
            || workers
                .iter()
                .all(|&worker| self.is_too_late(now, job, Some(worker)))
    }

    fn is_exhausted(&self, job: &Job) -> bool {
        job.attempts.len() >= self.settings.max_attempts as usize
    }

    /// Sends a further copy. Copies of a job with a subject go only to its affinity workers.
    fn send_copy(&mut self, now: Micros, id: JobId, target: CopyTarget, actions: &mut Vec<Action>) {
        let candidates = self.candidates(now, id);
        let Some((&worker, job)) = candidates.first().zip(self.jobs.get(&id)) else {
            return;
        };
        let is_target = target == CopyTarget::AnyWorker || self.rank(now, worker, job.class) < 1.0;
        let preferred = &job.affinity_workers;
        if is_target && (preferred.is_empty() || preferred.contains(&worker)) {
            self.send(now, id, worker, actions);
        }
    }

    /// Schedules the recheck of a job in flight; the delay doubles with each missed start.
    #[allow(clippy::cast_possible_truncation, reason = "as saturates")]
    fn schedule_recheck(&mut self, now: Micros, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let typical_us = if self.settings.notifies_start {
            self.start_delay_us + self.settings.batch_interval_us as f64
        } else {
            self.expected_work(job)
        };
        let multiple = f64::from(2u32 << job.missed_starts.min(MAX_RECHECK_DOUBLINGS));
        let useless_in_us = self
            .useless_from(job)
            .map_or(Micros::MAX, |from| from.saturating_sub(now));
        let delay_us = ((typical_us * multiple) as Micros).min(useless_in_us);
        actions.push(Timer::Recheck(id).after(delay_us));
        let recheck_at = now.saturating_add(delay_us);
        self.jobs
            .entry(id)
            .and_modify(|job| job.recheck_at = recheck_at);
    }

    /// When an unstarted job begins to only waste work and delay those behind it; `None` unless a late answer is worth
    /// nothing, a cancel frees its place, and the client does not retry a failure.
    #[allow(clippy::cast_possible_truncation, reason = "as saturates")]
    fn useless_from(&self, job: &Job) -> Option<Micros> {
        let (class, work) = (&self.settings.classes[job.class], self.expected_work(job));
        let is_bounded = self.settings.may_cancel
            && self.settings.notifies_start
            && class.late_value_share == 0.0
            && !self.may_reject(job);
        let stretch = (class.latency_target_stretch - 1.0).max(0.0);
        let latest_start = class.latency_target_us as f64 + stretch * work;
        is_bounded.then(|| job.arrived_at.saturating_add(latest_start as Micros))
    }

    fn is_useless(&self, now: Micros, job: &Job) -> bool {
        self.useless_from(job)
            .is_some_and(|useless_from| now >= useless_from)
    }

    /// A job that is not yet known to run counts as an own waiting job, so n grows by one for it.
    pub(super) fn on_recheck(&mut self, now: Micros, id: JobId, actions: &mut Vec<Action>) {
        let notifies_start = self.settings.notifies_start;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if !job.is_in_flight() {
            return self.place(now, id, actions);
        }
        let is_running = notifies_start && job.attempts.iter().any(Attempt::is_running);
        if job.answered || job.streaming || is_running || now < job.recheck_at {
            return;
        }
        job.missed_starts += 1;
        let job = &self.jobs[&id];
        if self.is_useless(now, job) {
            return self.answer(id, actions);
        }
        let waiting = job.workers_in_flight();
        // Reserves one attempt for a retry.
        let may_add_copy = job.attempts.len() + 1 < self.settings.max_attempts as usize
            && waiting.len() < self.max_copies(job);
        // Without start notifications no start cancels the other copies, so a copy goes to an idle worker only.
        let mut target = CopyTarget::AnyWorker;
        if !notifies_start {
            target = CopyTarget::IdleWorker;
            for worker in waiting {
                self.update_penalty(now, worker, self.all_classes(), 1.0, UNANSWERED_PENALTY);
            }
        }
        if may_add_copy {
            self.send_copy(now, id, target, actions);
        }
        self.schedule_recheck(now, id, actions);
    }

    /// The only place that sends attempts; it checks every rule on them.
    fn send(&mut self, now: Micros, id: JobId, worker: WorkerId, actions: &mut Vec<Action>) {
        let Some(job) = self
            .jobs
            .get(&id)
            .filter(|job| !job.answered && !job.streaming)
        else {
            return;
        };
        let is_over = self.is_exhausted(job) || job.is_expired(now);
        if is_over || !self.is_eligible(now, job, worker) {
            return;
        }
        let work = self.expected_work(job);
        let attempt = self.begin_attempt(now, worker, work);
        self.jobs
            .entry(id)
            .and_modify(|job| job.attempts.push(attempt));
        actions.push(Action::Send { job: id, worker });
    }

    /// Counts a sent attempt at its worker.
    fn begin_attempt(&mut self, now: Micros, id: WorkerId, work: f64) -> Attempt {
        self.work.add(work);
        let worker = &self.workers[id.index()];
        let share = self.slow_start_share(now, worker);
        let is_idle = worker.in_flight == 0 && self.load(now, worker) < 1.0;
        self.slow_starts[id.index()].spend(now, share, work);
        let worker = &mut self.workers[id.index()];
        worker.on_attempt_sent(now, &self.settings);
        Attempt {
            worker: id,
            incarnation: worker.incarnation,
            sent_at: now,
            is_measurable: self.settings.notifies_start || is_idle,
            ..Attempt::default()
        }
    }
}
