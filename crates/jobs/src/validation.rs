//! Checks of a request before it is taken.

use crate::error::SubmitError;
use streamusher_protocol::job::{JobRequest, StepRequest, MAX_SPEC_BYTES};
use streamusher_protocol::Millis;

/// Tasks of a job that may be open at one time: bounds the memory and the record of a single job.
pub(crate) const MOST_TASKS: u64 = 10_000;
/// Steps of a job: one for each task at most would be [`MOST_TASKS`], chains of that length are mistakes.
const MOST_STEPS: usize = 1_000;
/// Iterations of a job: one a minute for almost two years.
const MOST_REPEATS: u64 = 1_000_000;
/// Largest amount of a resource: beyond any machine, and sums of tasks stay far below the integer's end.
const MOST_AMOUNT: u64 = 1_000_000_000_000;
/// Longest time span: some thirty years in milliseconds.
const MOST_SPAN_MS: Millis = 1_000_000_000_000;
/// Latest moment that can be asked for: the year 5138.
const MOST_MOMENT_MS: Millis = 100_000_000_000_000;
/// Longest label.
const MOST_LABEL_BYTES: usize = 256;

/// Refuses what cannot be run or would cost beyond reason.
pub(crate) fn check(request: &JobRequest) -> Result<(), SubmitError> {
    if request.spec.len() > MAX_SPEC_BYTES {
        return Err(SubmitError::SpecTooLong(request.spec.len()));
    }
    if request.steps.is_empty() {
        return Err(SubmitError::NoSteps);
    }
    if request.steps.len() > MOST_STEPS {
        return Err(SubmitError::TooManySteps {
            found: request.steps.len(),
            most: MOST_STEPS,
        });
    }
    for (index, step) in request.steps.iter().enumerate() {
        check_step(index, step)?;
    }
    check_size(request)?;
    check_times(request)
}

fn check_step(index: usize, step: &StepRequest) -> Result<(), SubmitError> {
    if step.count == 0 {
        return Err(SubmitError::NoTasks(index));
    }
    if let Some(&on) = step.depends_on.iter().find(|&&on| on as usize >= index) {
        return Err(SubmitError::NotEarlier { step: index, on });
    }
    let field = |name: &str| format!("steps[{index}].{name}");
    at_most(field("cpu"), step.resources.cpu, MOST_AMOUNT)?;
    at_most(field("mem_mb"), step.resources.mem_mb, MOST_AMOUNT)?;
    at_most(field("gpu"), step.resources.gpu, MOST_AMOUNT)?;
    at_most(field("estimated_ms"), step.estimated_ms, MOST_SPAN_MS)?;
    short(field("node_selector"), step.node_selector.as_deref())?;
    short(field("affinity"), step.affinity.as_deref())
}

fn check_size(request: &JobRequest) -> Result<(), SubmitError> {
    let tasks: u64 = request.steps.iter().map(|s| u64::from(s.count)).sum();
    if tasks > MOST_TASKS {
        return Err(SubmitError::TooManyTasks {
            found: tasks,
            most: MOST_TASKS,
        });
    }
    let most = if request.interval_ms == 0 {
        MOST_TASKS / tasks.max(1)
    } else {
        MOST_REPEATS
    };
    if u64::from(request.repeat_count) > most {
        return Err(SubmitError::TooManyRepeats {
            found: request.repeat_count,
            most,
        });
    }
    Ok(())
}

fn check_times(request: &JobRequest) -> Result<(), SubmitError> {
    at_most("start_at_ms".into(), request.start_at_ms, MOST_MOMENT_MS)?;
    at_most("interval_ms".into(), request.interval_ms, MOST_SPAN_MS)
}

fn at_most(field: String, found: u64, most: u64) -> Result<(), SubmitError> {
    if found > most {
        return Err(SubmitError::TooLarge { field, found, most });
    }
    Ok(())
}

fn short(field: String, text: Option<&str>) -> Result<(), SubmitError> {
    let found = text.map_or(0, str::len);
    if found > MOST_LABEL_BYTES {
        return Err(SubmitError::TextTooLong {
            field,
            found,
            most: MOST_LABEL_BYTES,
        });
    }
    Ok(())
}
