//! Parts of a job that are the same for all of its iterations: the request and the step graph.

use streamusher_protocol::job::{JobRequest, StepRequest};
use streamusher_protocol::Millis;

/// A request with its dependencies reversed, so that the end of a step leads directly to the steps that wait
/// for it.
#[derive(Debug)]
pub(crate) struct JobPlan {
    /// Request as it was submitted.
    pub(crate) request: JobRequest,
    /// For each step, the steps that depend on it.
    pub(crate) dependents: Vec<Vec<u32>>,
    /// For each step, the number of distinct steps on which it depends.
    pub(crate) dependency_counts: Vec<u32>,
    /// Estimated work on the critical path of one iteration, in milliseconds.
    pub(crate) critical_path_ms: Millis,
    /// Number of tasks in one iteration.
    pub(crate) tasks_per_iteration: u64,
}

impl JobPlan {
    /// Creates the plan of a validated request. A dependency on a step that is not earlier is ignored.
    pub(crate) fn new(request: JobRequest) -> JobPlan {
        let mut dependents = vec![Vec::new(); request.steps.len()];
        let mut dependency_counts = Vec::with_capacity(request.steps.len());
        for (index, step) in (0..).zip(&request.steps) {
            let dependencies = distinct_dependencies(index, step);
            let mut dependency_count = 0;
            for dependency in dependencies {
                dependents[dependency as usize].push(index);
                dependency_count += 1;
            }
            dependency_counts.push(dependency_count);
        }
        let tasks_per_iteration = request.steps.iter().map(|s| u64::from(s.count)).sum();
        let critical_path_ms = critical_path_ms(&request, &dependents);
        JobPlan {
            request,
            dependents,
            dependency_counts,
            critical_path_ms,
            tasks_per_iteration,
        }
    }

    /// Number of iterations; at least 1.
    pub(crate) fn iteration_count(&self) -> u32 {
        self.request.repeat_count.max(1)
    }

    /// Due time of an iteration, in milliseconds since 1970.
    pub(crate) fn due_unix_ms(&self, iteration: u32) -> Millis {
        let offset_ms = u64::from(iteration).saturating_mul(self.request.interval_ms);
        self.request.start_at_ms.saturating_add(offset_ms)
    }

    /// Number of steps in one iteration.
    pub(crate) fn step_count(&self) -> u32 {
        u32::try_from(self.request.steps.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn step(&self, step: u32) -> Option<&StepRequest> {
        self.request.steps.get(step as usize)
    }

    /// Whether the tasks of a step run until the job is cancelled.
    pub(crate) fn is_long_running(&self, step: u32) -> bool {
        self.step(step).is_some_and(|request| request.long_running)
    }

    /// Whether the tasks of a step may have a speculative second run. Gangs and long-running steps are never
    /// hedged.
    pub(crate) fn is_hedged(&self, step: u32) -> bool {
        self.step(step)
            .is_some_and(|request| request.hedged && !request.gang && !request.long_running)
    }

    /// Whether the tasks of a step write checkpoints.
    pub(crate) fn has_checkpoints(&self, step: u32) -> bool {
        self.step(step).is_some_and(|request| request.checkpoints)
    }
}

fn distinct_dependencies(index: u32, step: &StepRequest) -> Vec<u32> {
    let mut dependencies = step.depends_on.clone();
    dependencies.sort_unstable();
    dependencies.dedup();
    dependencies.retain(|&dependency| dependency < index);
    dependencies
}

/// Estimated work on the longest chain of dependent steps. Dependents have higher indexes, so the steps are
/// visited in reverse order.
fn critical_path_ms(request: &JobRequest, dependents: &[Vec<u32>]) -> Millis {
    let mut remaining_ms: Vec<Millis> = vec![0; request.steps.len()];
    for (index, step) in request.steps.iter().enumerate().rev() {
        let after_ms = dependents[index]
            .iter()
            .map(|&dependent| remaining_ms[dependent as usize])
            .max()
            .unwrap_or(0);
        remaining_ms[index] = step.estimated_ms.saturating_add(after_ms);
    }
    remaining_ms.into_iter().max().unwrap_or(0)
}
