//! How many copies, when, and the one place that sends. See `src/interface.rs`.

use super::Balancer;
use crate::interface::*;
use crate::state::*;

/// Most copies of a job at once: past three or four queues the shortest gains little more.
const CEILING: usize = 4;
/// Charge, in jobs, each time a job is found still unanswered where no start is told: no worse than a wait.
const SILENCE: f64 = 1.0;
/// Traffic beyond its share is served while this part of the slots is free: room for one slow-down of all.
const SPARE: f64 = 0.35;

impl Balancer {
    /// Own jobs waiting at a worker. Without start notices the first of them is taken to run.
    pub(super) fn waiting(&self, id: u32) -> usize {
        let w = &self.workers[id as usize];
        w.out.saturating_sub(if self.set.notifies_start {
            w.started
        } else {
            1
        }) as usize
    }

    /// The most copies that the rules and the permissions bear, lowered as copies burn work (Claim 1).
    pub(super) fn ceiling(&self, job: &Job) -> usize {
        let forks = self.set.may_cancel
            && self.set.classes[job.class].repeatability != Repeatability::AtMostOnce;
        let most =
            CEILING.min(self.set.max_attempts.saturating_sub(1) as usize) as f64 * f64::from(forks);
        (most * (1.0 - 2.0 * self.burned.mean)).round().max(1.0) as usize
    }

    /// Sends a job that has nothing out: n copies, n being 1 while none of ours waits at the lowest ranked.
    pub(super) fn place(&mut self, now: Micros, id: JobId, out: &mut Vec<Action>) {
        let ranked = self.ranked(now, id);
        let Some(job) = self.jobs.get(&id).filter(|j| !j.answered) else {
            return;
        };
        let mut spent = job.attempts.len() >= self.set.max_attempts as usize;
        spent |= self.waste_at(job).is_some_and(|late| now >= late);
        let Some(&first) = ranked.first().filter(|_| !spent) else {
            // With none to send to it is held only while it can be in time, and never once it may have run.
            if spent || self.bound(job).is_some() || job.over_share || self.hopeless(now, job, None)
            {
                return self.answer(id, out);
            }
            return out.push(job.timer(self.set.shortest_aim() / 8, 1));
        };
        // Worth little while room is short, or nothing by the time it is done.
        let spare = |w: &Worker| self.load_of(now, w) - 1.0 / (1.0 + SPARE * self.slots(w));
        let short = ranked
            .iter()
            .map(|&w| spare(&self.workers[w as usize]))
            .sum::<f64>()
            > 0.0;
        let unwanted =
            job.over_share && short || ranked.iter().all(|&w| self.hopeless(now, job, Some(w)));
        if unwanted && self.bound(job).is_none() {
            return self.answer(id, out);
        }
        let n = self.ceiling(job).min(1 + self.waiting(first));
        self.send(now, id, first, out);
        for _ in 1..n {
            self.copy(now, id, true, out);
        }
        self.await_start(now, id, out);
    }

    /// A further copy: to idle room where no start would cancel the others; to a subject's homes only.
    pub(super) fn copy(&mut self, now: Micros, id: JobId, tells: bool, out: &mut Vec<Action>) {
        let Some((&w, job)) = self.ranked(now, id).first().zip(self.jobs.get(&id)) else {
            return;
        };
        let room = tells || self.rank(now, w, job.class) < 1.0;
        if room && (job.homes.is_empty() || job.homes.contains(&w)) {
            self.send(now, id, w, out);
        }
    }

    /// How long a job may be out before it counts as waiting: longer each time.
    pub(super) fn await_start(&mut self, now: Micros, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let prompt = self.prompt_us + self.set.batch_interval_us as f64;
        let usual = if self.set.notifies_start {
            prompt
        } else {
            self.work_of(job)
        };
        let wait_us = (usual * f64::from(2u32 << job.stalls.min(8))) as Micros;
        let wait_us = self
            .waste_at(job)
            .map_or(wait_us, |late| wait_us.min(late.saturating_sub(now)));
        out.push(job.timer(wait_us, 1));
        self.jobs
            .entry(id)
            .and_modify(|j| j.stall_at = now.saturating_add(wait_us));
    }

    /// When a job not begun can only be run in vain, making those behind it late: late is worth nothing,
    /// cancel frees its place, and the client does not ask again for what failed.
    pub(super) fn waste_at(&self, job: &Job) -> Option<Micros> {
        let (class, work) = (&self.set.classes[job.class], self.work_of(job));
        let frees = self.set.may_cancel
            && self.set.notifies_start
            && class.late_value_share == 0.0
            && !self.harmless(job);
        let last =
            class.latency_target_us as f64 + (class.latency_target_stretch - 1.0).max(0.0) * work;
        frees.then(|| job.arrived.saturating_add(last as Micros))
    }

    /// A job is still not known to run: it is one of ours waiting, and so n grows by one for it.
    pub(super) fn stalled(&mut self, now: Micros, id: JobId, out: &mut Vec<Action>) {
        let tells = self.set.notifies_start;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if !job.is_out() {
            return self.place(now, id, out);
        }
        let begun = tells
            && job
                .attempts
                .iter()
                .any(|a| a.started.is_some() && a.end.is_none());
        if job.answered || job.streaming || begun || now < job.stall_at {
            return;
        }
        job.stalls += 1;
        let job = &self.jobs[&id];
        if self.waste_at(job).is_some_and(|late| now >= late) {
            return self.answer(id, out);
        }
        let waits: Vec<u32> = job
            .attempts
            .iter()
            .filter(|a| a.end.is_none())
            .map(|a| a.worker)
            .collect();
        // One attempt is left over for a retry.
        let more = job.attempts.len() + 1 < self.set.max_attempts as usize
            && waits.len() < self.ceiling(job);
        waits
            .iter()
            .filter(|_| !tells)
            .for_each(|&w| self.charge(now, w, self.best.len(), 1.0, SILENCE));
        if more {
            self.copy(now, id, tells, out);
        }
        self.await_start(now, id, out);
    }

    /// The one place that sends. Every rule on attempts is checked here.
    pub(super) fn send(&mut self, now: Micros, id: JobId, worker: u32, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|j| !j.answered && !j.streaming) else {
            return;
        };
        let spent = job.attempts.len() >= self.set.max_attempts as usize || job.time_is_up(now);
        if spent || !self.eligible(now, job, worker) {
            return;
        }
        let work = self.work_of(job);
        self.work.add(work);
        let w = &self.workers[worker as usize];
        let part = self.part_of(now, w);
        let clear = self.set.notifies_start || w.out == 0 && self.load_of(now, w) < 1.0;
        let w = &mut self.workers[worker as usize];
        w.ramp.spend(now, part, work);
        w.sent(now, &self.set);
        let attempt = Attempt {
            worker,
            life: w.life,
            sent: now,
            clear,
            ..Attempt::default()
        };
        self.jobs.entry(id).and_modify(|j| j.attempts.push(attempt));
        out.push(Action::Send {
            job: id,
            worker: WorkerId(worker),
        });
    }
}
