//! Recovery of the jobs from the replicated state at a new primary.

use crate::effects::Effects;
use crate::entry::JobEntry;
use crate::error::{InvalidRecord, RecordError};
use crate::finished_iterations::FinishedIterations;
use crate::iteration::Iteration;
use crate::job::Job;
use crate::plan::JobPlan;
use crate::policy::QueuePolicy;
use crate::position::UnitPosition;
use crate::record::{self, JobRecord, OpenJobRecord, RecordKey, TaskRecord};
use crate::run_assignment::RunAssignment;
use crate::settings::JobSettings;
use crate::store::JobStore;
use crate::unit::{UnitPhase, UnitState};
use crate::validation::validate;
use std::sync::Arc;
use streamusher_protocol::job::JobState;
use streamusher_protocol::task::{JobId, TaskId};
use streamusher_protocol::{Millis, Now};

/// Rebuilds the job store from its records, which may be in any order.
pub(crate) fn recover(
    settings: JobSettings,
    now: Now,
    records: impl Iterator<Item = (Arc<str>, Arc<str>)>,
) -> Result<JobStore, RecordError> {
    let mut store = JobStore::new(settings);
    let mut tasks = Vec::new();
    for (key, value) in records {
        let invalid = |source| RecordError::InvalidValue {
            key: key.clone(),
            source,
        };
        match RecordKey::parse(&key)? {
            RecordKey::Job(id) => {
                let entry = decode_job(&id, &value).map_err(invalid)?;
                store.insert_restored(now, id, entry);
            }
            RecordKey::Task(id) => {
                let task: TaskRecord = record::decode(&value).map_err(invalid)?;
                tasks.push((id, task));
            }
        }
    }
    tasks.sort_unstable_by(|(a, _), (b, _)| a.cmp(b));
    for (id, task) in tasks {
        let job = store.open_job_mut(&id.job);
        if !job.is_some_and(|job| restore_task(job, now, &id, task)) {
            return Err(RecordError::TaskWithoutJob(record::task_key(&id)));
        }
    }
    store.resume_jobs(|job, effects| resume_job(job, now, effects));
    Ok(store)
}

fn decode_job(id: &JobId, value: &str) -> Result<JobEntry, InvalidRecord> {
    let JobRecord { queue, state, open } = record::decode(value)?;
    match (state, open) {
        (state, Some(open)) => {
            validate(&open.request)?;
            let job = restore_job(id.clone(), queue, state, open);
            Ok(JobEntry::Open(Box::new(job)))
        }
        (Some(state), None) => Ok(JobEntry::Ended { queue, state }),
        (None, None) => Err(InvalidRecord::NeitherStateNorOpen),
    }
}

fn restore_job(
    id: JobId,
    queue: Arc<str>,
    final_state: Option<JobState>,
    open: OpenJobRecord,
) -> Job {
    let policy = QueuePolicy {
        queue,
        service: open.service,
        priority: open.priority,
        max_attempts: open.max_attempts,
        stretch: open.stretch,
        target_latency_ms: open.target_latency_ms,
    };
    let plan = JobPlan::new(open.request);
    let mut job = Job::new(id, policy, plan, open.submitted_unix_ms);
    job.final_state = final_state;
    job.iterations.finished = FinishedIterations {
        below: open.finished_below,
        above: open.finished_above.into_iter().collect(),
    };
    job.iterations.completed = job.iterations.finished.count();
    job.has_started = job.iterations.completed > 0;
    job
}

/// Restores a task from its record. Returns false if the job has no such task, or if the record contradicts
/// that of another task of the gang.
fn restore_task(job: &mut Job, now: Now, id: &TaskId, record: TaskRecord) -> bool {
    let has_iteration = id.iteration < job.plan.iteration_count()
        && !job.iterations.finished.contains(id.iteration);
    if record.run == 0 || !has_iteration {
        return false;
    }
    restore_iterations(job, id.iteration);
    let Some(position) = job.iterations.task_position(id) else {
        return false;
    };
    let Some(step) = job.iterations.step_of_mut(position.unit) else {
        return false;
    };
    let holds_unit_state = step.record_task(position.unit.unit) == position.task;
    let Some((task, unit)) = step.task_and_unit_mut(position.task) else {
        return false;
    };
    if task.worker.is_some() || (unit.run != 0 && unit.run != record.run) {
        return false;
    }
    let assigned_runs = u32::from(record.worker.is_some());
    let earlier_runs = u32::from(record.earlier.is_some());
    task.worker.clone_from(&record.worker);
    task.stopping = record.stopping;
    task.earlier = record.earlier.clone().map(|earlier| RunAssignment {
        assigned_unix_ms: known_or_now(earlier.assigned_unix_ms, now),
        ..earlier
    });
    unit.run = record.run;
    unit.assigned_tasks += assigned_runs;
    unit.latency.restart(now.steady_ms);
    if holds_unit_state {
        restore_unit(unit, now, record);
    }
    job.iterations
        .count_assigned(id.iteration, assigned_runs + earlier_runs);
    job.has_started = true;
    true
}

/// Recorded time at which a run was assigned, or the current time if a former version did not record it.
fn known_or_now(recorded_unix_ms: Millis, now: Now) -> Millis {
    match recorded_unix_ms {
        0 => now.unix_ms,
        known => known,
    }
}

fn restore_unit(unit: &mut UnitState, now: Now, record: TaskRecord) {
    if record.done {
        unit.phase = UnitPhase::Done;
    }
    unit.failed_attempts = record.failed_attempts;
    unit.last_failed_run = record.last_failed_run;
    unit.started_from = record
        .started_from
        .unwrap_or_else(|| record.checkpoint.clone());
    unit.checkpoint = record.checkpoint;
    unit.assigned_unix_ms = known_or_now(record.assigned_unix_ms, now);
    unit.avoided_workers = record.avoided_workers;
}

/// Releases all iterations up to one that has started: iterations are released in order, so the ones before
/// it were released too. For a job that has ended, only that iteration is restored.
fn restore_iterations(job: &mut Job, last: u32) {
    let iterations = &mut job.iterations;
    if job.final_state.is_some() {
        iterations
            .open
            .entry(last)
            .or_insert_with(|| Iteration::new(&job.plan));
        return;
    }
    iterations.next = iterations.next.max(iterations.finished.below);
    while iterations.next <= last {
        iterations.release_next(&job.plan);
    }
}

/// Called after all tasks are restored. Determines which steps are done, and makes units ready that may run.
fn resume_job(job: &mut Job, now: Now, effects: &mut Effects) {
    let iterations = &mut job.iterations;
    iterations.next = iterations.next.max(iterations.finished.below);
    let open: Vec<u32> = iterations.open.keys().copied().collect();
    for iteration in open {
        resume_iteration(job, now, iteration, effects);
    }
    job.release_due_iterations(now, effects);
}

fn resume_iteration(job: &mut Job, now: Now, iteration: u32, effects: &mut Effects) {
    let Some(iteration_state) = job.iterations.open.get_mut(&iteration) else {
        return;
    };
    restore_phases(iteration_state, &job.plan);
    if iteration_state.is_complete() {
        job.iterations.completed += 1;
    }
    for step in unblocked_steps(job, iteration) {
        resume_step(job, now, iteration, step, effects);
    }
}

fn restore_phases(iteration: &mut Iteration, plan: &JobPlan) {
    for step in 0..plan.step_count() {
        let Some(step_state) = iteration.step(step) else {
            continue;
        };
        for unit in step_state.unit_indexes() {
            restore_phase(iteration, plan, step, unit);
        }
    }
}

fn restore_phase(iteration: &mut Iteration, plan: &JobPlan, step: u32, unit: u32) {
    let state = iteration
        .step_mut(step)
        .and_then(|step_state| step_state.unit_mut(unit));
    let Some(state) = state else {
        return;
    };
    if state.phase == UnitPhase::Done {
        iteration.on_unit_done(plan, step, unit);
    } else if state.assigned_tasks > 0 {
        state.phase = UnitPhase::Assigned;
    }
}

fn unblocked_steps(job: &Job, iteration: u32) -> Vec<u32> {
    let is_unblocked = |step: &u32| {
        job.iterations
            .step(iteration, *step)
            .is_some_and(|step| step.open_dependencies == 0)
    };
    (0..job.plan.step_count()).filter(is_unblocked).collect()
}

fn resume_step(job: &mut Job, now: Now, iteration: u32, step: u32, effects: &mut Effects) {
    let Some(step_state) = job.iterations.step(iteration, step) else {
        return;
    };
    for unit in step_state.unit_indexes() {
        let position = UnitPosition {
            iteration,
            step,
            unit,
        };
        let phase = job.iterations.unit(position).map(|unit| unit.phase);
        if phase == Some(UnitPhase::Blocked) && !job.has_ended() {
            job.make_unit_ready(now, position, effects);
        }
    }
}
