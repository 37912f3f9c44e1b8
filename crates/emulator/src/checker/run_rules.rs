//! TWICE, LIMIT, ORDER, ROUTE, BUDGET, GANG, UNASKED and DRAIN: starts and ends of runs.

use super::records::{EndNumber, EndPosition, EndRecord, StartRecord, WorkerInstance};
use super::state::Checker;
use super::violation::Rule;
use crate::cast::index_u32;
use crate::clock::UNIX_START_MS;
use crate::submitted_jobs::{SubmittedJob, SubmittedJobs};
use crate::workers::effect::WorkerIndex;
use crate::workers::worker::WorkerKind;
use std::ops::Range;
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::job::StepRequest;
use streamusher_protocol::task::{RunEnd, RunId, TaskId};
use streamusher_protocol::unit::StepId;
use streamusher_protocol::Millis;

/// From the acknowledgement of an end until no start may ignore it.
const END_KNOWN_AFTER_MS: Millis = 1_000;

/// A worker at the moment of an observation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkerView<'a> {
    pub(crate) index: WorkerIndex,
    pub(crate) incarnation: u32,
    pub(crate) kind: &'a WorkerKind,
    /// Resources of what runs there now.
    pub(crate) used: Resources,
    /// Whether its machine is reachable.
    pub(crate) is_reachable: bool,
}

impl WorkerView<'_> {
    fn instance(&self) -> WorkerInstance {
        WorkerInstance {
            worker: self.index,
            incarnation: self.incarnation,
        }
    }
}

/// A run that a worker has begun.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartedRun<'a> {
    pub(crate) run: &'a RunId,
    /// The job's own text, as the worker was told it.
    pub(crate) spec: &'a Arc<str>,
    /// What the worker was told to continue from.
    pub(crate) checkpoint: &'a Arc<str>,
}

/// A run that has ended at a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedRun<'a> {
    pub(crate) run: &'a RunId,
    pub(crate) outcome: RunEnd,
    /// The number under which the worker reports the end.
    pub(crate) number: u64,
}

/// A start with what clients have submitted.
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
    /// A worker has begun a run. `worker.used` includes it.
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
            "{} run {} fills worker {} to {:?}",
            run.task, run.run, worker.index, worker.used
        );
        self.report(now, Rule::Limit, text);
    }

    /// The task is started as its client wants, and its job is not cancelled.
    fn check_wanted(&mut self, start: Start<'_>) {
        let task = start.task();
        if *start.started.spec != start.job.request.spec {
            let text = format!("{task} was started with another spec");
            self.report(start.now, Rule::Unasked, text);
        }
        let checkpoint = start.started.checkpoint;
        if !checkpoint.is_empty() && start.submitted_jobs.progress_of(task, checkpoint).is_none() {
            let text = format!("{task} was started with checkpoint {checkpoint}");
            self.report(start.now, Rule::Unasked, text);
        }
        let cancel_ms = self.limits.cancel_ms;
        let record = self.jobs.entry(task.job.clone()).or_default();
        let must_be_over = record
            .cancel_acknowledged_at
            .is_some_and(|acknowledged_at| start.now > acknowledged_at + cancel_ms);
        if must_be_over && start.worker.is_reachable {
            let text = format!("{task} was started after its job was cancelled");
            self.report(start.now, Rule::Unasked, text);
        }
    }

    /// No other run of the task goes on, unless it is hedged.
    fn check_not_running(&mut self, start: Start<'_>) {
        if start.step.hedged {
            return;
        }
        let record = self.tasks.get(start.task());
        let Some(other) = record.and_then(|record| record.running.first()) else {
            return;
        };
        let text = format!(
            "{} run {} at worker {} while run {} is at {}",
            start.task(),
            start.run(),
            start.worker.index,
            other.run,
            other.instance.worker
        );
        self.report(start.now, Rule::Twice, text);
    }

    /// The task is not done, and has attempts left.
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
            let text = format!("{task} run {run} was started after its done end was acknowledged");
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

    /// When a done end of a task, or of another member of its gang, was first acknowledged.
    fn done_acknowledged_at(
        &self,
        submitted_jobs: &SubmittedJobs,
        task: &TaskId,
    ) -> Option<Millis> {
        let members = match submitted_jobs.step(task) {
            Some(step) => member_indexes(step, task),
            None => only_itself(task),
        };
        let records = members.filter_map(|index| self.tasks.get(&with_index(task, index)));
        let ends = records.flat_map(|record| record.ends.iter());
        let done = ends.filter(|end| end.outcome == RunEnd::Done);
        done.filter_map(|end| end.acknowledged_at).min()
    }

    fn acknowledged_failures(&self, task: &TaskId, before: Millis) -> u32 {
        let Some(record) = self.tasks.get(task) else {
            return 0;
        };
        let counts = |end: &&EndRecord| {
            end.outcome == RunEnd::Failed && end.acknowledged_at.is_some() && end.ended_at < before
        };
        index_u32(record.ends.iter().filter(counts).count())
    }

    /// The steps before are done, and the time of a timed job has come.
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
            let text = format!("{task} was started {early_ms} ms before its time");
            self.report(start.now, Rule::Order, text);
        }
    }

    /// The worker may run the task.
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
                "{task} was started at worker {worker} of service {}",
                kind.service
            );
            self.report(start.now, Rule::Route, text);
        }
        let selects = start.step.node_selector.as_ref();
        if selects.is_some_and(|label| !kind.labels.contains(label)) {
            let text = format!("{task} was started at worker {worker} without its label");
            self.report(start.now, Rule::Route, text);
        }
        if start.step.anti_affinity > 0 {
            self.check_anti_affinity(start);
        }
        let drains_since = self.drains.get(&start.worker.instance()).copied();
        let must_be_empty =
            drains_since.is_some_and(|since| start.now > since + self.limits.drain_ms);
        if start.worker.is_reachable && must_be_empty {
            let text = format!("{task} was started at worker {worker}, which drains");
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
                "{} is one of {count} of its step at worker {worker}",
                start.task()
            );
            self.report(start.now, Rule::Route, text);
        }
    }

    /// A run has ended. There have been no faults since `fault_free_since`; none while there are.
    pub(crate) fn on_run_ended(
        &mut self,
        now: Millis,
        worker: WorkerView<'_>,
        ended: EndedRun<'_>,
        fault_free_since: Option<Millis>,
    ) {
        let EndedRun {
            run,
            outcome,
            number,
        } = ended;
        let instance = worker.instance();
        let record = self.tasks.entry(run.task.clone()).or_default();
        let start = record
            .running
            .iter()
            .find(|start| start.run == run.run && start.instance.worker == worker.index);
        let started_at = start.map_or(now, |start| start.started_at);
        record
            .running
            .retain(|start| start.instance != instance || start.run != run.run);
        record.ends.push(EndRecord {
            ended_at: now,
            run: run.run,
            outcome,
            acknowledged_at: None,
            void: false,
        });
        let position = EndPosition {
            task: run.task.clone(),
            index: record.ends.len() - 1,
        };
        self.unacknowledged_ends
            .insert(EndNumber { instance, number }, position);
        // No faults while it waited, and for as long before as a machine takes to be reachable.
        let contact_ms = self.limits.contact_ms;
        let was_stable = fault_free_since.is_some_and(|since| started_at >= since + contact_ms);
        let job = self.jobs.get(&run.task.job);
        let is_excused = job.is_some_and(|job| job.cancel_sent_at.is_some() || job.hopeless);
        if outcome == RunEnd::GangIncomplete && was_stable && worker.is_reachable && !is_excused {
            let text = format!("{} run {} waited alone", run.task, run.run);
            self.report(now, Rule::Gang, text);
        }
    }

    /// A worker was told that its ends up to a number are acknowledged.
    pub(crate) fn on_ends_acknowledged(
        &mut self,
        now: Millis,
        submitted_jobs: &SubmittedJobs,
        worker: WorkerIndex,
        incarnation: u32,
        up_to: u64,
    ) {
        let instance = WorkerInstance {
            worker,
            incarnation,
        };
        let range = EndNumber {
            instance,
            number: 0,
        }..=EndNumber {
            instance,
            number: up_to,
        };
        let acknowledged = self.unacknowledged_ends.range(range);
        let acknowledged: Vec<(EndNumber, EndPosition)> = acknowledged
            .map(|(number, position)| (*number, position.clone()))
            .collect();
        for (number, position) in acknowledged {
            self.unacknowledged_ends.remove(&number);
            self.on_end_acknowledged(now, submitted_jobs, &position);
        }
    }

    fn on_end_acknowledged(
        &mut self,
        now: Millis,
        submitted_jobs: &SubmittedJobs,
        position: &EndPosition,
    ) {
        let task = &position.task;
        let record = self.tasks.get_mut(task);
        let Some(end) = record.and_then(|record| record.ends.get_mut(position.index)) else {
            return;
        };
        if end.void {
            return;
        }
        end.acknowledged_at = Some(now);
        let ended_at = end.ended_at;
        let outcome = end.outcome;
        let Some(step) = submitted_jobs.step(task) else {
            return;
        };
        if step.hedged || step.long_running {
            return;
        }
        match outcome {
            RunEnd::Done => self.check_no_start_after_done(now, step, task, ended_at),
            RunEnd::Failed => self.check_attempts(now, submitted_jobs, task),
            _ => {}
        }
    }

    fn check_no_start_after_done(
        &mut self,
        now: Millis,
        step: &StepRequest,
        task: &TaskId,
        done_at: Millis,
    ) {
        for index in member_indexes(step, task) {
            let member = with_index(task, index);
            let starts = self.tasks.get(&member).map(|record| record.starts.iter());
            let later =
                starts.and_then(|mut starts| starts.find(|start| start.started_at > done_at));
            if let Some(later) = later {
                let run = later.run;
                let text = format!(
                    "{member} run {run} began after its done end, which was then acknowledged"
                );
                self.report(now, Rule::Twice, text);
            }
        }
    }

    fn check_attempts(&mut self, now: Millis, submitted_jobs: &SubmittedJobs, task: &TaskId) {
        let attempts = self.configurations.max_attempts(submitted_jobs, &task.job);
        let record = self.tasks.get(task);
        let starts = record
            .map(|record| record.starts.clone())
            .unwrap_or_default();
        for start in starts {
            let failed = self.acknowledged_failures(task, start.started_at);
            if failed >= attempts {
                let run = start.run;
                let text = format!(
                    "{task} run {run} began after {failed} failed runs, acknowledged by now"
                );
                self.report(now, Rule::Budget, text);
            }
        }
    }

    /// A worker's lease has expired: ends that are not acknowledged by now do not count any more.
    pub(crate) fn on_lease_expired(&mut self, worker: WorkerIndex, incarnation: u32) {
        let instance = WorkerInstance {
            worker,
            incarnation,
        };
        let range = EndNumber {
            instance,
            number: 0,
        }..=EndNumber {
            instance,
            number: u64::MAX,
        };
        for position in self
            .unacknowledged_ends
            .range(range)
            .map(|(_, position)| position)
        {
            let record = self.tasks.get_mut(&position.task);
            if let Some(end) = record.and_then(|record| record.ends.get_mut(position.index)) {
                end.void = true;
            }
        }
    }

    /// A worker is down; its lease would have lasted until a time.
    pub(crate) fn on_worker_crashed(
        &mut self,
        worker: WorkerIndex,
        incarnation: u32,
        leased_until: Millis,
    ) {
        let instance = WorkerInstance {
            worker,
            incarnation,
        };
        for record in self.tasks.values_mut() {
            if record
                .running
                .iter()
                .any(|start| start.instance == instance)
            {
                record.leased_until = record.leased_until.max(leased_until);
            }
            record.running.retain(|start| start.instance != instance);
        }
    }

    /// A reachable machine has acknowledged that a worker drains.
    pub(crate) fn on_drain_acknowledged(
        &mut self,
        now: Millis,
        worker: WorkerIndex,
        incarnation: u32,
    ) {
        let instance = WorkerInstance {
            worker,
            incarnation,
        };
        self.drains.entry(instance).or_insert(now);
    }
}

fn with_index(task: &TaskId, index: u32) -> TaskId {
    TaskId {
        index,
        ..task.clone()
    }
}

fn only_itself(task: &TaskId) -> Range<u32> {
    task.index..task.index + 1
}

/// The indexes of a task's gang, or its own.
fn member_indexes(step: &StepRequest, task: &TaskId) -> Range<u32> {
    if step.gang {
        0..step.count
    } else {
        only_itself(task)
    }
}
