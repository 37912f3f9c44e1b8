//! The list of runs that occupy workers.

use crate::changes::AssignedRun;
use crate::job::Job;
use crate::steps::Step;
use streamusher_protocol::task::RunId;

impl Job {
    /// Adds all runs that occupy a worker.
    pub fn add_assigned(&self, list: &mut Vec<AssignedRun>) {
        if self.assigned == 0 {
            return;
        }
        for (&iteration, content) in self.iterations.iter().filter(|(_, i)| i.assigned > 0) {
            for (index, step) in content.steps.iter().enumerate() {
                for member in 0..step.members.len() {
                    list.extend(self.assigned_run(iteration, index, step, member));
                }
            }
        }
    }

    fn assigned_run(&self, iteration: u32, index: usize, step: &Step, member: usize) -> Option<AssignedRun> {
        let request = self.plan.request.steps.get(index)?;
        let holder = &step.members[member];
        let unit = step.unit_of(member);
        let state = &step.units[unit];
        Some(AssignedRun {
            worker: holder.worker.clone()?,
            run: RunId { task: self.task_id(iteration, index, member), run: state.run },
            resources: request.resources,
            priority: self.terms.priority,
            unit: self.unit_id(iteration, index, unit),
            service: self.terms.service.clone(),
            spec: self.plan.request.spec.clone(),
            checkpoint: state.started_from.clone(),
            estimated_ms: request.estimated_ms,
            checkpoints: request.checkpoints,
            long_running: request.long_running,
            gang: request.gang,
            stopping: holder.stopping || self.end.is_some(),
        })
    }
}
