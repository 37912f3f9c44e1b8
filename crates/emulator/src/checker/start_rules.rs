//! Rules TWICE, LIMIT, ORDER, ROUTE, BUDGET, UNASKED and DRAIN on starts of runs.

use super::records::{StartRecord, WorkerInstance};
use super::state::Checker;
use super::violation::Rule;
use crate::cast::index_u32;
use crate::clock::UNIX_START_MS;
use crate::submitted_jobs::{SubmittedJob, SubmittedJobs};
use crate::workers::effect::WorkerIndex;
use crate::workers::worker::WorkerKind;
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::job::StepRequest;
use streamusher_protocol::task::{RunEnd, RunId, TaskId};
use streamusher_protocol::unit::StepId;
use streamusher_protocol::Millis;

/// Time after the acknowledgement of an end from which every start must take the end into account.
const END_KNOWN_AFTER_MS: Millis = 1_000;

/// A worker at the time of an observation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerView<'a> {
    pub(crate) index: WorkerIndex,
    pub(crate) incarnation: u32,
    pub(crate) kind: &'a WorkerKind,
    /// Resources of the runs in progress.
    pub(crate) used: Resources,
    /// Whether the worker's machine is reachable.
    pub(crate) is_reachable: bool,
}

impl WorkerView<'_> {
    pub(super) fn instance(&self) -> WorkerInstance {
        WorkerInstance {
            worker: self.index,
            incarnation: self.incarnation,
        }
    }
}

/// A run started by a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartedRun<'a> {
    pub(crate) run: &'a RunId,
    /// Specification of the job as received by the worker.
    pub(crate) spec: &'a Arc<str>,
    /// Checkpoint received by the worker; empty if the run starts from the beginning.
    pub(crate) checkpoint: &'a Arc<str>,
}

/// A start, together with the job as submitted by the client.
#[derive(Clone, Copy)]
struct Start<'a> {
    now: Millis,
    submitted_jobs: &'a SubmittedJobs,
    worker: WorkerView<'a>,
    started: StartedRun<'a>,
    job: &'a SubmittedJob,
    step: &'a StepRequest,
}

impl Start<'_> {
    fn task(&self) -> &TaskId {
        &self.started.run.task
    }

    fn run(&self) -> u32 {
        self.started.run.run
    }
}

impl Checker {
    /// Handles the start of a run. `worker.used` includes this run.
    pub(crate) fn on_run_started(
        &mut self,
        now: Millis,
        submitted_jobs: &SubmittedJobs,
        worker: WorkerView<'_>,
        started: StartedRun<'_>,
    ) {
        let task = &started.run.task;
        let job = submitted_jobs.job(&task.job);
        if let Some(job) = job {
            let service = &worker.kind.service;
            self.configurations
                .on_queue_served(now, &job.host, &job.prefix, service);
        }
        self.starts += 1;
        self.check_capacity(now, worker, started.run);
        if let (Some(job), Some(step)) = (job, submitted_jobs.step(task)) {
            let start = Start {
                now,
                submitted_jobs,
                worker,
                started,
                job,
                step,
            };
            self.check_wanted(start);
            self.check_not_running(start);
            self.check_not_over(start);
            self.check_order(start);
            self.check_place(start);
        } else {
            self.report(now, Rule::Unasked, format!("{task} was never submitted"));
        }
        let record = self.tasks.entry(task.clone()).or_default();
        let start = StartRecord {
            started_at: now,
            instance: worker.instance(),
            run: started.run.run,
        };
        record.running.push(start.clone());
        record.starts.push(start);
    }

    fn check_capacity(&mut self, now: Millis, worker: WorkerView<'_>, run: &RunId) {
        if worker.kind.rejects_overload || worker.kind.capacity.covers(&worker.used) {
            return;
        }
        let text = format!(
            "{} run {} raises the usage of worker {} above its capacity to {:?}",
            run.task, run.run, worker.index, worker.used
        );
        self.report(now, Rule::Limit, text);
    }

    /// Checks that the task is started as submitted and that its job is not cancelled.
    fn check_wanted(&mut self, start: Start<'_>) {
        let task = start.task();
        if *start.started.spec != start.job.request.spec {
            let text =
                format!("{task} was started with a spec that differs from the submitted one");
            self.report(start.now, Rule::Unasked, text);
        }
        let checkpoint = start.started.checkpoint;
        if !checkpoint.is_empty() && start.submitted_jobs.progress_of(task, checkpoint).is_none() {
            let text = format!("{task} was started with unknown checkpoint {checkpoint}");
            self.report(start.now, Rule::Unasked, text);
        }
        let cancel_ms = self.limits.cancel_ms;
        let record = self.jobs.entry(task.job.clone()).or_default();
        let must_be_over = record
            .cancel_acknowledged_at
            .is_some_and(|acknowledged_at| start.now > acknowledged_at + cancel_ms);
        if must_be_over && start.worker.is_reachable {
            let text =
                format!("{task} was started after the cancellation of its job was acknowledged");
            self.report(start.now, Rule::Unasked, text);
        }
    }

    /// Checks that no other run of the task is in progress, unless the task is hedged.
    fn check_not_running(&mut self, start: Start<'_>) {
        if start.step.hedged {
            return;
        }
        let record = self.tasks.get(start.task());
        let Some(other) = record.and_then(|record| record.running.first()) else {
            return;
        };
        let text = format!(
            "{} run {} was started at worker {} while run {} is in progress at worker {}",
            start.task(),
            start.run(),
            start.worker.index,
            other.run,
            other.instance.worker
        );
        self.report(start.now, Rule::Twice, text);
    }

    /// Checks that the task is not done and has attempts left.
    fn check_not_over(&mut self, start: Start<'_>) {
        if start.step.long_running {
            return;
        }
        let task = start.task();
        let run = start.run();
        let done_at = self.done_acknowledged_at(start.submitted_jobs, task);
        let is_known_late = done_at.is_some_and(|done_at| {
            start.now > done_at + END_KNOWN_AFTER_MS && start.worker.is_reachable
        });
        if is_known_late || done_at.is_some() && !start.step.hedged {
            let text = format!(
                "{task} run {run} was started after the completion of the task was acknowledged"
            );
            self.report(start.now, Rule::Twice, text);
        }
        let attempts = self
            .configurations
            .max_attempts(start.submitted_jobs, &task.job);
        let failed = self.acknowledged_failures(task, start.now);
        if !start.step.hedged && failed >= attempts {
            let text = format!("{task} run {run} was started after {failed} failed runs");
            self.report(start.now, Rule::Budget, text);
        }
    }

    /// Earliest acknowledgement of a completed run of the task or of another member of its gang.
    fn done_acknowledged_at(
        &self,
        submitted_jobs: &SubmittedJobs,
        task: &TaskId,
    ) -> Option<Millis> {
        let members = submitted_jobs.gang_members(task);
        let records = members.filter_map(|member| self.task(&member));
        let ends = records.flat_map(|record| record.ends.iter());
        let done = ends.filter(|end| end.outcome == RunEnd::Done);
        done.filter_map(|end| end.acknowledged_at).min()
    }

    /// Checks that the dependencies are done and that the scheduled time of a timed job is reached.
    fn check_order(&mut self, start: Start<'_>) {
        let task = start.task();
        for earlier in &start.step.depends_on {
            let mut tasks = start.job.tasks_of_step(&task.job, task.iteration, *earlier);
            if !tasks.all(|task| self.is_done(&task)) {
                let text = format!("{task} was started before step {earlier} was done");
                self.report(start.now, Rule::Order, text);
            }
        }
        let request = &start.job.request;
        if request.repeat_count == 0 && request.start_at_ms == 0 {
            return;
        }
        let due_unix_ms = start.job.due_unix_ms(task.iteration);
        let early_ms = due_unix_ms.saturating_sub(UNIX_START_MS + start.now);
        if early_ms > self.limits.early_ms + self.clock_tolerance_ms() {
            let text = format!("{task} was started {early_ms} ms before its scheduled time");
            self.report(start.now, Rule::Order, text);
        }
    }

    /// Checks that the task may run at the worker.
    fn check_place(&mut self, start: Start<'_>) {
        let task = start.task();
        let kind = start.worker.kind;
        let worker = start.worker.index;
        let job = start.job;
        if !self
            .configurations
            .may_run(&job.host, &job.prefix, &kind.service)
        {
            let text = format!(
                "{task} was started at worker {worker} of service {}, which its queue is not routed to",
                kind.service
            );
            self.report(start.now, Rule::Route, text);
        }
        let selects = start.step.node_selector.as_ref();
        if selects.is_some_and(|label| !kind.labels.contains(label)) {
            let text = format!(
                "{task} was started at worker {worker}, which lacks the label of its node selector"
            );
            self.report(start.now, Rule::Route, text);
        }
        if start.step.anti_affinity > 0 {
            self.check_anti_affinity(start);
        }
        let drains_since = self.drains.get(&start.worker.instance()).copied();
        let must_be_empty =
            drains_since.is_some_and(|since| start.now > since + self.limits.drain_ms);
        if start.worker.is_reachable && must_be_empty {
            let text = format!("{task} was started at worker {worker}, which is draining");
            self.report(start.now, Rule::Drain, text);
        }
    }

    fn check_anti_affinity(&mut self, start: Start<'_>) {
        let step = StepId::of_task(start.task());
        let instance = start.worker.instance();
        let of_step = self
            .tasks
            .iter()
            .filter(|(task, _)| StepId::of_task(task) == step);
        let running = of_step.flat_map(|(_, record)| record.running.iter());
        let others = running.filter(|running| running.instance == instance);
        let count = index_u32(others.count()) + 1;
        if count > start.step.anti_affinity {
            let worker = start.worker.index;
            let text = format!(
                "{} is one of {count} tasks of its step at worker {worker}, more than its anti-affinity allows",
                start.task()
            );
            self.report(start.now, Rule::Route, text);
        }
    }
}
