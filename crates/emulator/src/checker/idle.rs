//! LOST: a job with nothing running although a task's turn has come and there is room.

use super::jobs::tasks_of;
use super::tasks::{TaskRecord, JUMPING_CLOCKS_MS};
use super::{Checker, Rule};
use crate::catalog::{Catalog, KnownJob};
use crate::clock::UNIX_START;
use crate::plant::worker::Worker;
use std::collections::BTreeSet;
use streamusher_protocol::heartbeat::{Resources, WorkerState};
use streamusher_protocol::job::{JobState, StepRequest};
use streamusher_protocol::task::{JobId, TaskId};
use streamusher_protocol::Millis;

/// How long a job may have nothing running.
const IDLE_MS: Millis = 3_000;

/// From the end of a lost worker's hold until its runs are given away.
const NOTICED_MS: Millis = 500;

impl Checker {
    /// Looks at all jobs; to be called regularly. `calm` says that nothing has been troubled for `contact_ms`.
    pub fn check_idle(&mut self, now: Millis, catalog: &Catalog, workers: &[Worker], calm: bool) {
        let busy: BTreeSet<&JobId> = self
            .tasks
            .iter()
            .filter(|(_, record)| !record.live.is_empty())
            .map(|(task, _)| &task.job)
            .collect();
        let waits = |id: &JobId, job: &KnownJob| {
            let record = self.jobs.get(id);
            let open = record
                .is_some_and(|r| r.accepted.is_some() && r.cancel_sent.is_none() && !r.hopeless);
            let shown = record.and_then(|r| r.shown).is_some_and(JobState::is_final);
            open && !shown && !busy.contains(id) && self.could_run(now, job, id, workers)
        };
        let idle: BTreeSet<JobId> = if calm {
            catalog
                .jobs()
                .filter(|(id, job)| waits(id, job))
                .map(|(id, _)| id.clone())
                .collect()
        } else {
            BTreeSet::new()
        };
        let mut lost = Vec::new();
        for (id, record) in &mut self.jobs {
            if !idle.contains(id) {
                record.idle_since = None;
                continue;
            }
            let since = *record.idle_since.get_or_insert(now);
            if now >= since.saturating_add(IDLE_MS) {
                lost.push(id.clone());
                record.idle_since = Some(Millis::MAX);
            }
        }
        for id in lost {
            self.breach(
                now,
                Rule::Lost,
                format!("job {id} has had nothing running for {IDLE_MS} ms in calm"),
            );
        }
    }

    fn could_run(&self, now: Millis, job: &KnownJob, id: &JobId, workers: &[Worker]) -> bool {
        let times = job.request.repeat_count.max(1);
        let timed = job.request.start_at_ms > 0;
        // A process that started while its clock was off goes by that: as much as ORDER allows on such days.
        let jumping = if self.clocks_jump {
            JUMPING_CLOCKS_MS
        } else {
            0
        };
        let due = |time: u32| {
            let at = job.request.start_at_ms + u64::from(time) * job.request.interval_ms;
            !timed || UNIX_START + now >= at + jumping
        };
        (0..times).filter(|time| due(*time)).any(|time| {
            let steps = job.request.steps.iter().enumerate();
            steps.into_iter().any(|(step, request)| {
                self.step_waits(now, id, job, time, step as u32, request)
                    && self.has_room(job, request, workers)
            })
        })
    }

    fn step_waits(
        &self,
        now: Millis,
        id: &JobId,
        job: &KnownJob,
        time: u32,
        step: u32,
        request: &StepRequest,
    ) -> bool {
        let done = |task: &TaskId| self.tasks.get(task).is_some_and(TaskRecord::done);
        let of_step = |wanted: u32| {
            tasks_of(id, &job.request.steps, time).filter(move |task| task.step == wanted)
        };
        let ready = request
            .depends_on
            .iter()
            .all(|earlier| of_step(*earlier).all(|task| done(&task)));
        let held = |task: &TaskId| {
            self.tasks
                .get(task)
                .is_some_and(|record| now < record.held_until + NOTICED_MS)
        };
        // One member's run that may still be held keeps the whole gang from starting.
        if !ready || request.gang && of_step(step).any(|task| held(&task)) {
            return false;
        }
        of_step(step).any(|task| !held(&task) && (request.long_running || !done(&task)))
    }

    /// Whether there is twice the room that a task, or the gang, needs, and less than half of the service is in use.
    fn has_room(&self, job: &KnownJob, step: &StepRequest, workers: &[Worker]) -> bool {
        let services = self.configuration.newest_service(&job.host, &job.prefix);
        let Some(service) = services else {
            return false;
        };
        let of_service =
            |w: &&Worker| w.up && w.kind.service == service && w.state == WorkerState::Ready;
        let total = workers
            .iter()
            .filter(of_service)
            .fold(Resources::default(), |s, w| {
                s.saturating_add(&w.kind.capacity)
            });
        let used = workers
            .iter()
            .filter(of_service)
            .fold(Resources::default(), |s, w| s.saturating_add(&w.used()));
        if !total.covers(&used.saturating_add(&used).saturating_add(&Resources {
            cpu: 1,
            mem_mb: 1,
            gpu: 0,
        })) {
            return false;
        }
        let fits_label = |w: &&Worker| {
            step.node_selector
                .as_ref()
                .is_none_or(|label| w.kind.labels.contains(label))
        };
        let places = workers
            .iter()
            .filter(of_service)
            .filter(fits_label)
            .map(|w| {
                let free = w.kind.capacity.saturating_sub(&w.used());
                let count = times_covered(&free, &step.resources);
                if step.anti_affinity > 0 {
                    count.min(u64::from(step.anti_affinity))
                } else {
                    count
                }
            });
        let wanted = if step.gang { u64::from(step.count) } else { 1 };
        places.sum::<u64>() >= 2 * wanted
    }
}

fn times_covered(free: &Resources, wanted: &Resources) -> u64 {
    let of = |free: u64, wanted: u64| free.checked_div(wanted).unwrap_or(u64::MAX / 64);
    of(free.cpu, wanted.cpu)
        .min(of(free.mem_mb, wanted.mem_mb))
        .min(of(free.gpu, wanted.gpu))
        .min(u64::MAX / 64)
}
