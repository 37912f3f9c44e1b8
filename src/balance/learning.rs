//! Updates estimates from starts, outcomes and load reports. Interface: `src/interface/mod.rs`.

use super::{Balancer, FAILURE_PENALTY, MAX_BEST_WORKERS};
use crate::interface::{Action, AttemptEnd, AttemptOutcome, JobId, LoadReport, Micros, WorkerId};
use crate::state::{Attempt, EndedAttempt, Observation, SMOOTHING_FACTOR};
use rand::seq::IteratorRandom;
use std::mem::take;

/// Maximum penalty or load of a worker, in jobs: after long faults it is retried within a few half-lives.
const MAX_PENALTY: f64 = 16.0;
/// Part of a penalty that remains after the worker makes progress with a job.
const PENALTY_LEFT_AFTER_PROGRESS: f64 = 0.5;
/// Below this load by others, in jobs, a worker may finish a copy of a job that also runs elsewhere.
const MAX_LOAD_FOR_SECOND_RUN: f64 = 0.5;

impl Balancer {
    pub(super) fn on_started(&mut self, now: Micros, id: JobId, attempt: u32) {
        let attempt = self
            .jobs
            .get_mut(&id)
            .and_then(|job| job.attempts.get_mut(attempt as usize));
        let Some(attempt) = attempt.filter(|attempt| attempt.is_waiting()) else {
            return;
        };
        attempt.started_at = Some(now);
        let (worker_id, delay_us) = (attempt.worker, now.saturating_sub(attempt.sent_at) as f64);
        // The shortest typical delay: falls at once, rises slowly.
        let typical_us = self.start_delay_us * (1.0 + SMOOTHING_FACTOR);
        self.start_delay_us = typical_us.min(delay_us).max(1.0);
        let worker = &mut self.workers[worker_id.index()];
        worker.running += u32::from(worker.incarnation == attempt.incarnation);
        self.started_in_batch.push(id);
        // Where reports omit the queue, or come only on a probe, the delay shows how many jobs were ahead.
        let is_queue_reported =
            self.settings.reports_count_jobs && !self.settings.reports_only_on_probe;
        let prompt_us = self.start_delay_us + self.settings.batch_interval_us as f64;
        if !is_queue_reported && delay_us > 2.0 * prompt_us {
            let jobs = delay_us * self.slots(&self.workers[worker_id.index()]) / self.work.mean;
            self.note_load(now, worker_id, 1.0 + jobs);
        }
    }

    /// Progress shows that the worker responds, which reduces its penalties.
    pub(super) fn on_progress(&mut self, now: Micros, id: JobId, attempt: u32) {
        let job = self.jobs.get(&id);
        let attempt = job.and_then(|job| Some((job.attempts.get(attempt as usize)?, job.class)));
        if let Some((attempt, class)) = attempt {
            self.reduce_penalties(now, attempt.worker, class);
        }
    }

    pub(super) fn on_stream_began(&mut self, id: JobId, attempt: u32, actions: &mut Vec<Action>) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.streaming = true;
            job.cancel_attempts(&self.settings, |number| number != attempt, actions);
        }
    }

    /// Keeps one attempt, at random, of each job that started in this batch (Definition 2). Attempts that run at
    /// workers with free capacity may continue, and the first to finish wins (Theorem 1).
    pub(super) fn on_batch_end(&mut self, now: Micros, actions: &mut Vec<Action>) {
        for id in take(&mut self.started_in_batch) {
            let Some(job) = self
                .jobs
                .get(&id)
                .filter(|job| !job.answered && !job.streaming)
            else {
                continue;
            };
            let runs = |attempt: &Attempt| attempt.is_running() && !attempt.cancelled;
            let load = |attempt: &Attempt| self.load(now, &self.workers[attempt.worker.index()]);
            let may_continue =
                |attempt: &Attempt| runs(attempt) && load(attempt) < MAX_LOAD_FOR_SECOND_RUN;
            let may_continue: Vec<bool> = job.attempts.iter().map(may_continue).collect();
            let running = (0..may_continue.len()).filter(|&index| runs(&job.attempts[index]));
            let Some(kept) = running.choose(&mut self.rng) else {
                continue;
            };
            let is_cancelled = |number: u32| {
                let index = number as usize;
                index != kept && !may_continue[index]
            };
            let job = self.jobs.entry(id);
            job.and_modify(|job| job.cancel_attempts(&self.settings, is_cancelled, actions));
        }
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        now: Micros,
        end: &AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        let job = self.jobs.get_mut(&end.job);
        let Some(ended) = job.and_then(|job| job.end_attempt(now, end)) else {
            return;
        };
        let worker = &mut self.workers[ended.worker.index()];
        worker.on_attempt_ended(now, &ended);
        self.note_report(now, ended.worker, end.report);
        self.learn_from_outcome(now, &ended);
        let Some(job) = self.jobs.get(&end.job) else {
            return;
        };
        if end.is_final || job.answered {
            self.finish(end.job, actions);
        } else if !job.is_in_flight() {
            // After a time-out the client no longer waits; a broken stream cannot be restarted.
            let is_timed_out = job.is_expired(now) || end.outcome == AttemptOutcome::TimedOut;
            if is_timed_out || job.streaming {
                self.answer(end.job, actions);
            } else {
                self.place(now, end.job, actions);
            }
        }
    }

    fn learn_from_outcome(&mut self, now: Micros, ended: &EndedAttempt) {
        let (worker, class) = (ended.worker, ended.class);
        let load = self.load(now, &self.workers[worker.index()]);
        match ended.outcome {
            AttemptOutcome::Succeeded => self.learn_from_success(now, ended),
            // The queue is full: equivalent to a load report, and soon out of date.
            AttemptOutcome::Shed if load >= 1.0 => {
                self.note_load(now, worker, load + FAILURE_PENALTY);
            }
            // A failing worker, or one that sheds despite free slots, has few jobs in flight and would attract more.
            AttemptOutcome::WorkerError
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::ConnectionLost
            | AttemptOutcome::Shed => {
                self.failure_rates[class].add(1.0);
                self.update_penalty(now, worker, class, 1.0, FAILURE_PENALTY);
                let is_failure = ended.outcome != AttemptOutcome::Shed;
                let penalty = f64::from(is_failure) * FAILURE_PENALTY;
                self.update_penalty(now, worker, self.all_classes(), 1.0, penalty);
            }
            AttemptOutcome::Cancelled if ended.was_running || !self.settings.notifies_start => {
                self.wasted_copies.add(1.0);
            }
            AttemptOutcome::Cancelled | AttemptOutcome::TimedOut | AttemptOutcome::NotSent => {}
        }
    }

    fn learn_from_success(&mut self, now: Micros, ended: &EndedAttempt) {
        self.failure_rates[ended.class].add(0.0);
        self.reduce_penalties(now, ended.worker, ended.class);
        self.wasted_copies.add(0.0);
        self.rates.decay(now);
        let average = self.running_times[ended.class].mean;
        self.rates.work += ended
            .expected_work_us
            .map_or(average, |work_us| work_us as f64);
        if let Some(running_time_us) = ended.running_time_us {
            self.note_running_time(ended, running_time_us as f64);
        }
        self.add_best_worker(now, ended.worker);
    }

    fn note_running_time(&mut self, ended: &EndedAttempt, running_time_us: f64) {
        let log_times = &mut self.log_running_times[ended.class];
        let log_time = running_time_us.ln();
        let average = match ended.expected_work_us {
            Some(work_us) => (work_us.max(1) as f64).ln(),
            None if log_times.count > 0.0 => log_times.mean,
            None => log_time,
        };
        log_times.add(log_time);
        self.running_times[ended.class].add(running_time_us);
        let worker = &mut self.workers[ended.worker.index()];
        let kind = self.kinds.entry(worker.endpoint.kind).or_default();
        worker.log_slowness.add(log_time - average);
        kind.log_slowness.add(log_time - average);
    }

    pub(super) fn note_report(&mut self, now: Micros, id: WorkerId, report: Option<LoadReport>) {
        let Some((report, worker)) = report.zip(self.workers.get(id.index())) else {
            return;
        };
        let kind = self.kinds.entry(worker.endpoint.kind).or_default();
        if let Some(free) = report.free_slots {
            kind.note_slots(free, report.active, report.waiting);
        }
        let load = match (
            report.free_slots,
            report.waiting,
            report.active,
            report.busy,
        ) {
            (Some(free), _, _, _) if free >= 0.5 => 1.0 / (1.0 + free),
            (_, Some(waiting), _, _) => 1.0 + waiting,
            (Some(_), None, active, _) => 1.0 + (active.unwrap_or(0.0) - kind.slots()).max(0.0),
            (None, None, Some(active), _) => active,
            (None, None, None, Some(busy)) => busy,
            (None, None, None, None) => return,
        };
        self.note_load(now, id, load);
        if self.settings.reports_only_on_probe {
            self.add_best_worker(now, id);
        }
    }

    fn note_load(&mut self, now: Micros, id: WorkerId, load: f64) {
        let worker = &mut self.workers[id.index()];
        let value = if load > 0.0 {
            load.min(MAX_PENALTY)
        } else {
            0.0
        }; // NaN counts as no load
        worker.observed_load = Some(Observation { at: now, value });
        let kind = self.kinds.entry(worker.endpoint.kind).or_default();
        kind.load.add(value);
    }

    /// Multiplies the penalty of a worker, for one class or for all, by `kept` and adds `jobs`. A worker with an
    /// added penalty is removed from the best workers.
    pub(super) fn update_penalty(
        &mut self,
        now: Micros,
        id: WorkerId,
        class: usize,
        kept: f64,
        jobs: f64,
    ) {
        let worker = &self.workers[id.index()];
        let value = (self.penalty(now, worker, class) * kept + jobs).min(MAX_PENALTY);
        self.workers[id.index()].penalties[class] = Some(Observation { at: now, value });
        let all_classes = self.all_classes();
        for (index, best) in self.best_workers.iter_mut().enumerate() {
            if jobs != 0.0 && (class == all_classes || class == index) {
                best.retain(|&best_worker| best_worker != id);
            }
        }
    }

    /// Reduces a worker's penalties, for a class and for all classes, after progress with a job.
    fn reduce_penalties(&mut self, now: Micros, worker: WorkerId, class: usize) {
        self.update_penalty(now, worker, class, PENALTY_LEFT_AFTER_PROGRESS, 0.0);
        self.update_penalty(
            now,
            worker,
            self.all_classes(),
            PENALTY_LEFT_AFTER_PROGRESS,
            0.0,
        );
    }

    /// Adds a worker that served a job or answered a probe; beyond the maximum, drops the highest ranked.
    fn add_best_worker(&mut self, now: Micros, worker: WorkerId) {
        for class in 0..self.best_workers.len() {
            let mut best = take(&mut self.best_workers[class]);
            let endpoint = &self.workers[worker.index()].endpoint;
            if self.settings.classes[class].permits(endpoint) && !best.contains(&worker) {
                best.push(worker);
            }
            if best.len() > MAX_BEST_WORKERS {
                self.sort_by_rank(now, class, &mut best);
                best.truncate(MAX_BEST_WORKERS);
            }
            self.best_workers[class] = best;
        }
    }
}
