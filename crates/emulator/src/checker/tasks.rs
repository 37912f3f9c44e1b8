//! TWICE, LIMIT, ORDER, ROUTE, BUDGET, GANG, UNASKED and DRAIN: starts and ends of runs.

use super::{Checker, Rule, WorkerView};
use crate::catalog::{Catalog, KnownJob};
use crate::clock::UNIX_START;
use crate::plant::WorkerIndex;
use std::sync::Arc;
use streamusher_protocol::job::StepRequest;
use streamusher_protocol::task::{RunEnd, RunId, TaskId};
use streamusher_protocol::unit::StepId;
use streamusher_protocol::Millis;

/// From a noted end to a start that should have known of it.
const KNOWN_AFTER_MS: Millis = 1_000;
/// A timed start may come so much earlier on days whose clocks jump.
pub(crate) const JUMPING_CLOCKS_MS: Millis = 5_000;

/// A start that was seen.
#[derive(Clone, Debug)]
pub(crate) struct Start {
    pub(crate) at: Millis,
    pub(crate) worker: WorkerIndex,
    pub(crate) life: u32,
    pub(crate) run: u32,
}

/// An end that was listed.
#[derive(Clone, Debug)]
pub(crate) struct End {
    pub(crate) at: Millis,
    pub(crate) run: u32,
    pub(crate) how: RunEnd,
    pub(crate) noted: Option<Millis>,
    /// The hold was over before it was taken note of.
    pub(crate) void: bool,
}

/// All that was seen of a task.
#[derive(Clone, Debug, Default)]
pub(crate) struct TaskRecord {
    pub(crate) live: Vec<Start>,
    pub(crate) starts: Vec<Start>,
    pub(crate) ends: Vec<End>,
    /// A run of it was lost with its worker, which would have held it until then: before that nobody can know.
    pub(crate) held_until: Millis,
}

impl TaskRecord {
    pub(crate) fn done(&self) -> bool {
        self.ends.iter().any(|end| end.how == RunEnd::Done)
    }

    pub(crate) fn failed_runs(&self) -> impl Iterator<Item = u32> + '_ {
        self.ends
            .iter()
            .filter(|end| end.how == RunEnd::Failed)
            .map(|end| end.run)
    }
}

impl Checker {
    /// A worker has begun a run. `view.used` includes it.
    pub fn started(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        view: WorkerView,
        id: &RunId,
        spec: &Arc<str>,
        checkpoint: &Arc<str>,
    ) {
        self.starts += 1;
        if !view.kind.guards && !view.kind.capacity.covers(&view.used) {
            let text = format!(
                "{} run {} fills worker {} to {:?}",
                id.task, id.run, view.index, view.used
            );
            self.breach(now, Rule::Limit, text);
        }
        let start = Start {
            at: now,
            worker: view.index,
            life: view.life,
            run: id.run,
        };
        match (
            catalog.job(&id.task.job).cloned(),
            catalog.step(&id.task).cloned(),
        ) {
            (Some(job), Some(step)) => {
                self.check_asked(now, catalog, view, id, &job, spec, checkpoint);
                self.check_repeat(now, catalog, view, id, &step);
                self.check_order(now, catalog, id, &job, &step);
                self.check_place(now, view, id, &job, &step);
            }
            _ => self.breach(
                now,
                Rule::Unasked,
                format!("{} was never handed in", id.task),
            ),
        }
        let record = self.tasks.entry(id.task.clone()).or_default();
        record.live.push(start.clone());
        record.starts.push(start);
    }

    #[allow(clippy::too_many_arguments)]
    fn check_asked(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        view: WorkerView,
        id: &RunId,
        job: &KnownJob,
        spec: &Arc<str>,
        checkpoint: &Arc<str>,
    ) {
        if *spec != job.request.spec {
            self.breach(
                now,
                Rule::Unasked,
                format!("{} was started with another spec", id.task),
            );
        }
        if !checkpoint.is_empty() && catalog.progress_of(&id.task, checkpoint).is_none() {
            self.breach(
                now,
                Rule::Unasked,
                format!("{} was started with checkpoint {checkpoint}", id.task),
            );
        }
        let cancel_ms = self.bounds.cancel_ms;
        let record = self.jobs.entry(id.task.job.clone()).or_default();
        let cancelled = record
            .cancel_acknowledged
            .is_some_and(|at| now > at + cancel_ms);
        if cancelled && view.in_touch {
            self.breach(
                now,
                Rule::Unasked,
                format!("{} was started after its job was cancelled", id.task),
            );
        }
    }

    fn check_repeat(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        view: WorkerView,
        id: &RunId,
        step: &StepRequest,
    ) {
        let record = self.tasks.entry(id.task.clone()).or_default();
        if let (false, Some(other)) = (step.hedged, record.live.first()) {
            let (worker, run) = (other.worker, other.run);
            let text = format!(
                "{} run {} at worker {} while run {run} is at {worker}",
                id.task, id.run, view.index
            );
            self.breach(now, Rule::Twice, text);
        }
        if step.long_running {
            return;
        }
        let done = self.first_done_note(catalog, &id.task);
        let late = done.is_some_and(|at| now > at + KNOWN_AFTER_MS) && view.in_touch;
        if late || done.is_some() && !step.hedged {
            let text = format!(
                "{} run {} was started after its done end was noted",
                id.task, id.run
            );
            self.breach(now, Rule::Twice, text);
        }
        let attempts = self.configuration.most_attempts(catalog, &id.task.job);
        let failed = self.noted_failures(&id.task, now);
        if !step.hedged && failed >= attempts {
            let text = format!(
                "{} run {} was started after {failed} failed runs",
                id.task, id.run
            );
            self.breach(now, Rule::Budget, text);
        }
    }

    /// When a done end of a task, or of another member of its gang, was first taken note of.
    fn first_done_note(&self, catalog: &Catalog, task: &TaskId) -> Option<Millis> {
        let gang = catalog.step(task).filter(|step| step.gang);
        let members = match gang {
            Some(step) => 0..step.count,
            None => task.index..task.index + 1,
        };
        let records = members.filter_map(|index| {
            self.tasks.get(&TaskId {
                index,
                ..task.clone()
            })
        });
        let done = records
            .flat_map(|record| record.ends.iter())
            .filter(|end| end.how == RunEnd::Done);
        done.filter_map(|end| end.noted).min()
    }

    fn noted_failures(&self, task: &TaskId, before: Millis) -> u32 {
        let Some(record) = self.tasks.get(task) else {
            return 0;
        };
        let counted =
            |end: &&End| end.how == RunEnd::Failed && end.noted.is_some() && end.at < before;
        record.ends.iter().filter(counted).count() as u32
    }

    fn check_order(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        id: &RunId,
        job: &KnownJob,
        step: &StepRequest,
    ) {
        for earlier in &step.depends_on {
            if !self.step_done(catalog, id, *earlier) {
                self.breach(
                    now,
                    Rule::Order,
                    format!("{} was started before step {earlier} was done", id.task),
                );
            }
        }
        if job.request.repeat_count == 0 && job.request.start_at_ms == 0 {
            return;
        }
        let due = job.request.start_at_ms + u64::from(id.task.iteration) * job.request.interval_ms;
        let jumping = if self.clocks_jump {
            JUMPING_CLOCKS_MS
        } else {
            0
        };
        let early = due.saturating_sub(UNIX_START + now);
        if early > self.bounds.early_ms + jumping {
            self.breach(
                now,
                Rule::Order,
                format!("{} was started {early} ms before its time", id.task),
            );
        }
    }

    fn step_done(&self, catalog: &Catalog, id: &RunId, step: u32) -> bool {
        let count = catalog
            .job(&id.task.job)
            .and_then(|job| job.request.steps.get(step as usize))
            .map_or(0, |s| s.count);
        let task = |index| TaskId {
            step,
            index,
            ..id.task.clone()
        };
        (0..count).all(|index| self.tasks.get(&task(index)).is_some_and(TaskRecord::done))
    }

    fn check_place(
        &mut self,
        now: Millis,
        view: WorkerView,
        id: &RunId,
        job: &KnownJob,
        step: &StepRequest,
    ) {
        let worker = view.index;
        if !self
            .configuration
            .may_run(&job.host, &job.prefix, &view.kind.service)
        {
            let text = format!(
                "{} was started at worker {worker} of service {}",
                id.task, view.kind.service
            );
            self.breach(now, Rule::Route, text);
        }
        if step
            .node_selector
            .as_ref()
            .is_some_and(|label| !view.kind.labels.contains(label))
        {
            self.breach(
                now,
                Rule::Route,
                format!(
                    "{} was started at worker {worker} without its label",
                    id.task
                ),
            );
        }
        if step.anti_affinity > 0 {
            self.check_anti_affinity(now, view, id, step);
        }
        let drained = self.drains.get(&(worker, view.life)).copied();
        if view.in_touch && drained.is_some_and(|at| now > at + self.bounds.drain_ms) {
            self.breach(
                now,
                Rule::Drain,
                format!("{} was started at worker {worker}, which drains", id.task),
            );
        }
    }

    fn check_anti_affinity(
        &mut self,
        now: Millis,
        view: WorkerView,
        id: &RunId,
        step: &StepRequest,
    ) {
        let wanted = StepId::of_task(&id.task);
        let same = |task: &TaskId| StepId::of_task(task) == wanted;
        let there = |start: &&Start| start.worker == view.index && start.life == view.life;
        let records = self.tasks.iter().filter(|(task, _)| same(task));
        let count = records
            .flat_map(|(_, record)| record.live.iter())
            .filter(there)
            .count() as u32;
        if count + 1 > step.anti_affinity {
            let text = format!(
                "{} is one of {} of its step at worker {}",
                id.task,
                count + 1,
                view.index
            );
            self.breach(now, Rule::Route, text);
        }
    }

    /// A run has ended. `calm_since` says since when nothing was troubled; none where something is.
    pub fn ended(
        &mut self,
        now: Millis,
        view: WorkerView,
        id: &RunId,
        how: RunEnd,
        number: u64,
        calm_since: Option<Millis>,
    ) {
        let contact_ms = self.bounds.contact_ms;
        let record = self.tasks.entry(id.task.clone()).or_default();
        let start = record
            .live
            .iter()
            .find(|start| start.run == id.run && start.worker == view.index);
        let begun = start.map_or(now, |start| start.at);
        // Calm while it waited, and for as long before as a machine takes to be in touch.
        let calm = calm_since.is_some_and(|since| begun >= since + contact_ms);
        record.live.retain(|start| {
            !(start.worker == view.index && start.life == view.life && start.run == id.run)
        });
        record.ends.push(End {
            at: now,
            run: id.run,
            how,
            noted: None,
            void: false,
        });
        let position = record.ends.len() - 1;
        self.ends
            .insert((view.index, view.life, number), (id.task.clone(), position));
        let cancelled = self
            .jobs
            .get(&id.task.job)
            .is_some_and(|job| job.cancel_sent.is_some() || job.hopeless);
        if how == RunEnd::GangIncomplete && calm && view.in_touch && !cancelled {
            self.breach(
                now,
                Rule::Gang,
                format!("{} run {} waited alone", id.task, id.run),
            );
        }
    }

    /// A worker was told that its ends up to a number are taken note of.
    pub fn noted(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        worker: WorkerIndex,
        life: u32,
        up_to: u64,
    ) {
        let range = (worker, life, 0)..=(worker, life, up_to);
        let noted: Vec<_> = self
            .ends
            .range(range)
            .map(|(key, value)| (*key, value.clone()))
            .collect();
        for (key, (task, position)) in noted {
            self.ends.remove(&key);
            self.note_end(now, catalog, &task, position);
        }
    }

    fn note_end(&mut self, now: Millis, catalog: &Catalog, task: &TaskId, position: usize) {
        let Some(end) = self
            .tasks
            .get_mut(task)
            .and_then(|record| record.ends.get_mut(position))
        else {
            return;
        };
        if end.void {
            return;
        }
        end.noted = Some(now);
        let (at, how) = (end.at, end.how);
        let Some(step) = catalog
            .step(task)
            .filter(|step| !step.hedged && !step.long_running)
            .cloned()
        else {
            return;
        };
        match how {
            RunEnd::Done => self.check_done_before_start(now, &step, task, at),
            RunEnd::Failed => self.check_attempts(now, catalog, task),
            _ => {}
        }
    }

    fn check_done_before_start(
        &mut self,
        now: Millis,
        step: &StepRequest,
        task: &TaskId,
        done_at: Millis,
    ) {
        let members = if step.gang {
            0..step.count
        } else {
            task.index..task.index + 1
        };
        for index in members {
            let member = TaskId {
                index,
                ..task.clone()
            };
            let Some(record) = self.tasks.get(&member) else {
                continue;
            };
            let Some(later) = record.starts.iter().find(|start| start.at > done_at) else {
                continue;
            };
            let text = format!(
                "{member} run {} began after its done end, which was then noted",
                later.run
            );
            self.breach(now, Rule::Twice, text);
        }
    }

    fn check_attempts(&mut self, now: Millis, catalog: &Catalog, task: &TaskId) {
        let attempts = self.configuration.most_attempts(catalog, &task.job);
        let starts: Vec<Start> = self
            .tasks
            .get(task)
            .map(|record| record.starts.clone())
            .unwrap_or_default();
        for start in starts {
            let failed = self.noted_failures(task, start.at);
            if failed >= attempts {
                let text = format!(
                    "{task} run {} began after {failed} failed runs, noted by now",
                    start.run
                );
                self.breach(now, Rule::Budget, text);
            }
        }
    }

    /// A worker's hold was over: ends that were not taken note of never will be.
    pub fn hold_over(&mut self, worker: WorkerIndex, life: u32) {
        let range = (worker, life, 0)..=(worker, life, u64::MAX);
        for (task, position) in self.ends.range(range).map(|(_, value)| value) {
            if let Some(end) = self
                .tasks
                .get_mut(task)
                .and_then(|record| record.ends.get_mut(*position))
            {
                end.void = true;
            }
        }
    }

    /// A worker is up no more; what ran there would have been held until a time.
    pub fn worker_down(&mut self, worker: WorkerIndex, life: u32, held_until: Millis) {
        let there = |start: &Start| start.worker == worker && start.life == life;
        for record in self.tasks.values_mut() {
            if record.live.iter().any(there) {
                record.held_until = record.held_until.max(held_until);
            }
            record
                .live
                .retain(|start| !(start.worker == worker && start.life == life));
        }
    }

    /// A machine in touch acknowledged that a worker drains.
    pub fn drain_acknowledged(&mut self, now: Millis, worker: WorkerIndex, life: u32) {
        self.drains.entry((worker, life)).or_insert(now);
    }
}
