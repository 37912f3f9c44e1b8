//! REFUSED, MIXED, LOST and the end of UNASKED: what clients are answered about their jobs.

use super::tasks::TaskRecord;
use super::{Checker, Rule};
use crate::catalog::Catalog;
use std::collections::BTreeSet;
use streamusher_protocol::job::{JobState, StepRequest};
use streamusher_protocol::task::{JobId, TaskId};
use streamusher_protocol::Millis;

/// What happened to a job, as its client sees it.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobRecord {
    /// Tries without an answer that refuses.
    pub(crate) open_tries: u32,
    pub(crate) tries: u32,
    pub(crate) accepted: Option<Millis>,
    pub(crate) cancel_sent: Option<Millis>,
    pub(crate) cancel_acknowledged: Option<Millis>,
    /// It can never be done.
    pub(crate) hopeless: bool,
    pub(crate) shown: Option<JobState>,
    pub(crate) asked_at_end: bool,
    pub(crate) idle_since: Option<Millis>,
}

/// How a client asked.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    /// When.
    pub at: Millis,
    /// Whether the machine that it asked was in touch throughout.
    pub calm: bool,
}

impl Checker {
    /// A client sends a job.
    pub fn submit_sent(&mut self, id: &JobId, hopeless: bool) {
        let record = self.jobs.entry(id.clone()).or_default();
        record.tries += 1;
        record.open_tries += 1;
        record.hopeless = hopeless;
    }

    /// A try was answered. Only 429, 503 and 404 say that it was not taken.
    pub fn submit_answered(&mut self, now: Millis, id: &JobId, status: u16) {
        let record = self.jobs.entry(id.clone()).or_default();
        match status {
            200..=299 => {
                record.accepted.get_or_insert(now);
            }
            404 | 429 | 503 => record.open_tries = record.open_tries.saturating_sub(1),
            400 => self.breach(
                now,
                Rule::Acks,
                format!("job {id} is in order and is answered 400"),
            ),
            _ => {}
        }
    }

    /// A client cancels a job.
    pub fn cancel_sent(&mut self, now: Millis, id: &JobId) {
        self.jobs
            .entry(id.clone())
            .or_default()
            .cancel_sent
            .get_or_insert(now);
    }

    /// A cancel was acknowledged.
    pub fn cancel_acknowledged(&mut self, now: Millis, id: &JobId) {
        self.jobs
            .entry(id.clone())
            .or_default()
            .cancel_acknowledged
            .get_or_insert(now);
    }

    /// A client was told of a job.
    pub fn status_answered(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        id: &JobId,
        status: u16,
        state: Option<JobState>,
        asked: Asked,
    ) {
        let visible_ms = self.bounds.visible_ms;
        let record = self.jobs.entry(id.clone()).or_default().clone();
        let known_for_long = record.accepted.is_some_and(|at| asked.at > at + visible_ms);
        if status == 410 && asked.calm && known_for_long && record.cancel_sent.is_none() {
            self.breach(
                now,
                Rule::Lost,
                format!("job {id} was accepted and is answered 410"),
            );
        }
        let Some(state) = state else { return };
        self.jobs.entry(id.clone()).or_default().shown = Some(state);
        match state {
            JobState::Succeeded if !self.all_done(catalog, id) => {
                self.breach(now, Rule::Mixed, format!("job {id} is shown as succeeded"));
            }
            JobState::Failed if !self.some_task_failed(catalog, id) => {
                self.breach(
                    now,
                    Rule::Lost,
                    format!("job {id} is shown as failed without a cause"),
                );
            }
            JobState::Cancelled if record.cancel_sent.is_none() => {
                self.breach(
                    now,
                    Rule::Lost,
                    format!("job {id} is shown as cancelled without a cause"),
                );
            }
            _ => {}
        }
    }

    fn all_done(&self, catalog: &Catalog, id: &JobId) -> bool {
        let Some(job) = catalog.job(id) else {
            return false;
        };
        let times = 0..job.request.repeat_count.max(1);
        let done = |task: &TaskId| self.tasks.get(task).is_some_and(TaskRecord::done);
        times
            .into_iter()
            .all(|time| tasks_of(id, &job.request.steps, time).all(|task| done(&task)))
    }

    fn some_task_failed(&self, catalog: &Catalog, id: &JobId) -> bool {
        let Some(job) = catalog.job(id) else {
            return false;
        };
        let attempts = self.configuration.fewest_attempts(&job.host, &job.prefix) as usize;
        let times = 0..job.request.repeat_count.max(1);
        times.into_iter().any(|time| {
            let steps = job.request.steps.iter().enumerate();
            steps
                .into_iter()
                .any(|(step, request)| self.step_failed(id, time, step as u32, request, attempts))
        })
    }

    fn step_failed(
        &self,
        id: &JobId,
        iteration: u32,
        step: u32,
        request: &StepRequest,
        attempts: usize,
    ) -> bool {
        let task = |index| TaskId {
            job: id.clone(),
            iteration,
            step,
            index,
        };
        let failed = |index| {
            self.tasks
                .get(&task(index))
                .map(|record| record.failed_runs().collect::<BTreeSet<u32>>())
        };
        let sets = (0..request.count).filter_map(failed);
        if request.gang {
            let all: BTreeSet<u32> = sets.flatten().collect();
            return all.len() >= attempts;
        }
        sets.into_iter().any(|runs| runs.len() >= attempts)
    }

    /// A job was asked for at the end of the day; `answered` says that its state came in time.
    pub fn asked_at_end(&mut self, now: Millis, id: &JobId, answered: bool) {
        let Some(record) = self.jobs.get_mut(id) else {
            return;
        };
        record.asked_at_end = true;
        let owed = record.accepted.is_some() && record.cancel_sent.is_none();
        if owed && !answered {
            self.breach(
                now,
                Rule::Lost,
                format!("job {id} was accepted and is not known at the end"),
            );
        }
    }

    /// Tasks that still run long after their job's cancelling was acknowledged. Called in calm only.
    pub fn check_cancelled(&mut self, now: Millis) {
        let limit = self.bounds.cancel_ms + self.bounds.stop_ms;
        let over = |id: &JobId| {
            let at = self
                .jobs
                .get(id)
                .and_then(|record| record.cancel_acknowledged);
            at.is_some_and(|at| now > at + limit)
        };
        let running: Vec<TaskId> = self
            .tasks
            .iter()
            .filter(|(task, record)| !record.live.is_empty() && over(&task.job))
            .map(|(task, _)| task.clone())
            .collect();
        for task in running {
            if self.overdue.insert(task.clone()) {
                self.breach(
                    now,
                    Rule::Unasked,
                    format!("{task} still runs after its job was cancelled"),
                );
            }
        }
    }

    /// At the end of the day: jobs that ran although every try was refused.
    pub fn check_refused(&mut self, now: Millis) {
        let ran: BTreeSet<JobId> = self
            .tasks
            .iter()
            .filter(|(_, record)| !record.starts.is_empty())
            .map(|(task, _)| task.job.clone())
            .collect();
        for id in ran {
            if self
                .jobs
                .get(&id)
                .is_some_and(|record| record.tries > 0 && record.open_tries == 0)
            {
                self.breach(
                    now,
                    Rule::Refused,
                    format!("job {id} ran although every try was refused"),
                );
            }
        }
    }

    /// Accepted jobs that were not shown in a final state, with what they were shown in last.
    pub fn open_jobs(&self) -> Vec<(JobId, Option<JobState>)> {
        let open = |record: &&JobRecord| {
            record.accepted.is_some() && !record.shown.is_some_and(JobState::is_final)
        };
        let jobs = self.jobs.iter().filter(|(_, record)| open(record));
        jobs.map(|(id, record)| (id.clone(), record.shown))
            .collect()
    }

    /// How many jobs were accepted, and how many of these were shown in a final state.
    pub fn job_counts(&self) -> (usize, usize) {
        let accepted = self
            .jobs
            .values()
            .filter(|record| record.accepted.is_some());
        let ended = accepted
            .clone()
            .filter(|record| record.shown.is_some_and(JobState::is_final));
        (accepted.count(), ended.count())
    }
}

pub(crate) fn tasks_of<'a>(
    id: &'a JobId,
    steps: &'a [StepRequest],
    iteration: u32,
) -> impl Iterator<Item = TaskId> + 'a {
    let each = move |(step, request): (usize, &StepRequest)| {
        let id = id.clone();
        (0..request.count).map(move |index| TaskId {
            job: id.clone(),
            iteration,
            step: step as u32,
            index,
        })
    };
    steps.iter().enumerate().flat_map(each)
}
