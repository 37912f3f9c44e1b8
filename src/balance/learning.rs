//! What starts, outcomes and reports teach. Interface: `src/interface.rs`.

use super::{cancel, open_to, Balancer, CHARGE, MEMORY};
use crate::interface::*;
use crate::state::*;
use rand::seq::*;
use std::mem::take;

/// Charges and loads end here, in jobs: what was bad for long is tried again a few half-lives later.
const CHARGE_MOST: f64 = 16.0;

impl Balancer {
    pub(super) fn started(&mut self, now: Micros, id: JobId, attempt: u32) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(a) = job.attempts.get_mut(attempt as usize).filter(|a| a.waits()) else {
            return;
        };
        a.started = Some(now);
        let (worker, wait_us) = (a.worker, now.saturating_sub(a.sent) as f64);
        // The shortest usual delay: falls at once, rises slowly.
        self.prompt_us = (self.prompt_us * (1.0 + BLEND)).min(wait_us).max(1.0);
        let w = &mut self.workers[worker as usize];
        w.started += (w.life == a.life) as u32;
        self.just_started.push(id);
        // Where reports tell no queue, or only those asked tell it, the wait tells how many were ahead.
        let told = self.set.reports_count_jobs && !self.set.reports_only_on_probe;
        if !told && wait_us > 2.0 * (self.prompt_us + self.set.batch_interval_us as f64) {
            let jobs = wait_us * self.slots(&self.workers[worker as usize]) / self.work.mean;
            self.note_load(now, worker, 1.0 + jobs);
        }
    }

    /// The moment is over: of the attempts that began in it one is kept, at random (Definition 2). Where the
    /// workers have room to spare those that run may go on, and the first finish wins (Theorem 1).
    pub(super) fn settled(&mut self, now: Micros, out: &mut Vec<Action>) {
        for id in take(&mut self.just_started) {
            let Some(job) = self.jobs.get(&id).filter(|j| !j.answered && !j.streaming) else {
                continue;
            };
            let runs = |a: &Attempt| a.started.is_some() && a.end.is_none() && !a.cancelled;
            let roomy =
                |a: &Attempt| runs(a) && self.load_of(now, &self.workers[a.worker as usize]) < 0.5;
            let roomy: Vec<bool> = job.attempts.iter().map(roomy).collect();
            let begun = (0..roomy.len()).filter(|&i| runs(&job.attempts[i]));
            let Some(keep) = begun.choose(&mut self.rng) else {
                continue;
            };
            self.jobs
                .entry(id)
                .and_modify(|j| cancel(&self.set, j, |i| i != keep && !roomy[i], out));
        }
    }

    pub(super) fn outcome(&mut self, now: Micros, o: AttemptEnd, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&o.job) else {
            return;
        };
        let Some(a) = job
            .attempts
            .get_mut(o.attempt as usize)
            .filter(|a| a.end.is_none())
        else {
            return;
        };
        a.end = Some(o.outcome);
        let (worker, clear, ran) = (a.worker, a.clear, a.started.is_some());
        let (began, class, hint) = (
            a.started.unwrap_or(a.sent),
            job.class,
            job.request.expected_work_us,
        );
        let w = &mut self.workers[worker as usize];
        if w.life == a.life {
            w.ended(now, ran, o.outcome != AttemptOutcome::ConnectFailed);
        }
        self.note_report(now, worker, o.report);
        let load = self.load_of(now, &self.workers[worker as usize]);
        match o.outcome {
            AttemptOutcome::Succeeded => {
                self.fails[class].add(0.0);
                self.clear(now, worker, class);
                self.burned.add(0.0);
                self.rates.age(now);
                self.rates.work += hint.map_or(self.run[class].0.mean, |h| h as f64);
                if clear {
                    self.note_run(worker, class, hint, now.saturating_sub(began).max(1) as f64);
                }
                self.remember(now, worker);
            }
            // A queue is full: as a report would say, and soon out of date.
            AttemptOutcome::Shed if load >= 1.0 => self.note_load(now, worker, load + CHARGE),
            // An empty count would draw the next job, and the next; so would 'full' in spite of room.
            AttemptOutcome::WorkerError
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::ConnectionLost
            | AttemptOutcome::Shed => {
                self.fails[class].add(1.0);
                self.charge(now, worker, class, 1.0, CHARGE);
                let all = f64::from(o.outcome != AttemptOutcome::Shed) * CHARGE;
                self.charge(now, worker, self.best.len(), 1.0, all);
            }
            AttemptOutcome::Cancelled if ran || !self.set.notifies_start => self.burned.add(1.0),
            _ => {}
        }
        let Some(job) = self.jobs.get(&o.job) else {
            return;
        };
        if o.is_final || job.answered {
            self.ended(o.job, out);
        } else if !job.is_out() {
            // A time-out means the client's time; a broken stream cannot be begun again.
            match job.time_is_up(now) || o.outcome == AttemptOutcome::TimedOut || job.streaming {
                true => self.answer(o.job, out),
                false => self.place(now, o.job, out),
            }
        }
    }

    pub(super) fn note_run(&mut self, worker: u32, class: usize, hint: Option<Micros>, run: f64) {
        let (mean, log) = &mut self.run[class];
        let usual = hint.map_or(if log.n > 0.0 { log.mean } else { run.ln() }, |h| {
            (h.max(1) as f64).ln()
        });
        mean.add(run);
        log.add(run.ln());
        let w = &mut self.workers[worker as usize];
        let kind = self.kinds.entry(w.entry.kind).or_default();
        [&mut w.slow, &mut kind.slow]
            .into_iter()
            .for_each(|slow| slow.add(run.ln() - usual));
    }

    pub(super) fn note_report(&mut self, now: Micros, worker: u32, report: Option<LoadReport>) {
        let Some((r, w)) = report.zip(self.workers.get(worker as usize)) else {
            return;
        };
        let kind = self.kinds.entry(w.entry.kind).or_default();
        r.free_slots
            .into_iter()
            .for_each(|free| kind.note_slots(free, r.active, r.waiting));
        let load = match (r.free_slots, r.waiting, r.active, r.busy) {
            (Some(free), _, _, _) if free >= 0.5 => 1.0 / (1.0 + free),
            (_, Some(waiting), _, _) => 1.0 + waiting,
            (Some(_), None, active, _) => 1.0 + (active.unwrap_or(0.0) - kind.slots()).max(0.0),
            (None, None, Some(active), _) => active,
            (_, None, None, Some(busy)) => busy,
            _ => return,
        };
        self.note_load(now, worker, load);
        if self.set.reports_only_on_probe {
            self.remember(now, worker);
        }
    }

    pub(super) fn note_load(&mut self, now: Micros, worker: u32, load: f64) {
        let w = &mut self.workers[worker as usize];
        let load = if load > 0.0 {
            load.min(CHARGE_MOST)
        } else {
            0.0
        }; // a NaN counts as none
        w.seen = Some((now, load));
        self.kinds.entry(w.entry.kind).or_default().load.add(load);
    }

    /// Keeps a part of the charge for a class, or for all (the number of classes), and adds some jobs to it.
    pub(super) fn charge(&mut self, now: Micros, worker: u32, class: usize, keep: f64, jobs: f64) {
        let charge = self.charge_of(now, &self.workers[worker as usize], class) * keep + jobs;
        self.workers[worker as usize].charges[class] = Some((now, charge.min(CHARGE_MOST)));
        let (all, best) = (class == self.best.len(), self.best.iter_mut().enumerate());
        best.for_each(|(c, best)| {
            best.retain(|&b| b != worker || jobs == 0.0 || !(all || c == class))
        });
    }

    /// A worker that serves a class, or is at work on it: less speaks against it, for that class and for all.
    pub(super) fn clear(&mut self, now: Micros, worker: u32, class: usize) {
        [class, self.best.len()]
            .into_iter()
            .for_each(|c| self.charge(now, worker, c, 0.5, 0.0));
    }

    /// Remembers a worker that has served or answered; of more than fit, the highest ranked is forgotten.
    pub(super) fn remember(&mut self, now: Micros, worker: u32) {
        for class in 0..self.best.len() {
            let mut best = take(&mut self.best[class]);
            let open = open_to(&self.set, class + 1, &self.workers[worker as usize].entry);
            if open && !best.contains(&worker) {
                best.push(worker);
            }
            if best.len() > MEMORY {
                self.sort(now, class, &mut best);
                best.truncate(MEMORY);
            }
            self.best[class] = best;
        }
    }
}
