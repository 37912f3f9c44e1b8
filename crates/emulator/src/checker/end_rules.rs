//! Rules TWICE, BUDGET and GANG on ends of runs and their acknowledgements.

use super::records::{EndNumber, EndPosition, EndRecord, WorkerInstance};
use super::start_rules::WorkerView;
use super::state::Checker;
use super::violation::Rule;
use crate::submitted_jobs::SubmittedJobs;
use crate::workers::effect::WorkerIndex;
use streamusher_protocol::task::{RunEnd, RunId, TaskId};
use streamusher_protocol::Millis;

/// A run that has ended at a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedRun<'a> {
    pub(crate) run: &'a RunId,
    pub(crate) outcome: RunEnd,
    /// Number under which the worker reports the end.
    pub(crate) number: u64,
}

impl Checker {
    /// Handles the end of a run. There have been no faults since `fault_free_since`; `None` while there are
    /// faults.
    pub(crate) fn on_run_ended(
        &mut self,
        now: Millis,
        worker: WorkerView<'_>,
        ended: EndedRun<'_>,
        fault_free_since: Option<Millis>,
    ) {
        let EndedRun {
            run,
            outcome,
            number,
        } = ended;
        let instance = worker.instance();
        let record = self.tasks.entry(run.task.clone()).or_default();
        let start = record
            .running
            .iter()
            .find(|start| start.run == run.run && start.instance.worker == worker.index);
        let started_at = start.map_or(now, |start| start.started_at);
        record
            .running
            .retain(|start| start.instance != instance || start.run != run.run);
        record.ends.push(EndRecord {
            ended_at: now,
            run: run.run,
            outcome,
            acknowledged_at: None,
            discarded: false,
        });
        let position = EndPosition {
            task: run.task.clone(),
            index: record.ends.len() - 1,
        };
        self.unacknowledged_ends
            .insert(EndNumber { instance, number }, position);
        // GANG applies only without faults while the member waited and during the preceding `contact_ms`,
        // within which a machine becomes reachable.
        let contact_ms = self.limits.contact_ms;
        let was_stable = fault_free_since.is_some_and(|since| started_at >= since + contact_ms);
        let job = self.jobs.get(&run.task.job);
        let is_excused = job.is_some_and(|job| job.cancel_sent_at.is_some() || job.cannot_succeed);
        if outcome == RunEnd::GangIncomplete && was_stable && worker.is_reachable && !is_excused {
            let text = format!(
                "{} run {} waited for the other members of its gang until it timed out",
                run.task, run.run
            );
            self.report(now, Rule::Gang, text);
        }
    }

    /// Handles the acknowledgement of a worker's reported ends up to a number.
    pub(crate) fn on_ends_acknowledged(
        &mut self,
        now: Millis,
        submitted_jobs: &SubmittedJobs,
        worker: WorkerIndex,
        incarnation: u32,
        up_to: u64,
    ) {
        let instance = WorkerInstance {
            worker,
            incarnation,
        };
        let range = EndNumber {
            instance,
            number: 0,
        }..=EndNumber {
            instance,
            number: up_to,
        };
        let acknowledged = self.unacknowledged_ends.range(range);
        let acknowledged: Vec<(EndNumber, EndPosition)> = acknowledged
            .map(|(number, position)| (*number, position.clone()))
            .collect();
        for (number, position) in acknowledged {
            self.unacknowledged_ends.remove(&number);
            self.on_end_acknowledged(now, submitted_jobs, &position);
        }
    }

    fn on_end_acknowledged(
        &mut self,
        now: Millis,
        submitted_jobs: &SubmittedJobs,
        position: &EndPosition,
    ) {
        let task = &position.task;
        let record = self.tasks.get_mut(task);
        let Some(end) = record.and_then(|record| record.ends.get_mut(position.index)) else {
            return;
        };
        if end.discarded {
            return;
        }
        end.acknowledged_at = Some(now);
        let ended_at = end.ended_at;
        let outcome = end.outcome;
        let Some(step) = submitted_jobs.step(task) else {
            return;
        };
        if step.hedged || step.long_running {
            return;
        }
        match outcome {
            RunEnd::Done => self.check_no_start_after_done(now, submitted_jobs, task, ended_at),
            RunEnd::Failed => self.check_attempts(now, submitted_jobs, task),
            _ => {}
        }
    }

    fn check_no_start_after_done(
        &mut self,
        now: Millis,
        submitted_jobs: &SubmittedJobs,
        task: &TaskId,
        done_at: Millis,
    ) {
        for member in submitted_jobs.gang_members(task) {
            let starts = self.task(&member).map(|record| record.starts.iter());
            let later =
                starts.and_then(|mut starts| starts.find(|start| start.started_at > done_at));
            if let Some(later) = later {
                let run = later.run;
                let text = format!(
                    "{member} run {run} was started after the end of a completed run that is now acknowledged"
                );
                self.report(now, Rule::Twice, text);
            }
        }
    }

    fn check_attempts(&mut self, now: Millis, submitted_jobs: &SubmittedJobs, task: &TaskId) {
        let attempts = self.configurations.max_attempts(submitted_jobs, &task.job);
        let record = self.tasks.get(task);
        let starts = record
            .map(|record| record.starts.clone())
            .unwrap_or_default();
        for start in starts {
            let failed = self.acknowledged_failures(task, start.started_at);
            if failed >= attempts {
                let run = start.run;
                let text = format!(
                    "{task} run {run} was started after {failed} failed runs that are now acknowledged"
                );
                self.report(now, Rule::Budget, text);
            }
        }
    }

    /// Handles the expiry of a worker's lease: ends that are not acknowledged yet no longer count.
    pub(crate) fn on_lease_expired(&mut self, worker: WorkerIndex, incarnation: u32) {
        let instance = WorkerInstance {
            worker,
            incarnation,
        };
        let range = EndNumber {
            instance,
            number: 0,
        }..=EndNumber {
            instance,
            number: u64::MAX,
        };
        for position in self
            .unacknowledged_ends
            .range(range)
            .map(|(_, position)| position)
        {
            let record = self.tasks.get_mut(&position.task);
            if let Some(end) = record.and_then(|record| record.ends.get_mut(position.index)) {
                end.discarded = true;
            }
        }
    }

    /// Handles the crash of a worker whose lease would have lasted until `leased_until`.
    pub(crate) fn on_worker_crashed(
        &mut self,
        worker: WorkerIndex,
        incarnation: u32,
        leased_until: Millis,
    ) {
        let instance = WorkerInstance {
            worker,
            incarnation,
        };
        for record in self.tasks.values_mut() {
            if record
                .running
                .iter()
                .any(|start| start.instance == instance)
            {
                record.leased_until = record.leased_until.max(leased_until);
            }
            record.running.retain(|start| start.instance != instance);
        }
    }

    /// Handles the acknowledgement of a worker's draining by a reachable machine.
    pub(crate) fn on_drain_acknowledged(
        &mut self,
        now: Millis,
        worker: WorkerIndex,
        incarnation: u32,
    ) {
        let instance = WorkerInstance {
            worker,
            incarnation,
        };
        self.drains.entry(instance).or_insert(now);
    }
}
