//! REFUSED, MIXED, LOST and the end of UNASKED: what clients are told about their jobs.

use super::state::Checker;
use super::violation::Rule;
use crate::cast::index_u32;
use crate::submitted_jobs::SubmittedJobs;
use std::collections::BTreeSet;
use streamusher_protocol::job::{JobState, StepRequest};
use streamusher_protocol::task::{JobId, TaskId};
use streamusher_protocol::Millis;

/// A response to the query of a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StatusResponse {
    /// The status of the response.
    pub(crate) status: u16,
    /// The state in which the job is shown.
    pub(crate) state: Option<JobState>,
    /// When the query was sent.
    pub(crate) sent_at: Millis,
    /// Whether the machine that was asked was reachable throughout.
    pub(crate) was_reachable: bool,
}

impl Checker {
    /// A client sends a job.
    pub(crate) fn on_submit_sent(&mut self, id: &JobId, hopeless: bool) {
        let record = self.jobs.entry(id.clone()).or_default();
        record.attempts += 1;
        record.open_attempts += 1;
        record.hopeless = hopeless;
    }

    /// An attempt to submit a job was answered. Only 429, 503 and 404 say that it was not accepted.
    pub(crate) fn on_submit_response(&mut self, now: Millis, id: &JobId, status: u16) {
        let record = self.jobs.entry(id.clone()).or_default();
        match status {
            200..=299 => {
                record.accepted_at.get_or_insert(now);
            }
            404 | 429 | 503 => record.open_attempts = record.open_attempts.saturating_sub(1),
            400 => {
                let text = format!("job {id} is valid and is answered 400");
                self.report(now, Rule::Acks, text);
            }
            _ => {}
        }
    }

    /// A client cancels a job.
    pub(crate) fn on_cancel_sent(&mut self, now: Millis, id: &JobId) {
        let record = self.jobs.entry(id.clone()).or_default();
        record.cancel_sent_at.get_or_insert(now);
    }

    /// A cancellation was acknowledged.
    pub(crate) fn on_cancel_acknowledged(&mut self, now: Millis, id: &JobId) {
        let record = self.jobs.entry(id.clone()).or_default();
        record.cancel_acknowledged_at.get_or_insert(now);
    }

    /// The query of a job was answered.
    pub(crate) fn on_status_response(
        &mut self,
        now: Millis,
        submitted_jobs: &SubmittedJobs,
        id: &JobId,
        response: StatusResponse,
    ) {
        let visible_ms = self.limits.visible_ms;
        let record = self.jobs.entry(id.clone()).or_default();
        if let Some(state) = response.state {
            record.shown = Some(state);
        }
        let must_be_known = record
            .accepted_at
            .is_some_and(|accepted_at| response.sent_at > accepted_at + visible_ms);
        let was_cancelled = record.cancel_sent_at.is_some();
        if response.status == 410 && response.was_reachable && must_be_known && !was_cancelled {
            let text = format!("job {id} was accepted and is answered 410");
            self.report(now, Rule::Lost, text);
        }
        match response.state {
            Some(JobState::Succeeded) if !self.is_all_done(submitted_jobs, id) => {
                let text = format!("job {id} is shown as succeeded");
                self.report(now, Rule::Mixed, text);
            }
            Some(JobState::Failed) if !self.has_failed_task(submitted_jobs, id) => {
                let text = format!("job {id} is shown as failed without a cause");
                self.report(now, Rule::Lost, text);
            }
            Some(JobState::Cancelled) if !was_cancelled => {
                let text = format!("job {id} is shown as cancelled without a cause");
                self.report(now, Rule::Lost, text);
            }
            _ => {}
        }
    }

    fn is_all_done(&self, submitted_jobs: &SubmittedJobs, id: &JobId) -> bool {
        let Some(job) = submitted_jobs.job(id) else {
            return false;
        };
        let mut tasks = job.tasks(id);
        tasks.all(|task| self.is_done(&task))
    }

    fn has_failed_task(&self, submitted_jobs: &SubmittedJobs, id: &JobId) -> bool {
        let Some(job) = submitted_jobs.job(id) else {
            return false;
        };
        let attempts = self.configurations.min_attempts(&job.host, &job.prefix) as usize;
        (0..job.iterations()).any(|iteration| {
            let mut steps = job.request.steps.iter().enumerate();
            steps.any(|(step, request)| {
                let tasks = job.tasks_of_step(id, iteration, index_u32(step));
                self.has_failed_in_step(request, tasks, attempts)
            })
        })
    }

    /// Whether a task of a step, or its gang, has failed in all its attempts.
    fn has_failed_in_step(
        &self,
        request: &StepRequest,
        tasks: impl Iterator<Item = TaskId>,
        attempts: usize,
    ) -> bool {
        let failed_runs = |task: TaskId| {
            let record = self.task(&task)?;
            Some(record.failed_runs().collect::<BTreeSet<u32>>())
        };
        let mut failed_runs = tasks.filter_map(failed_runs);
        if request.gang {
            let all: BTreeSet<u32> = failed_runs.flatten().collect();
            return all.len() >= attempts;
        }
        failed_runs.any(|runs| runs.len() >= attempts)
    }

    /// The final query of a job is over; `answered` says that its state came in time.
    pub(crate) fn on_final_query_over(&mut self, now: Millis, id: &JobId, answered: bool) {
        let Some(record) = self.jobs.get(id) else {
            return;
        };
        let is_owed = record.accepted_at.is_some() && record.cancel_sent_at.is_none();
        if is_owed && !answered {
            let text = format!("job {id} was accepted and is not known at the end");
            self.report(now, Rule::Lost, text);
        }
    }

    /// Looks for tasks that still run long after their job's cancellation was acknowledged. Only to be called while there
    /// are no faults.
    pub(crate) fn check_cancelled_jobs(&mut self, now: Millis) {
        let limit_ms = self.limits.cancel_ms + self.limits.stop_ms;
        let must_be_over = |id: &JobId| {
            let record = self.jobs.get(id);
            let acknowledged_at = record.and_then(|record| record.cancel_acknowledged_at);
            acknowledged_at.is_some_and(|acknowledged_at| now > acknowledged_at + limit_ms)
        };
        let running = self.tasks.iter().filter(|(_, record)| record.is_running());
        let overdue = running.filter(|(task, _)| must_be_over(&task.job));
        let overdue: Vec<TaskId> = overdue.map(|(task, _)| task.clone()).collect();
        for task in overdue {
            if self.overdue.insert(task.clone()) {
                let text = format!("{task} still runs after its job was cancelled");
                self.report(now, Rule::Unasked, text);
            }
        }
    }

    /// Looks, at the end of the simulation, for jobs that ran although every attempt to submit them was rejected.
    pub(crate) fn check_rejected_jobs(&mut self, now: Millis) {
        let started = self
            .tasks
            .iter()
            .filter(|(_, record)| !record.starts.is_empty());
        let jobs: BTreeSet<JobId> = started.map(|(task, _)| task.job.clone()).collect();
        for id in jobs {
            let record = self.jobs.get(&id);
            let is_rejected =
                record.is_some_and(|record| record.attempts > 0 && record.open_attempts == 0);
            if is_rejected {
                let text = format!("job {id} ran although every attempt to submit it was rejected");
                self.report(now, Rule::Refused, text);
            }
        }
    }
}
