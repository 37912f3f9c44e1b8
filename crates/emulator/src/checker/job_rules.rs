//! Rules REFUSED, MIXED, LOST and the final check of UNASKED, on the responses that clients receive about
//! their jobs.

use super::state::Checker;
use super::violation::Rule;
use crate::cast::index_u32;
use crate::submitted_jobs::SubmittedJobs;
use std::collections::BTreeSet;
use streamusher_protocol::job::{JobState, StepRequest};
use streamusher_protocol::task::{JobId, TaskId};
use streamusher_protocol::Millis;

/// Response to a query of a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StatusResponse {
    /// HTTP status of the response.
    pub(crate) status: u16,
    /// Reported state of the job.
    pub(crate) state: Option<JobState>,
    /// Time at which the query was sent.
    pub(crate) sent_at: Millis,
    /// Whether the queried machine was reachable for the whole duration of the query.
    pub(crate) was_reachable: bool,
}

impl Checker {
    /// Records an attempt to submit a job.
    pub(crate) fn on_submit_sent(&mut self, id: &JobId, cannot_succeed: bool) {
        let record = self.jobs.entry(id.clone()).or_default();
        record.attempts += 1;
        record.open_attempts += 1;
        record.cannot_succeed = cannot_succeed;
    }

    /// Handles the response to a submission. Only 429, 503 and 404 state that the job was not accepted.
    pub(crate) fn on_submit_response(&mut self, now: Millis, id: &JobId, status: u16) {
        let record = self.jobs.entry(id.clone()).or_default();
        match status {
            200..=299 => {
                record.accepted_at.get_or_insert(now);
            }
            404 | 429 | 503 => record.open_attempts = record.open_attempts.saturating_sub(1),
            400 => {
                let text = format!("valid job {id} was rejected with status 400");
                self.report(now, Rule::Acks, text);
            }
            _ => {}
        }
    }

    /// Records a client's request to cancel a job.
    pub(crate) fn on_cancel_sent(&mut self, now: Millis, id: &JobId) {
        let record = self.jobs.entry(id.clone()).or_default();
        record.cancel_sent_at.get_or_insert(now);
    }

    /// Records the acknowledgement of a cancellation.
    pub(crate) fn on_cancel_acknowledged(&mut self, now: Millis, id: &JobId) {
        let record = self.jobs.entry(id.clone()).or_default();
        record.cancel_acknowledged_at.get_or_insert(now);
    }

    /// Handles the response to a query of a job.
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
            let text = format!("job {id} was accepted but a query was answered with status 410");
            self.report(now, Rule::Lost, text);
        }
        match response.state {
            Some(JobState::Succeeded) if !self.is_all_done(submitted_jobs, id) => {
                let text = format!(
                    "job {id} is reported as succeeded although some of its tasks are not done"
                );
                self.report(now, Rule::Mixed, text);
            }
            Some(JobState::Failed) if !self.has_failed_task(submitted_jobs, id) => {
                let text = format!("job {id} is reported as failed although no task has failed in all its attempts");
                self.report(now, Rule::Lost, text);
            }
            Some(JobState::Cancelled) if !was_cancelled => {
                let text = format!(
                    "job {id} is reported as cancelled although no cancellation was requested"
                );
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

    /// Handles the end of the final query of a job; `answered` says whether its state arrived in time.
    pub(crate) fn on_final_query_over(&mut self, now: Millis, id: &JobId, answered: bool) {
        let Some(record) = self.jobs.get(id) else {
            return;
        };
        let is_owed = record.accepted_at.is_some() && record.cancel_sent_at.is_none();
        if is_owed && !answered {
            let text = format!(
                "job {id} was accepted but its state is unknown at the end of the simulation"
            );
            self.report(now, Rule::Lost, text);
        }
    }

    /// Reports tasks that still run after the time limit for an acknowledged cancellation of their job. Must
    /// only be called while there are no faults.
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
                let text = format!("{task} still runs {limit_ms} ms after the acknowledged cancellation of its job");
                self.report(now, Rule::Unasked, text);
            }
        }
    }

    /// Reports, at the end of the simulation, jobs that ran although every attempt to submit them was
    /// rejected.
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
