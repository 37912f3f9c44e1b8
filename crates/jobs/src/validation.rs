//! Validation of a job request before the job is accepted.

use crate::error::SubmitError;
use streamusher_protocol::job::{JobRequest, StepRequest, MAX_SPEC_BYTES};
use streamusher_protocol::Millis;

/// Limit of the tasks of a job that are open at one time. Bounds the memory and the records of a single job.
pub(crate) const MAX_TASKS: u64 = 10_000;
/// Limit of the steps of a job. A job has no more steps than tasks, and chains longer than this are mistakes.
const MAX_STEPS: usize = 1_000;
/// Limit of the iterations of a job: one per minute for almost two years.
const MAX_ITERATIONS: u64 = 1_000_000;
/// Limit of an amount of a resource. It is beyond any machine, and sums over tasks stay far below `u64::MAX`.
const MAX_RESOURCE_AMOUNT: u64 = 1_000_000_000_000;
/// Limit of a duration: some thirty years.
const MAX_DURATION_MS: Millis = 1_000_000_000_000;
/// Limit of a point in time, in milliseconds since 1970: the year 5138.
const MAX_UNIX_MS: Millis = 100_000_000_000_000;
/// Limit of the length of a label.
const MAX_LABEL_BYTES: usize = 256;

/// Rejects a request that cannot be executed or that exceeds a limit.
pub(crate) fn validate(request: &JobRequest) -> Result<(), SubmitError> {
    if request.spec.len() > MAX_SPEC_BYTES {
        return Err(SubmitError::SpecTooLong(request.spec.len()));
    }
    if request.steps.is_empty() {
        return Err(SubmitError::NoSteps);
    }
    if request.steps.len() > MAX_STEPS {
        return Err(SubmitError::TooManySteps {
            found: request.steps.len(),
            limit: MAX_STEPS,
        });
    }
    for (index, step) in request.steps.iter().enumerate() {
        validate_step(index, step)?;
    }
    validate_size(request)?;
    validate_times(request)
}

fn validate_step(index: usize, step: &StepRequest) -> Result<(), SubmitError> {
    if step.count == 0 {
        return Err(SubmitError::NoTasks(index));
    }
    let is_not_earlier = |dependency: &u32| *dependency as usize >= index;
    if let Some(dependency) = step.depends_on.iter().copied().find(is_not_earlier) {
        return Err(SubmitError::DependencyNotEarlier {
            step: index,
            dependency,
        });
    }
    let field = |name: &str| format!("steps[{index}].{name}");
    check_limit(field("cpu"), step.resources.cpu, MAX_RESOURCE_AMOUNT)?;
    check_limit(field("mem_mb"), step.resources.mem_mb, MAX_RESOURCE_AMOUNT)?;
    check_limit(field("gpu"), step.resources.gpu, MAX_RESOURCE_AMOUNT)?;
    check_limit(field("estimated_ms"), step.estimated_ms, MAX_DURATION_MS)?;
    check_label(field("node_selector"), step.node_selector.as_deref())?;
    check_label(field("affinity"), step.affinity.as_deref())
}

fn validate_size(request: &JobRequest) -> Result<(), SubmitError> {
    let tasks: u64 = request.steps.iter().map(|s| u64::from(s.count)).sum();
    if tasks > MAX_TASKS {
        return Err(SubmitError::TooManyTasks {
            found: tasks,
            limit: MAX_TASKS,
        });
    }
    // Without an interval, all iterations are due at once.
    let limit = if request.interval_ms == 0 {
        MAX_TASKS / tasks.max(1)
    } else {
        MAX_ITERATIONS
    };
    if u64::from(request.repeat_count) > limit {
        return Err(SubmitError::TooManyIterations {
            found: request.repeat_count,
            limit,
        });
    }
    Ok(())
}

fn validate_times(request: &JobRequest) -> Result<(), SubmitError> {
    check_limit("start_at_ms".into(), request.start_at_ms, MAX_UNIX_MS)?;
    check_limit("interval_ms".into(), request.interval_ms, MAX_DURATION_MS)
}

fn check_limit(field: String, found: u64, limit: u64) -> Result<(), SubmitError> {
    if found > limit {
        return Err(SubmitError::TooLarge {
            field,
            found,
            limit,
        });
    }
    Ok(())
}

fn check_label(field: String, text: Option<&str>) -> Result<(), SubmitError> {
    let found = text.map_or(0, str::len);
    if found > MAX_LABEL_BYTES {
        return Err(SubmitError::TextTooLong {
            field,
            found,
            limit: MAX_LABEL_BYTES,
        });
    }
    Ok(())
}
