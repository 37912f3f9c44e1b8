//! One iteration of a job: the progress of its steps.

use crate::latency::LatencyBreakdown;
use crate::plan::JobPlan;
use crate::step::StepState;
use crate::unit::UnitPhase;

/// Progress of one iteration of a job.
#[derive(Clone, Debug)]
pub(crate) struct Iteration {
    pub(crate) steps: Vec<StepState>,
    /// Number of steps that are not done.
    pub(crate) open_steps: usize,
    /// Number of runs that are assigned to workers.
    pub(crate) assigned_runs: u32,
    /// Latency breakdown of the unit that was done last, including the chain of units before it.
    pub(crate) latest_breakdown: LatencyBreakdown,
}

impl Iteration {
    /// Creates an iteration in which nothing has started.
    pub(crate) fn new(plan: &JobPlan) -> Iteration {
        let requests = plan.request.steps.iter();
        let steps: Vec<StepState> = requests
            .zip(&plan.dependency_counts)
            .map(|(request, &dependency_count)| StepState::new(request, dependency_count))
            .collect();
        Iteration {
            open_steps: steps.len(),
            steps,
            assigned_runs: 0,
            latest_breakdown: LatencyBreakdown::default(),
        }
    }

    pub(crate) fn step(&self, step: u32) -> Option<&StepState> {
        self.steps.get(step as usize)
    }

    pub(crate) fn step_mut(&mut self, step: u32) -> Option<&mut StepState> {
        self.steps.get_mut(step as usize)
    }

    /// Whether every step is done.
    pub(crate) fn is_complete(&self) -> bool {
        self.open_steps == 0
    }

    /// Whether every step is done and no run is assigned any more.
    pub(crate) fn is_over(&self) -> bool {
        self.is_complete() && self.assigned_runs == 0
    }

    /// Marks a unit as done and returns the steps that become unblocked by it.
    pub(crate) fn on_unit_done(&mut self, plan: &JobPlan, step: u32, unit: u32) -> Vec<u32> {
        let Some(step_state) = self.steps.get_mut(step as usize) else {
            return Vec::new();
        };
        if let Some(unit) = step_state.unit_mut(unit) {
            unit.phase = UnitPhase::Done;
            self.latest_breakdown = unit.latency.breakdown().clone();
        }
        step_state.open_units = step_state.open_units.saturating_sub(1);
        if step_state.open_units > 0 {
            return Vec::new();
        }
        self.open_steps = self.open_steps.saturating_sub(1);
        self.unblock_dependents(&plan.dependents[step as usize])
    }

    fn unblock_dependents(&mut self, dependents: &[u32]) -> Vec<u32> {
        let mut unblocked = Vec::new();
        for &dependent in dependents {
            let Some(step) = self.step_mut(dependent) else {
                continue;
            };
            step.open_dependencies = step.open_dependencies.saturating_sub(1);
            if step.open_dependencies == 0 {
                unblocked.push(dependent);
            }
        }
        unblocked
    }
}
