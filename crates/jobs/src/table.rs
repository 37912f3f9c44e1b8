//! Interface of the crate: the table of all jobs.

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

/// All jobs, and the units of them that may run now. The documentation of the crate has an example.
///
/// Methods that depend on time take the current time as an argument. The effects of a call are collected
/// until [`JobTable::take_changes`].
#[derive(Debug)]
pub struct JobTable {
    store: JobStore,
}

impl JobTable {
    /// Creates a table without jobs.
    pub fn new(settings: JobSettings) -> JobTable {
        JobTable {
            store: JobStore::new(settings),
        }
    }

    /// Rebuilds the table from its stored records: all keys `job/...` and `task/...` of the replicated state
    /// with their values, in any order. The next [`JobTable::take_changes`] returns the units that wait for
    /// placement. The retention of ended jobs starts anew, because the steady clock by which they ended did
    /// not outlive its primary.
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

    /// Submits a job. If the identifier exists already, the request is ignored, so that a client can safely
    /// repeat a submission.
    ///
    /// # Errors
    ///
    /// [`SubmitError`] names the invalid field of the request. Nothing of the job is stored.
    pub fn submit(
        &mut self,
        now: Now,
        id: &JobId,
        request: JobRequest,
        policy: &QueuePolicy,
    ) -> Result<SubmitOutcome, SubmitError> {
        self.store.observe_time(now);
        if self.store.entry(id).is_some() {
            return Ok(SubmitOutcome::AlreadyExists);
        }
        validate(&request)?;
        let plan = JobPlan::new(request);
        let job = Job::new(id.clone(), policy.sanitized(), plan, now.unix_ms);
        self.store.insert_submitted(job);
        self.store
            .update(id, |job, effects| job.release_due_iterations(now, effects));
        Ok(SubmitOutcome::Accepted)
    }

    /// Cancels a job at once. Its assigned runs are to be stopped.
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

    /// State of a job; `None` if the job is unknown or its retention is over.
    pub fn status(&self, id: &JobId) -> Option<JobState> {
        self.store.entry(id).map(JobEntry::state)
    }

    /// Queue to which a job was submitted; `None` if the job is unknown or its retention is over.
    pub fn queue_of(&self, id: &JobId) -> Option<Arc<str>> {
        self.store.entry(id).map(|entry| entry.queue().clone())
    }

    /// Number of jobs of a queue of which no run has been assigned.
    pub fn pending_count(&self, queue: &str) -> u64 {
        self.store.pending_count(queue)
    }

    /// Applies a new configuration to all jobs that have not ended. `policy_of` looks up the policy of a
    /// queue by name; jobs of queues without a policy keep the one that they have.
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

    /// Releases iterations that are due, ends backoffs that have elapsed, and removes ended jobs whose
    /// retention is over.
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
        self.store.remove_expired(now);
    }

    /// Time until [`JobTable::tick`] has work to do, in milliseconds; `None` if no timer is set.
    pub fn time_to_next_timer(&self, now: Now) -> Option<Millis> {
        self.store.time_to_next_timer(now)
    }

    /// Records the workers that placement chose for the tasks of a unit, and returns the started runs. The
    /// result is empty and nothing starts if the unit does not wait or if `assignments` does not name each of
    /// its tasks exactly once.
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

    /// Records the end of a run as reported by its worker, with the run's newest checkpoint (empty if there
    /// is none). Returns false and changes nothing if the run is not recorded as assigned.
    pub fn on_run_finished(
        &mut self,
        now: Now,
        run: &RunId,
        end: RunEnd,
        checkpoint: &str,
    ) -> bool {
        self.on_run_over(now, run, end.into(), checkpoint)
    }

    /// Records that a run is over without a reported end, because its worker was lost or its lease expired.
    pub fn on_run_lost(&mut self, now: Now, run: &RunId) {
        self.on_run_over(now, run, RunResult::Lost, "");
    }

    /// Records that a run did not start and cannot start any more.
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

    /// Records the wait of a unit that is about to be started, by latency stage.
    pub fn record_wait(&mut self, now: Now, unit: &UnitId, waits: &LatencyBreakdown) {
        if let Some(job) = self.store.open_job_mut(&unit.step.job) {
            job.record_wait(now, unit, waits);
        }
    }

    /// Records the timings of a run that has ended. Call this before [`JobTable::on_run_finished`].
    pub fn record_run_timings(&mut self, run: &RunId, timings: RunTimings) {
        if let Some(job) = self.store.open_job_mut(&run.task.job) {
            job.record_run_timings(run, timings);
        }
    }

    /// Records a checkpoint that a run reported while running. It is stored when the run ends or is lost;
    /// until then the worker reports it again to each new primary.
    pub fn on_checkpoint(&mut self, run: &RunId, checkpoint: &str) {
        if let Some(job) = self.store.open_job_mut(&run.task.job) {
            job.on_checkpoint(run, checkpoint);
        }
    }

    /// Records that a run makes no progress. Its unit avoids the worker from now on.
    pub fn on_run_stalled(&mut self, run: &RunId) {
        self.store.update(&run.task.job, |job, effects| {
            job.on_run_stalled(run, effects);
        });
    }

    /// Makes a hedged task wait for a speculative second run on free capacity of another worker, while its
    /// only run continues. The first run to succeed counts, and the other one is stopped. Returns false if
    /// the run is not the task's only one, or if the task is not hedged.
    pub fn hedge(&mut self, run: &RunId) -> bool {
        self.store
            .update(&run.task.job, |job, effects| job.hedge(run, effects))
            .unwrap_or(false)
    }

    /// Whether a run is recorded as assigned and its result is still accepted.
    pub fn is_current(&self, run: &RunId) -> bool {
        self.store
            .open_job(&run.task.job)
            .is_some_and(|job| job.is_current(run))
    }

    /// All runs that occupy a worker, in order of their identifiers. Visits every job; intended for use after
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

    /// Counts of the long-running tasks of each open job that has any, in order of job identifiers. Visits
    /// every open job; intended for reports some seconds apart.
    pub fn long_running_tasks(&self) -> Vec<LongRunningTasks> {
        let mut jobs: Vec<LongRunningTasks> = self
            .store
            .open_jobs()
            .filter_map(long_running::long_running_tasks)
            .collect();
        jobs.sort_unstable_by(|a, b| a.job.cmp(&b.job));
        jobs
    }

    /// Takes all changes since the last call.
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

/// New policy of a job's queue. Returns `None` if it equals the current one, if the queue has none, or if the
/// job has ended.
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
