//! Store of all jobs. It keeps the counts, timers and effects consistent with each change to a job.

use crate::effects::Effects;
use crate::encoding;
use crate::entry::JobEntry;
use crate::job::Job;
use crate::pending::PendingCounts;
use crate::record;
use crate::settings::JobSettings;
use crate::timers::ElapsedBackoff;
use std::collections::HashMap;
use streamusher_protocol::job::JobState;
use streamusher_protocol::store::Write;
use streamusher_protocol::task::{JobId, TaskId};
use streamusher_protocol::{Millis, Now};

/// All open and retained jobs.
#[derive(Debug)]
pub(crate) struct JobStore {
    settings: JobSettings,
    entries: HashMap<JobId, JobEntry>,
    pending: PendingCounts,
    effects: Effects,
    /// Latest time that was observed, on the steady clock.
    latest_steady_ms: Millis,
}

impl JobStore {
    /// Creates a store without jobs.
    pub(crate) fn new(settings: JobSettings) -> JobStore {
        JobStore {
            settings,
            entries: HashMap::new(),
            pending: PendingCounts::default(),
            effects: Effects::default(),
            latest_steady_ms: 0,
        }
    }

    /// Records the current time. The retention of a job that ends starts at the latest time observed.
    pub(crate) fn observe_time(&mut self, now: Now) {
        self.latest_steady_ms = self.latest_steady_ms.max(now.steady_ms);
    }

    /// Entry of a job; `None` if the job is unknown or its retention is over.
    pub(crate) fn entry(&self, id: &JobId) -> Option<&JobEntry> {
        self.entries.get(id)
    }

    /// State of an open job; `None` if the job has ended or is unknown.
    pub(crate) fn open_job(&self, id: &JobId) -> Option<&Job> {
        match self.entries.get(id)? {
            JobEntry::Open(job) => Some(job),
            JobEntry::Ended { .. } => None,
        }
    }

    /// Mutable state of an open job, for changes that have no effects.
    pub(crate) fn open_job_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        match self.entries.get_mut(id)? {
            JobEntry::Open(job) => Some(job),
            JobEntry::Ended { .. } => None,
        }
    }

    /// All open jobs, in arbitrary order.
    pub(crate) fn open_jobs(&self) -> impl Iterator<Item = &Job> {
        self.entries.values().filter_map(|entry| match entry {
            JobEntry::Open(job) => Some(&**job),
            JobEntry::Ended { .. } => None,
        })
    }

    /// Number of pending jobs of a queue.
    pub(crate) fn pending_count(&self, queue: &str) -> u64 {
        self.pending.count(queue)
    }

    /// Adds a newly submitted job.
    pub(crate) fn insert_submitted(&mut self, job: Job) {
        self.effects.changed_jobs.insert(job.id.clone());
        self.pending.add(job.policy.queue.clone());
        self.entries
            .insert(job.id.clone(), JobEntry::Open(Box::new(job)));
    }

    /// Changes an open job and then updates what depends on it: the number of pending jobs, the release
    /// timer, and, once the job has ended and none of its runs is assigned, the reduction of its entry to the
    /// final state.
    pub(crate) fn update<R>(
        &mut self,
        id: &JobId,
        change: impl FnOnce(&mut Job, &mut Effects) -> R,
    ) -> Option<R> {
        let Some(JobEntry::Open(job)) = self.entries.get_mut(id) else {
            return None;
        };
        let state_before = job.state();
        let result = change(job, &mut self.effects);
        job.set_release_timer(&mut self.effects);
        if state_before == JobState::Pending && job.state() != JobState::Pending {
            self.pending.remove(&job.policy.queue);
        }
        self.reduce_to_final_state_if_over(id);
        Some(result)
    }

    fn reduce_to_final_state_if_over(&mut self, id: &JobId) {
        let Some(job) = self.open_job(id) else {
            return;
        };
        let Some(state) = job.final_state else {
            return;
        };
        if job.iterations.assigned_runs > 0 {
            return;
        }
        let Some(JobEntry::Open(job)) = self.entries.remove(id) else {
            return;
        };
        for &iteration in job.iterations.open.keys() {
            job.mark_task_records_changed(iteration, &mut self.effects);
        }
        let queue = job.policy.queue.clone();
        self.entries
            .insert(id.clone(), JobEntry::Ended { queue, state });
        self.effects.changed_jobs.insert(id.clone());
        self.set_expiry(self.latest_steady_ms, id);
    }

    fn set_expiry(&mut self, ended_at_ms: Millis, id: &JobId) {
        let expires_at_ms = ended_at_ms.saturating_add(self.settings.retention_ms);
        self.effects.timers.set_expiry(expires_at_ms, id);
    }

    /// Removes the ended jobs whose retention is over.
    pub(crate) fn remove_expired(&mut self, now: Now) {
        while let Some(id) = self.effects.timers.pop_expired(now) {
            self.entries.remove(&id);
            self.effects.changed_jobs.insert(id);
        }
    }

    /// Removes and returns the next job with a due iteration.
    pub(crate) fn pop_due_release(&mut self, now: Now) -> Option<JobId> {
        self.effects.timers.pop_due_release(now)
    }

    /// Removes and returns the next backoff that has elapsed.
    pub(crate) fn pop_elapsed_backoff(&mut self, now: Now) -> Option<ElapsedBackoff> {
        self.effects.timers.pop_elapsed_backoff(now)
    }

    /// Time until the next timer expires, in milliseconds; `None` if no timer is set.
    pub(crate) fn time_to_next_timer(&self, now: Now) -> Option<Millis> {
        self.effects.timers.time_to_next(now)
    }

    /// Takes the effects since the last call. The timers stay set.
    pub(crate) fn take_effects(&mut self) -> Effects {
        let timers = std::mem::take(&mut self.effects.timers);
        std::mem::replace(
            &mut self.effects,
            Effects {
                timers,
                ..Effects::default()
            },
        )
    }

    /// Builds the write that brings a job's record up to date. The write deletes the record if the job has
    /// been removed.
    pub(crate) fn job_write(&self, id: &JobId) -> Write {
        let record = self.entries.get(id).map(encoding::job_record);
        Write {
            key: record::job_key(id),
            value: record.map(|record| record::encode(&record)),
        }
    }

    /// Builds the write that brings a task's record up to date. The write deletes the record if the task
    /// needs none any more.
    pub(crate) fn task_write(&self, id: &TaskId) -> Write {
        let record = self
            .open_job(&id.job)
            .and_then(|job| encoding::task_record(job, id));
        Write {
            key: record::task_key(id),
            value: record.map(|record| record::encode(&record)),
        }
    }

    /// Adds a job from its record. The retention of an ended job starts anew, because the steady clock by
    /// which it ended did not outlive its primary.
    pub(crate) fn insert_restored(&mut self, now: Now, id: JobId, entry: JobEntry) {
        self.observe_time(now);
        if matches!(entry, JobEntry::Ended { .. }) {
            self.set_expiry(now.steady_ms, &id);
        }
        self.entries.insert(id, entry);
    }

    /// Called after all records are restored. Counts the pending jobs and resumes each open job, in order of
    /// identifiers.
    pub(crate) fn resume_jobs(&mut self, mut resume: impl FnMut(&mut Job, &mut Effects)) {
        let mut ids: Vec<JobId> = self.open_jobs().map(|job| job.id.clone()).collect();
        ids.sort_unstable();
        for id in ids {
            let pending = self
                .open_job(&id)
                .filter(|job| job.state() == JobState::Pending);
            if let Some(job) = pending {
                self.pending.add(job.policy.queue.clone());
            }
            self.update(&id, &mut resume);
        }
    }
}
