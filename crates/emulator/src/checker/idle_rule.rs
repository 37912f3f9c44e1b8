//! Rule LOST: a job must not be without running tasks while one of its tasks is ready and there is capacity
//! for it.

use super::state::Checker;
use super::violation::Rule;
use crate::cast::index_u32;
use crate::clock::UNIX_START_MS;
use crate::submitted_jobs::{SubmittedJob, SubmittedJobs};
use crate::workers::worker::Worker;
use std::collections::BTreeSet;
use streamusher_protocol::heartbeat::{Resources, WorkerState};
use streamusher_protocol::job::StepRequest;
use streamusher_protocol::task::{JobId, TaskId};
use streamusher_protocol::Millis;

/// Maximum time for which a job may have no running task.
const MAX_IDLE_MS: Millis = 3_000;
/// Time from the end of a lost worker's lease until its runs are placed again.
const LOSS_NOTICED_MS: Millis = 500;
/// Number of fitting tasks if a task requests none of a resource: larger than any sum of such numbers, and
/// far from overflow.
const UNBOUNDED_PLACES: u64 = u64::MAX / 64;
/// Minimum that must be free, in addition to half of a service's capacity.
const SMALLEST_TASK: Resources = Resources {
    cpu: 1,
    mem_mb: 1,
    gpu: 0,
};

impl Checker {
    /// Checks all jobs; must be called regularly. `is_stable` states that there have been no faults for
    /// `contact_ms`.
    pub(crate) fn check_idle_jobs(
        &mut self,
        now: Millis,
        submitted_jobs: &SubmittedJobs,
        workers: &[Worker],
        is_stable: bool,
    ) {
        let idle = if is_stable {
            self.idle_jobs(now, submitted_jobs, workers)
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
            if now >= since.saturating_add(MAX_IDLE_MS) {
                lost.push(id.clone());
                record.idle_since = Some(Millis::MAX);
            }
        }
        for id in lost {
            let text =
                format!("job {id} has had no running task for {MAX_IDLE_MS} ms despite free capacity and no faults");
            self.report(now, Rule::Lost, text);
        }
    }

    /// Jobs without running tasks that have a startable task.
    fn idle_jobs(
        &self,
        now: Millis,
        submitted_jobs: &SubmittedJobs,
        workers: &[Worker],
    ) -> BTreeSet<JobId> {
        let running = self.tasks.iter().filter(|(_, record)| record.is_running());
        let busy: BTreeSet<&JobId> = running.map(|(task, _)| &task.job).collect();
        let is_idle = |id: &JobId, job: &SubmittedJob| {
            self.is_owed_progress(id) && !busy.contains(id) && self.could_run(now, id, job, workers)
        };
        let idle = submitted_jobs.jobs().filter(|(id, job)| is_idle(id, job));
        idle.map(|(id, _)| id.clone()).collect()
    }

    fn is_owed_progress(&self, id: &JobId) -> bool {
        let Some(record) = self.jobs.get(id) else {
            return false;
        };
        let is_wanted = record.accepted_at.is_some() && record.cancel_sent_at.is_none();
        is_wanted && !record.cannot_succeed && !record.is_shown_final()
    }

    fn could_run(&self, now: Millis, id: &JobId, job: &SubmittedJob, workers: &[Worker]) -> bool {
        let is_timed = job.request.start_at_ms > 0;
        // A process that started while its wall clock was off keeps the offset, hence the same tolerance as
        // for ORDER.
        let tolerance_ms = self.clock_tolerance_ms();
        let is_due = |iteration: u32| {
            !is_timed || UNIX_START_MS + now >= job.due_unix_ms(iteration) + tolerance_ms
        };
        let mut due = (0..job.iterations()).filter(|iteration| is_due(*iteration));
        due.any(|iteration| {
            let mut steps = job.request.steps.iter().enumerate();
            steps.any(|(step, request)| {
                self.has_startable_task(now, id, job, iteration, index_u32(step))
                    && self.has_capacity(job, request, workers)
            })
        })
    }

    /// Whether a task of the job could be started.
    fn has_startable_task(
        &self,
        now: Millis,
        id: &JobId,
        job: &SubmittedJob,
        iteration: u32,
        step: u32,
    ) -> bool {
        let request = &job.request.steps[step as usize];
        let is_step_done = |earlier: &u32| {
            let mut tasks = job.tasks_of_step(id, iteration, *earlier);
            tasks.all(|task| self.is_done(&task))
        };
        if !request.depends_on.iter().all(is_step_done) {
            return false;
        }
        let may_be_running = |task: &TaskId| {
            let record = self.task(task);
            record.is_some_and(|record| now < record.leased_until + LOSS_NOTICED_MS)
        };
        let mut tasks = job.tasks_of_step(id, iteration, step);
        if request.gang {
            // A single member whose earlier run may still be in progress prevents the start of the whole
            // gang.
            let tasks: Vec<TaskId> = tasks.collect();
            let is_open = |task: &TaskId| request.long_running || !self.is_done(task);
            return !tasks.iter().any(may_be_running) && tasks.iter().any(is_open);
        }
        tasks.any(|task| !may_be_running(&task) && (request.long_running || !self.is_done(&task)))
    }

    /// Whether there is twice the capacity that the task or gang needs, and less than half of the service is
    /// in use.
    fn has_capacity(&self, job: &SubmittedJob, step: &StepRequest, workers: &[Worker]) -> bool {
        let Some(service) = self.configurations.newest_service(&job.host, &job.prefix) else {
            return false;
        };
        let is_ready = |worker: &&Worker| {
            worker.up && worker.kind.service == service && worker.state == WorkerState::Ready
        };
        let ready: Vec<&Worker> = workers.iter().filter(is_ready).collect();
        let total = sum(ready.iter().map(|worker| worker.kind.capacity));
        let used = sum(ready.iter().map(|worker| worker.used()));
        let twice_used = used.saturating_add(&used);
        if !total.covers(&twice_used.saturating_add(&SMALLEST_TASK)) {
            return false;
        }
        let places = ready.iter().map(|worker| places_at(worker, step));
        let wanted = if step.gang { u64::from(step.count) } else { 1 };
        places.sum::<u64>() >= 2 * wanted
    }
}

fn sum(resources: impl Iterator<Item = Resources>) -> Resources {
    resources.fold(Resources::default(), |sum, each| sum.saturating_add(&each))
}

/// Number of tasks of a step that fit at a worker.
fn places_at(worker: &Worker, step: &StepRequest) -> u64 {
    let selects = step.node_selector.as_ref();
    if selects.is_some_and(|label| !worker.kind.labels.contains(label)) {
        return 0;
    }
    let free = worker.kind.capacity.saturating_sub(&worker.used());
    let places = places_in(&free, &step.resources);
    if step.anti_affinity > 0 {
        places.min(u64::from(step.anti_affinity))
    } else {
        places
    }
}

fn places_in(free: &Resources, wanted: &Resources) -> u64 {
    let places = |free: u64, wanted: u64| free.checked_div(wanted).unwrap_or(UNBOUNDED_PLACES);
    places(free.cpu, wanted.cpu)
        .min(places(free.mem_mb, wanted.mem_mb))
        .min(places(free.gpu, wanted.gpu))
        .min(UNBOUNDED_PLACES)
}
