//! Descriptions of a job's waiting units, as placement needs them, and of its runs that occupy workers.

use crate::changes::AssignedRun;
use crate::job::Job;
use crate::position::UnitPosition;
use crate::run_assignment::RunAssignment;
use crate::unit::UnitPhase;
use streamusher_protocol::job::StepRequest;
use streamusher_protocol::task::RunId;
use streamusher_protocol::unit::{Unit, UnitId};
use streamusher_protocol::Millis;

/// Added to the order of a speculative run, in milliseconds. The run comes after all units of its priority
/// whose order is less than this much later than that of its own iteration.
const SPECULATIVE_DELAY_MS: Millis = 600_000;

/// Describes a unit that waits for placement. Returns `None` if the unit does not wait.
pub(crate) fn waiting_unit(job: &Job, id: &UnitId) -> Option<Unit> {
    let position = UnitPosition::from_id(id);
    let request = job.plan.step(position.step)?;
    let step = job.iterations.step_of(position)?;
    let state = step.unit(position.unit)?;
    if state.phase != UnitPhase::Waiting {
        return None;
    }
    let speculative = step.has_earlier_run(position.unit);
    let tasks = step.tasks_of(position.unit);
    Some(Unit {
        id: id.clone(),
        tasks: tasks.map(|task| position.task_id(&job.id, task)).collect(),
        resources: request.resources,
        service: job.policy.service.clone(),
        queue: job.policy.queue.clone(),
        priority: job.policy.priority,
        order: unit_order(job, position.iteration, speculative),
        slack_ms: slack_ms(job, request),
        node_selector: request.node_selector.clone(),
        affinity: request.affinity.clone(),
        anti_affinity: request.anti_affinity,
        same_rack: request.same_rack,
        estimated_ms: request.estimated_ms,
        checkpoints: request.checkpoints,
        long_running: request.long_running,
        hedged: job.plan.is_hedged(position.step),
        speculative,
        avoid: state.avoided_workers.clone(),
    })
}

/// Order of a unit within its priority: the time at which the constant part of the latency objective is used
/// up.
fn unit_order(job: &Job, iteration: u32, speculative: bool) -> Millis {
    let delay_ms = if speculative { SPECULATIVE_DELAY_MS } else { 0 };
    job.due_unix_ms(iteration)
        .saturating_add(job.policy.target_latency_ms)
        .saturating_add(delay_ms)
}

fn slack_ms(job: &Job, request: &StepRequest) -> Millis {
    job.policy
        .slack_ms(request.estimated_ms, job.plan.critical_path_ms)
}

/// Describes all runs of a job that occupy a worker.
pub(crate) fn assigned_runs(job: &Job) -> Vec<AssignedRun> {
    let mut runs = Vec::new();
    if job.iterations.assigned_runs == 0 {
        return runs;
    }
    let open = job.iterations.open.iter();
    for (&iteration, iteration_state) in open.filter(|(_, state)| state.assigned_runs > 0) {
        for (step, step_state) in (0..).zip(&iteration_state.steps) {
            for task in step_state.task_indexes() {
                let unit = UnitPosition {
                    iteration,
                    step,
                    unit: step_state.unit_of(task),
                };
                let task_runs = step_state.assigned_runs(task);
                runs.extend(task_runs.filter_map(|run| assigned_run(job, unit, task, run)));
            }
        }
    }
    runs
}

fn assigned_run(
    job: &Job,
    unit: UnitPosition,
    task: u32,
    run: RunAssignment,
) -> Option<AssignedRun> {
    let request = job.plan.step(unit.step)?;
    Some(AssignedRun {
        run: RunId {
            task: unit.task_id(&job.id, task),
            run: run.run,
        },
        worker: run.worker,
        resources: request.resources,
        queue: job.policy.queue.clone(),
        slack_ms: slack_ms(job, request),
        priority: job.policy.priority,
        unit: job.unit_id(unit),
        service: job.policy.service.clone(),
        spec: job.plan.request.spec.clone(),
        checkpoint: run.started_from,
        assigned_unix_ms: run.assigned_unix_ms,
        estimated_ms: request.estimated_ms,
        checkpoints: request.checkpoints,
        long_running: request.long_running,
        gang: request.gang,
        hedged: job.plan.is_hedged(unit.step),
        stopping: run.stopping || job.has_ended(),
    })
}
