//! The list of runs that occupy workers.

use crate::changes::AssignedRun;
use crate::job::Job;
use crate::step::{EarlierRun, Step};
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
                    list.extend(self.newest_run(iteration, index, step, member));
                    list.extend(self.earlier_run(iteration, index, step, member));
                }
            }
        }
    }

    fn newest_run(
        &self,
        iteration: u32,
        index: usize,
        step: &Step,
        member: usize,
    ) -> Option<AssignedRun> {
        let holder = &step.members[member];
        let unit = &step.units[step.unit_of(member)];
        let sits = EarlierRun {
            run: unit.run,
            worker: holder.worker.clone()?,
            stopping: holder.stopping,
            started_from: unit.started_from.clone(),
        };
        self.assigned_run(iteration, index, step, member, sits)
    }

    fn earlier_run(
        &self,
        iteration: u32,
        index: usize,
        step: &Step,
        member: usize,
    ) -> Option<AssignedRun> {
        let sits = step.members[member].earlier.clone()?;
        self.assigned_run(iteration, index, step, member, sits)
    }

    fn assigned_run(
        &self,
        iteration: u32,
        index: usize,
        step: &Step,
        member: usize,
        sits: EarlierRun,
    ) -> Option<AssignedRun> {
        let request = self.plan.request.steps.get(index)?;
        Some(AssignedRun {
            worker: sits.worker,
            run: RunId {
                task: self.task_id(iteration, index, member),
                run: sits.run,
            },
            resources: request.resources,
            queue: self.terms.queue.clone(),
            slack_ms: self.slack_of(request.estimated_ms),
            priority: self.terms.priority,
            unit: self.unit_id(iteration, index, step.unit_of(member)),
            service: self.terms.service.clone(),
            spec: self.plan.request.spec.clone(),
            checkpoint: sits.started_from,
            estimated_ms: request.estimated_ms,
            checkpoints: request.checkpoints,
            long_running: request.long_running,
            gang: request.gang,
            hedged: self.is_hedged(index),
            stopping: sits.stopping || self.end.is_some(),
        })
    }
}
