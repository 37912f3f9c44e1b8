//! What stays the same for all iterations of a job: its request and the order of its steps.

use streamusher_protocol::job::{JobRequest, StepRequest};
use streamusher_protocol::Millis;

/// A request with its dependencies turned round, so that the end of a step finds what waits for it.
#[derive(Debug)]
pub(crate) struct Plan {
    /// The request, as it was taken.
    pub request: JobRequest,
    /// For each step, the steps that depend on it.
    pub dependents: Vec<Vec<u32>>,
    /// For each step, on how many distinct steps it depends.
    pub blockers: Vec<u32>,
    /// The longest chain of estimated work of one iteration, in milliseconds.
    pub chain_ms: Millis,
    /// Tasks of one iteration.
    pub tasks: u64,
}

impl Plan {
    /// A plan for a checked request; a dependency that names no earlier step is ignored.
    pub fn new(request: JobRequest) -> Plan {
        let mut dependents = vec![Vec::new(); request.steps.len()];
        let mut blockers = Vec::with_capacity(request.steps.len());
        for (index, step) in request.steps.iter().enumerate() {
            let mut on: Vec<usize> = step.depends_on.iter().map(|&d| d as usize).collect();
            on.sort_unstable();
            on.dedup();
            on.retain(|&d| d < index);
            blockers.push(on.len() as u32);
            on.iter().for_each(|&d| dependents[d].push(index as u32));
        }
        let tasks = request.steps.iter().map(|s| u64::from(s.count)).sum();
        let chain_ms = longest_chain(&request, &dependents);
        Plan {
            request,
            dependents,
            blockers,
            chain_ms,
            tasks,
        }
    }

    /// How many iterations there are.
    pub fn iterations(&self) -> u32 {
        self.request.repeat_count.max(1)
    }

    /// When an iteration is due, in milliseconds since 1970.
    pub fn due_at(&self, iteration: u32) -> Millis {
        let later = u64::from(iteration).saturating_mul(self.request.interval_ms);
        self.request.start_at_ms.saturating_add(later)
    }

    /// A step's request.
    pub fn step(&self, step: u32) -> Option<&StepRequest> {
        self.request.steps.get(step as usize)
    }
}

/// The longest chain of estimated work; what depends on a step comes later in the list.
fn longest_chain(request: &JobRequest, dependents: &[Vec<u32>]) -> Millis {
    let mut rest_ms: Vec<Millis> = vec![0; request.steps.len()];
    for (index, step) in request.steps.iter().enumerate().rev() {
        let after = dependents[index]
            .iter()
            .map(|&later| rest_ms[later as usize])
            .max()
            .unwrap_or(0);
        rest_ms[index] = step.estimated_ms.saturating_add(after);
    }
    rest_ms.into_iter().max().unwrap_or(0)
}
