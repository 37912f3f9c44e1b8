//! Hedging: how many copies, when, and the one place that sends. See `src/interface/mod.rs`.

use super::Balancer;
use crate::interface::{Action, JobId, Micros, Repeatability, WorkerId};
use crate::state::{Attempt, Job, Timer};

/// Most copies of a job in flight: past three or four queues the shortest gains little more.
const MAX_COPIES: usize = 4;
/// Penalty, in jobs, each time a job is found unanswered where starts are not notified: no worse than a wait.
const SILENCE_PENALTY: f64 = 1.0;
/// Traffic beyond its share is served while this part of the slots is free: room for one slow-down of all.
const SPARE_CAPACITY_SHARE: f64 = 0.35;

/// A job that no worker can take is held for one over this of the shortest latency target, and tried again.
const HOLD_DIVISOR: Micros = 8;
/// After this many missed starts the delay until the next recheck doubles no more.
const MAX_RECHECK_DOUBLINGS: u32 = 8;

/// Where a further copy may go.
#[derive(Clone, Copy, PartialEq)]
enum CopyTarget {
    AnyWorker,
    IdleWorker,
}

impl Balancer {
    /// Own jobs that wait at a worker. Without start notifications the first of them is taken to run.
    pub(super) fn waiting_jobs(&self, worker: WorkerId) -> usize {
        let worker = &self.workers[worker.index()];
        let running = if self.settings.notifies_start {
            worker.running
        } else {
            1
        };
        worker.in_flight.saturating_sub(running) as usize
    }

    /// The most copies that the class and the settings permit, fewer as copies waste work (Claim 1).
    #[allow(clippy::cast_possible_truncation, reason = "at most MAX_COPIES")]
    fn max_copies(&self, job: &Job) -> usize {
        let repeatability = self.settings.classes[job.class].repeatability;
        let may_fork = self.settings.may_cancel && repeatability != Repeatability::AtMostOnce;
        let attempts = self.settings.max_attempts.saturating_sub(1) as usize;
        let most = MAX_COPIES.min(attempts) as f64 * f64::from(may_fork);
        (most * (1.0 - 2.0 * self.wasted_copies.mean))
            .round()
            .max(1.0) as usize
    }

    /// Sends a job that has nothing in flight: n copies, n being 1 while no own job waits at the lowest ranked worker.
    pub(super) fn place(&mut self, now: Micros, id: JobId, actions: &mut Vec<Action>) {
        let candidates = self.candidates(now, id);
        let Some(job) = self.jobs.get(&id).filter(|job| !job.answered) else {
            return;
        };
        let is_exhausted = self.is_exhausted(job) || self.is_futile(now, job);
        let Some(&first) = candidates.first().filter(|_| !is_exhausted) else {
            return self.hold_or_answer(now, id, is_exhausted, actions);
        };
        if self.first_possible_run(job).is_none() && self.is_unwanted(now, job, &candidates) {
            return self.answer(id, actions);
        }
        let copies = self.max_copies(job).min(1 + self.waiting_jobs(first));
        self.send(now, id, first, actions);
        for _ in 1..copies {
            self.send_copy(now, id, CopyTarget::AnyWorker, actions);
        }
        self.schedule_recheck(now, id, actions);
    }

    /// With no worker to send it to a job is held only while it can be in time, and never once it may have run.
    fn hold_or_answer(
        &mut self,
        now: Micros,
        id: JobId,
        is_exhausted: bool,
        actions: &mut Vec<Action>,
    ) {
        let job = &self.jobs[&id];
        let may_have_run = self.first_possible_run(job).is_some();
        if is_exhausted || may_have_run || job.over_share || self.is_hopeless(now, job, None) {
            return self.answer(id, actions);
        }
        let hold_us = self.settings.shortest_latency_target_us() / HOLD_DIVISOR;
        actions.push(Timer::Recheck(id).after(hold_us));
    }

    /// Whether sending a job gains little: it is beyond its tenant's share while capacity is short, or it would end
    /// too late at each of the workers.
    fn is_unwanted(&self, now: Micros, job: &Job, workers: &[WorkerId]) -> bool {
        let excess_load = |id: &WorkerId| {
            let worker = &self.workers[id.index()];
            self.load(now, worker) - 1.0 / (1.0 + SPARE_CAPACITY_SHARE * self.slots(worker))
        };
        job.over_share && workers.iter().map(excess_load).sum::<f64>() > 0.0
            || workers
                .iter()
                .all(|&worker| self.is_hopeless(now, job, Some(worker)))
    }

    fn is_exhausted(&self, job: &Job) -> bool {
        job.attempts.len() >= self.settings.max_attempts as usize
    }

    /// Sends a further copy. Copies of a job with a subject go to its affinity workers only.
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

    /// How long a job may be in flight before it counts as waiting: longer each time.
    #[allow(clippy::cast_possible_truncation, reason = "as saturates")]
    fn schedule_recheck(&mut self, now: Micros, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let usual_us = if self.settings.notifies_start {
            self.start_delay_us + self.settings.batch_interval_us as f64
        } else {
            self.expected_work(job)
        };
        let multiple = f64::from(2u32 << job.missed_starts.min(MAX_RECHECK_DOUBLINGS));
        let futile_in_us = self
            .futile_from(job)
            .map_or(Micros::MAX, |from| from.saturating_sub(now));
        let delay_us = ((usual_us * multiple) as Micros).min(futile_in_us);
        actions.push(Timer::Recheck(id).after(delay_us));
        let recheck_at = now.saturating_add(delay_us);
        self.jobs
            .entry(id)
            .and_modify(|job| job.recheck_at = recheck_at);
    }

    /// When a job that has not begun can only run in vain and delay those behind it: where a late answer is worth
    /// nothing, a cancel frees its place, and the client does not ask again for what failed.
    #[allow(clippy::cast_possible_truncation, reason = "as saturates")]
    fn futile_from(&self, job: &Job) -> Option<Micros> {
        let (class, work) = (&self.settings.classes[job.class], self.expected_work(job));
        let is_bounded = self.settings.may_cancel
            && self.settings.notifies_start
            && class.late_value_share == 0.0
            && !self.may_reject(job);
        let stretch = (class.latency_target_stretch - 1.0).max(0.0);
        let latest_start = class.latency_target_us as f64 + stretch * work;
        is_bounded.then(|| job.arrived_at.saturating_add(latest_start as Micros))
    }

    fn is_futile(&self, now: Micros, job: &Job) -> bool {
        self.futile_from(job)
            .is_some_and(|futile_from| now >= futile_from)
    }

    /// A job that is still not known to run is an own job that waits, and so n grows by one for it.
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
        if self.is_futile(now, job) {
            return self.answer(id, actions);
        }
        let waiting = job.workers_in_flight();
        // One attempt is left for a retry.
        let may_add_copy = job.attempts.len() + 1 < self.settings.max_attempts as usize
            && waiting.len() < self.max_copies(job);
        // Where no start would cancel the others a copy goes to an idle worker only.
        let mut target = CopyTarget::AnyWorker;
        if !notifies_start {
            target = CopyTarget::IdleWorker;
            for worker in waiting {
                self.update_penalty(now, worker, self.all_classes(), 1.0, SILENCE_PENALTY);
            }
        }
        if may_add_copy {
            self.send_copy(now, id, target, actions);
        }
        self.schedule_recheck(now, id, actions);
    }

    /// The one place that sends. Every rule on attempts is checked here.
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

    /// Counts an attempt that is sent.
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
