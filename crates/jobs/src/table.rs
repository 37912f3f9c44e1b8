//! The job table: the interface to all jobs.

use crate::changes::{AssignedRun, JobChanges, StartedRun};
use crate::entry::JobEntry;
use crate::error::{RecordError, SubmitError};
use crate::job::Job;
use crate::latency::{LatencyBreakdown, RunTimings};
use crate::long_running::{self, LongRunningTasks};
use crate::outcomes::{CancelOutcome, SubmitOutcome};
use crate::plan::JobPlan;
use crate::policy::QueuePolicy;
use crate::recovery;
use crate::run_result::RunResult;
use crate::settings::JobSettings;
use crate::store::JobStore;
use crate::validation::validate;
use crate::views;
use std::sync::Arc;
use streamusher_protocol::job::{JobRequest, JobState};
use streamusher_protocol::task::{JobId, RunEnd, RunId};
use streamusher_protocol::unit::{TaskAssignment, Unit, UnitId};
use streamusher_protocol::{Millis, Now};

/// All jobs, and which of their units may run now. See the crate's documentation for an example.
///
/// Methods that depend on time take the current time as an argument. What a call brings about is collected until
/// [`JobTable::take_changes`].
#[derive(Debug)]
pub struct JobTable {
    store: JobStore,
}

impl JobTable {
    /// A table without jobs.
    pub fn new(settings: JobSettings) -> JobTable {
        JobTable {
            store: JobStore::new(settings),
        }
    }

    /// The table as it was recorded: `records` are all keys `job/...` and `task/...` of the replicated state with their
    /// values, in any order. Units that wait for placement are in the next [`JobTable::take_changes`]. The state of an
    /// ended job is retained for the whole time again, as the clock by which it ended is gone.
    ///
    /// # Errors
    ///
    /// [`RecordError`] names the first record that cannot be used.
    pub fn recover(
        settings: JobSettings,
        now: Now,
        records: impl Iterator<Item = (Arc<str>, Arc<str>)>,
    ) -> Result<JobTable, RecordError> {
        let store = recovery::recover(settings, now, records)?;
        Ok(JobTable { store })
    }

    /// Submits a job. A job whose identifier is known already is not looked at, so that a client may submit again.
    ///
    /// # Errors
    ///
    /// [`SubmitError`] names the field of the request that is not valid; nothing of the job is kept.
    pub fn submit(
        &mut self,
        now: Now,
        id: &JobId,
        request: JobRequest,
        policy: &QueuePolicy,
    ) -> Result<SubmitOutcome, SubmitError> {
        self.store.observe_time(now);
        if self.store.entry(id).is_some() {
            return Ok(SubmitOutcome::AlreadyKnown);
        }
        validate(&request)?;
        let plan = JobPlan::new(request);
        let job = Job::new(id.clone(), policy.sanitized(), plan, now.unix_ms);
        self.store.insert_submitted(job);
        self.store
            .update(id, |job, effects| job.release_due_iterations(now, effects));
        Ok(SubmitOutcome::Accepted)
    }

    /// Ends a job at once; its runs are to be stopped.
    pub fn cancel(&mut self, now: Now, id: &JobId) -> CancelOutcome {
        self.store.observe_time(now);
        let Some(state) = self.status(id) else {
            return CancelOutcome::UnknownJob;
        };
        if state.is_final() {
            return CancelOutcome::AlreadyEnded(state);
        }
        self.store
            .update(id, |job, effects| job.finish(JobState::Cancelled, effects));
        CancelOutcome::Cancelled
    }

    /// A job's state; none if the job is not known, or its retention is over.
    pub fn status(&self, id: &JobId) -> Option<JobState> {
        self.store.entry(id).map(JobEntry::state)
    }

    /// The queue that a job was submitted to.
    pub fn queue_of(&self, id: &JobId) -> Option<Arc<str>> {
        self.store.entry(id).map(|entry| entry.queue().clone())
    }

    /// Number of a queue's jobs of which nothing has started.
    pub fn pending_count(&self, queue: &str) -> u64 {
        self.store.pending_count(queue)
    }

    /// Applies a new configuration to all jobs that have not ended. `policy_of` finds the policy of a queue by name; the
    /// jobs of a queue that it does not know keep theirs.
    pub fn apply_configuration(&mut self, policy_of: &dyn Fn(&str) -> Option<QueuePolicy>) {
        let mut changed: Vec<(JobId, QueuePolicy)> = self
            .store
            .open_jobs()
            .filter_map(|job| Some((job.id.clone(), changed_policy(job, policy_of)?)))
            .collect();
        changed.sort_unstable_by(|(a, _), (b, _)| a.cmp(b));
        for (id, policy) in changed {
            self.store
                .update(&id, |job, effects| job.apply_policy(policy, effects));
        }
    }

    /// Releases iterations that are due, ends backoffs that have elapsed, and drops ended jobs after their retention.
    pub fn tick(&mut self, now: Now) {
        self.store.observe_time(now);
        while let Some(id) = self.store.pop_due_release(now) {
            self.store
                .update(&id, |job, effects| job.on_release_timer(now, effects));
        }
        while let Some(backoff) = self.store.pop_elapsed_backoff(now) {
            let unit = &backoff.unit;
            self.store.update(&unit.step.job, |job, effects| {
                job.on_backoff_elapsed(now, backoff.until_ms, unit, effects);
            });
        }
        self.store.drop_expired(now);
    }

    /// How long [`JobTable::tick`] has nothing to do, in milliseconds; none if no timer is set.
    pub fn time_to_next_timer(&self, now: Now) -> Option<Millis> {
        self.store.time_to_next_timer(now)
    }

    /// Records that placement chose a worker for each task of a unit. Nothing is started (and the list is empty) if the
    /// unit does not wait or `assignments` do not name exactly its tasks.
    pub fn start_unit(
        &mut self,
        now: Now,
        unit: &UnitId,
        assignments: &[TaskAssignment],
    ) -> Vec<StartedRun> {
        self.store.observe_time(now);
        self.store
            .update(&unit.step.job, |job, effects| {
                job.start_unit(now, unit, assignments, effects)
            })
            .unwrap_or_default()
    }

    /// Records the end of a run as its worker reported it, with its newest checkpoint (empty for none). False if the
    /// run is not recorded as assigned: nothing changed.
    pub fn on_run_finished(
        &mut self,
        now: Now,
        run: &RunId,
        end: RunEnd,
        checkpoint: &str,
    ) -> bool {
        self.on_run_over(now, run, end.into(), checkpoint)
    }

    /// Records that a run is over without a reported end, as its worker is gone or its lease has expired.
    pub fn on_run_lost(&mut self, now: Now, run: &RunId) {
        self.on_run_over(now, run, RunResult::Lost, "");
    }

    /// Records that a run never started and never will.
    pub fn on_run_withdrawn(&mut self, now: Now, run: &RunId) {
        self.on_run_over(now, run, RunResult::Stopped, "");
    }

    fn on_run_over(&mut self, now: Now, run: &RunId, result: RunResult, checkpoint: &str) -> bool {
        self.store.observe_time(now);
        self.store
            .update(&run.task.job, |job, effects| {
                job.on_run_over(now, run, result, checkpoint, effects)
            })
            .unwrap_or(false)
    }

    /// Records where the time of a unit went that waited for placement and is about to be started.
    pub fn record_wait(&mut self, now: Now, unit: &UnitId, waits: &LatencyBreakdown) {
        if let Some(job) = self.store.open_job_mut(&unit.step.job) {
            job.record_wait(now, unit, waits);
        }
    }

    /// Records the timings of a run that has ended; to be called before [`JobTable::on_run_finished`].
    pub fn record_run_timings(&mut self, run: &RunId, timings: RunTimings) {
        if let Some(job) = self.store.open_job_mut(&run.task.job) {
            job.record_run_timings(run, timings);
        }
    }

    /// Records the checkpoint that a run reported while at work. It is written with the run's end or loss: until then
    /// its worker reports it again to each new primary.
    pub fn on_checkpoint(&mut self, run: &RunId, checkpoint: &str) {
        if let Some(job) = self.store.open_job_mut(&run.task.job) {
            job.on_checkpoint(run, checkpoint);
        }
    }

    /// Records that a run makes no progress: its unit avoids the worker from now on.
    pub fn on_run_stalled(&mut self, run: &RunId) {
        self.store.update(&run.task.job, |job, effects| {
            job.on_run_stalled(run, effects);
        });
    }

    /// Lets a hedged task wait for a speculative second run, at free capacity of another worker, while its only run goes
    /// on. The run that succeeds first counts, and the other one is stopped. False if the run is not its task's only
    /// one, or the task is not hedged.
    pub fn hedge(&mut self, run: &RunId) -> bool {
        self.store
            .update(&run.task.job, |job, effects| job.hedge(run, effects))
            .unwrap_or(false)
    }

    /// Whether a run is recorded as assigned and its result is wanted.
    pub fn is_current(&self, run: &RunId) -> bool {
        self.store
            .open_job(&run.task.job)
            .is_some_and(|job| job.is_current(run))
    }

    /// All runs that occupy a worker, in order of their identifiers. It looks at every job, and is meant for use after
    /// a recovery.
    pub fn assigned_runs(&self) -> Vec<AssignedRun> {
        let mut runs: Vec<AssignedRun> = self
            .store
            .open_jobs()
            .flat_map(views::assigned_runs)
            .collect();
        runs.sort_unstable_by(|a, b| a.run.cmp(&b.run));
        runs
    }

    /// The tasks of each open job with long-running steps, in order of the jobs' identifiers. It looks at every open
    /// job, and is meant for reports some seconds apart.
    pub fn long_running_tasks(&self) -> Vec<LongRunningTasks> {
        let mut jobs: Vec<LongRunningTasks> = self
            .store
            .open_jobs()
            .filter_map(long_running::long_running_tasks)
            .collect();
        jobs.sort_unstable_by(|a, b| a.job.cmp(&b.job));
        jobs
    }

    /// Takes what changed since the last call.
    pub fn take_changes(&mut self) -> JobChanges {
        let effects = self.store.take_effects();
        let job_writes = effects.changed_jobs.iter();
        let task_writes = effects.changed_tasks.iter();
        let writes = job_writes
            .map(|id| self.store.job_write(id))
            .chain(task_writes.map(|id| self.store.task_write(id)))
            .collect();
        let ready_units = effects.ready_units.iter();
        JobChanges {
            writes,
            ready_units: ready_units.filter_map(|id| self.waiting_unit(id)).collect(),
            revoked_units: effects.revoked_units.into_iter().collect(),
            runs_to_stop: effects.runs_to_stop.into_iter().collect(),
            completions: effects.completions,
        }
    }

    fn waiting_unit(&self, id: &UnitId) -> Option<Unit> {
        views::waiting_unit(self.store.open_job(&id.step.job)?, id)
    }
}

/// The policy of a job's queue where it differs from the one that the job has; none for a job that has ended.
fn changed_policy(
    job: &Job,
    policy_of: &dyn Fn(&str) -> Option<QueuePolicy>,
) -> Option<QueuePolicy> {
    let newer = policy_of(&job.policy.queue)?.sanitized();
    if job.has_ended() || newer == job.policy {
        return None;
    }
    Some(QueuePolicy {
        queue: job.policy.queue.clone(),
        ..newer
    })
}
