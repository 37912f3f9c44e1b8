//! Conversion of jobs and tasks to their stored records.

use crate::entry::JobEntry;
use crate::job::Job;
use crate::record::{JobRecord, OpenJobRecord, TaskRecord};
use crate::unit::{UnitPhase, UnitState};
use streamusher_protocol::task::TaskId;

pub(crate) fn job_record(entry: &JobEntry) -> JobRecord {
    match entry {
        JobEntry::Open(job) => JobRecord {
            queue: job.policy.queue.clone(),
            state: job.final_state,
            open: Some(open_job_record(job)),
        },
        JobEntry::Ended { queue, state } => JobRecord {
            queue: queue.clone(),
            state: Some(*state),
            open: None,
        },
    }
}

fn open_job_record(job: &Job) -> OpenJobRecord {
    let finished = &job.iterations.finished;
    OpenJobRecord {
        service: job.policy.service.clone(),
        priority: job.policy.priority,
        max_attempts: job.policy.max_attempts,
        stretch: job.policy.stretch,
        target_latency_ms: job.policy.target_latency_ms,
        submitted_unix_ms: job.submitted_unix_ms,
        finished_below: finished.below,
        finished_above: finished.above.iter().copied().collect(),
        request: job.plan.request.clone(),
    }
}

/// Builds the record of a task. Returns `None` if no run of it has started, or if its iteration is finished.
pub(crate) fn task_record(job: &Job, id: &TaskId) -> Option<TaskRecord> {
    let position = job.iterations.task_position(id)?;
    let step = job.iterations.step_of(position.unit)?;
    let unit = step.unit(position.unit.unit)?;
    let task = step.task(position.task)?;
    if unit.run == 0 {
        return None;
    }
    let record = TaskRecord {
        run: unit.run,
        worker: task.worker.clone(),
        stopping: task.stopping,
        earlier: task.earlier.clone(),
        ..TaskRecord::default()
    };
    if step.record_task(position.unit.unit) == position.task {
        Some(with_unit_state(record, unit))
    } else {
        Some(record)
    }
}

fn with_unit_state(record: TaskRecord, unit: &UnitState) -> TaskRecord {
    let has_newer_checkpoint = unit.assigned_tasks > 0 && unit.started_from != unit.checkpoint;
    TaskRecord {
        done: unit.phase == UnitPhase::Done,
        failed_attempts: unit.failed_attempts,
        last_failed_run: unit.last_failed_run,
        checkpoint: unit.checkpoint.clone(),
        started_from: has_newer_checkpoint.then(|| unit.started_from.clone()),
        assigned_unix_ms: if unit.assigned_tasks > 0 {
            unit.assigned_unix_ms
        } else {
            0
        },
        avoided_workers: unit.avoided_workers.clone(),
        ..record
    }
}
