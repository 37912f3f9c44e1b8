//! The record of all jobs.

use crate::changes::{AssignedRun, JobChanges, StartedRun};
use crate::effects::Effects;
use crate::entry::Entry;
use crate::error::SubmitError;
use crate::job::Job;
use crate::latency::{LatencyStage, RunTimings};
use crate::outcomes::{CancelOutcome, SubmitOutcome};
use crate::plan::Plan;
use crate::policy::{JobSettings, QueuePolicy};
use crate::record;
use crate::run_events::{Outcome, RunOver};
use crate::validation::check;
use std::collections::HashMap;
use std::sync::Arc;
use streamusher_protocol::job::{JobRequest, JobState};
use streamusher_protocol::store::Write;
use streamusher_protocol::task::{JobId, RunEnd, RunId, TaskId};
use streamusher_protocol::unit::{Unit, UnitId, WorkerId};
use streamusher_protocol::{Millis, Now};

/// The record of all jobs.
#[derive(Debug)]
pub struct JobTable {
    settings: JobSettings,
    jobs: HashMap<JobId, Entry>,
    pending: HashMap<Arc<str>, u64>,
    fx: Effects,
    /// The latest time that was told, by the steady clock.
    steady: Millis,
}

impl JobTable {
    /// An empty record.
    pub fn new(settings: JobSettings) -> JobTable {
        JobTable {
            settings,
            jobs: HashMap::new(),
            pending: HashMap::new(),
            fx: Effects::default(),
            steady: 0,
        }
    }

    /// Takes a job, once for each identifier whatever the body.
    pub fn submit(
        &mut self,
        now: Now,
        id: &JobId,
        request: JobRequest,
        terms: &QueuePolicy,
    ) -> Result<SubmitOutcome, SubmitError> {
        self.note(now);
        if self.jobs.contains_key(id) {
            return Ok(SubmitOutcome::AlreadyKnown);
        }
        check(&request)?;
        let job = Job::new(id.clone(), sound(terms), Plan::new(request), now.unix_ms);
        self.fx.jobs.insert(id.clone());
        *self.pending.entry(job.terms.queue.clone()).or_default() += 1;
        self.jobs.insert(id.clone(), Entry::Kept(Box::new(job)));
        self.change(id, |job, fx| job.release_due(now, fx));
        Ok(SubmitOutcome::Accepted)
    }

    /// Ends a job at once; its runs are to be stopped.
    pub fn cancel(&mut self, now: Now, id: &JobId) -> CancelOutcome {
        self.note(now);
        let Some(state) = self.status(id) else {
            return CancelOutcome::UnknownJob;
        };
        if state.is_final() {
            return CancelOutcome::AlreadyEnded(state);
        }
        self.change(id, |job, fx| job.finish(JobState::Cancelled, fx));
        CancelOutcome::Cancelled
    }

    /// A job's state; none if it is not known.
    pub fn status(&self, id: &JobId) -> Option<JobState> {
        self.jobs.get(id).map(Entry::state)
    }

    /// The queue that a job was handed to.
    pub fn queue_of(&self, id: &JobId) -> Option<Arc<str>> {
        self.jobs.get(id).map(|entry| entry.queue().clone())
    }

    /// Jobs of a queue that are pending.
    pub fn pending_count(&self, queue: &str) -> u64 {
        self.pending.get(queue).copied().unwrap_or(0)
    }

    /// Applies a new configuration to all jobs that have not ended. A removed queue's jobs keep their terms.
    pub fn apply_configuration(&mut self, lookup: &dyn Fn(&str) -> Option<QueuePolicy>) {
        let mut changed = Vec::new();
        for (id, entry) in &self.jobs {
            let Entry::Kept(job) = entry else { continue };
            let newer = lookup(&job.terms.queue).map(|terms| sound(&terms));
            if let Some(terms) = newer.filter(|terms| job.end.is_none() && *terms != job.terms) {
                changed.push((
                    id.clone(),
                    QueuePolicy {
                        queue: job.terms.queue.clone(),
                        ..terms
                    },
                ));
            }
        }
        changed.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        for (id, terms) in changed {
            self.change(&id, |job, fx| job.retune(terms, fx));
        }
    }

    /// Releases iterations that are due and pauses that are over; drops jobs that ended long ago.
    pub fn tick(&mut self, now: Now) {
        self.note(now);
        while let Some(id) = self.fx.timers.due_release(now) {
            self.change(&id, |job, fx| {
                job.release_planned = false;
                job.release_due(now, fx);
            });
        }
        while let Some((planned, unit)) = self.fx.timers.due_resume(now) {
            let job = unit.step.job.clone();
            self.change(&job, |job, fx| job.resume(now, planned, &unit, fx));
        }
        while let Some(id) = self.fx.timers.due_expiry(now) {
            self.jobs.remove(&id);
            self.fx.jobs.insert(id);
        }
    }

    /// How long [`JobTable::tick`] has nothing to do, in milliseconds from `now`; none if nothing is planned.
    pub fn time_to_next_timer(&self, now: Now) -> Option<Millis> {
        self.fx.timers.next_in(now)
    }

    /// Records that a unit was claimed: `on` names a worker for each of its tasks. Nothing is started (and the list
    /// is empty) if the unit does not wait or `on` is not exactly its tasks.
    pub fn start_unit(
        &mut self,
        now: Now,
        unit: &UnitId,
        on: &[(TaskId, WorkerId)],
    ) -> Vec<StartedRun> {
        self.note(now);
        self.change(&unit.step.job, |job, fx| job.begin(now, unit, on, fx))
            .unwrap_or_default()
    }

    /// Records a run's end as its worker listed it. False if the run is not recorded as assigned: nothing changed.
    pub fn on_run_finished(
        &mut self,
        now: Now,
        run: &RunId,
        how: RunEnd,
        checkpoint: &str,
    ) -> bool {
        let vain = match how {
            RunEnd::Failed => LatencyStage::Failed,
            RunEnd::Stopped => LatencyStage::Stopped,
            _ => LatencyStage::Lost,
        };
        self.over(now, run, how.into(), vain, checkpoint)
    }

    /// Records that a run is over without a noted end, as its worker is gone or its lease is over.
    pub fn on_run_lost(&mut self, now: Now, run: &RunId) {
        self.over(now, run, Outcome::Over, LatencyStage::Lost, "");
    }

    /// Records that a run never began and never will.
    pub fn on_run_withdrawn(&mut self, now: Now, run: &RunId) {
        self.over(now, run, Outcome::Over, LatencyStage::Stopped, "");
    }

    /// Records where the time of a unit went that is about to begin: it waited, for these causes.
    pub fn record_wait(&mut self, now: Now, unit: &UnitId, waits: &[(LatencyStage, Millis)]) {
        let Some(job) = self.kept_mut(&unit.step.job) else {
            return;
        };
        let (step, index) = (unit.step.step as usize, unit.index.unwrap_or(0) as usize);
        let Some(entry) = job.step_mut(unit.step.iteration, step) else {
            return;
        };
        // While a hedged task's first run goes on, its time is that run's.
        let runs = entry
            .members_of(index)
            .any(|member| entry.members[member].earlier.is_some());
        let Some(state) = entry.units.get_mut(index).filter(|_| !runs) else {
            return;
        };
        waits
            .iter()
            .for_each(|(stage, waited_ms)| state.spent.add(*stage, *waited_ms));
        state.told_until = now.steady_ms;
    }

    /// Records how a run went that has ended, before [`JobTable::on_run_finished`] records its end.
    pub fn record_run_timings(&mut self, run: &RunId, times: RunTimings) {
        let Some(job) = self.kept_mut(&run.task.job) else {
            return;
        };
        let Some(place) = job.place_of_run(run) else {
            return;
        };
        let state = job.unit_mut(place.iteration, place.step, place.unit);
        state
            .into_iter()
            .for_each(|state| state.run_times = Some(times));
    }

    fn over(
        &mut self,
        now: Now,
        run: &RunId,
        outcome: Outcome,
        vain: LatencyStage,
        checkpoint: &str,
    ) -> bool {
        self.note(now);
        let end = RunOver { outcome, vain };
        let changed = self.change(&run.task.job, |job, fx| {
            job.over(now, run, end, checkpoint, fx)
        });
        changed.unwrap_or(false)
    }

    /// Records the checkpoint that a run reported while at work. It is written at the run's end or loss: until then
    /// its worker reports it again to whoever asks.
    pub fn on_checkpoint(&mut self, run: &RunId, checkpoint: &str) {
        let Some(job) = self.kept_mut(&run.task.job) else {
            return;
        };
        if let Some(place) = job.place_of_run(run) {
            job.note_checkpoint(place, checkpoint);
        }
    }

    /// Records that a run makes no progress at its worker: the unit avoids that worker from now on.
    pub fn on_run_stalled(&mut self, run: &RunId) {
        self.change(&run.task.job, |job, fx| job.stalled(run, fx));
    }

    /// Lets a second run of a hedged task wait for room that is free while the only one goes on: whichever is done
    /// first counts, and the other one is stopped. False where the run is not its task's only one, or the step is not
    /// hedged.
    pub fn hedge(&mut self, run: &RunId) -> bool {
        self.change(&run.task.job, |job, fx| job.hedge(run, fx))
            .unwrap_or(false)
    }

    /// Whether a run is assigned and its result wanted.
    pub fn is_current(&self, run: &RunId) -> bool {
        let Some(job) = self.kept(&run.task.job).filter(|job| job.end.is_none()) else {
            return false;
        };
        let Some(place) = job.place_of_run(run) else {
            return false;
        };
        let Some((_, member)) = job.state_of(place) else {
            return false;
        };
        match &member.earlier {
            Some(earlier) if place.is_earlier => !earlier.stopping,
            _ => !member.stopping,
        }
    }

    /// All runs that occupy a worker, for use after a recovery: it looks at every job.
    pub fn assigned_runs(&self) -> Vec<AssignedRun> {
        let mut list = Vec::new();
        for entry in self.jobs.values() {
            if let Entry::Kept(job) = entry {
                job.add_assigned(&mut list);
            }
        }
        list.sort_unstable_by(|a, b| a.run.cmp(&b.run));
        list
    }

    /// Takes what changed since the last call.
    pub fn take_changes(&mut self) -> JobChanges {
        let mut writes = Vec::new();
        for id in std::mem::take(&mut self.fx.jobs) {
            let value = self
                .jobs
                .get(&id)
                .map(|entry| record::write(&entry.record()).into());
            writes.push(Write {
                key: record::job_key(&id).into(),
                value,
            });
        }
        for task in std::mem::take(&mut self.fx.tasks) {
            let stored = self.kept(&task.job).and_then(|job| job.task_record(&task));
            let value = stored.map(|stored| record::write(&stored).into());
            writes.push(Write {
                key: record::task_key(&task).into(),
                value,
            });
        }
        let ready = std::mem::take(&mut self.fx.ready);
        JobChanges {
            writes,
            ready_units: ready.iter().filter_map(|id| self.unit(id)).collect(),
            revoked_units: std::mem::take(&mut self.fx.revoked).into_iter().collect(),
            runs_to_stop: std::mem::take(&mut self.fx.stop).into_iter().collect(),
            completions: std::mem::take(&mut self.fx.completions),
        }
    }

    fn unit(&self, id: &UnitId) -> Option<Unit> {
        self.kept(&id.step.job)?.unit(id)
    }

    fn kept(&self, id: &JobId) -> Option<&Job> {
        match self.jobs.get(id)? {
            Entry::Kept(job) => Some(job),
            Entry::Ended { .. } => None,
        }
    }

    /// A job that is not reduced to its state.
    pub(crate) fn kept_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        match self.jobs.get_mut(id)? {
            Entry::Kept(job) => Some(job),
            Entry::Ended { .. } => None,
        }
    }

    fn note(&mut self, now: Now) {
        self.steady = self.steady.max(now.steady_ms);
    }

    /// Changes a job and then brings the indexes in line: the count of pending jobs, the next release, and the
    /// reduction of a job that has ended and of which no run is left.
    fn change<R>(
        &mut self,
        id: &JobId,
        action: impl FnOnce(&mut Job, &mut Effects) -> R,
    ) -> Option<R> {
        let Some(Entry::Kept(job)) = self.jobs.get_mut(id) else {
            return None;
        };
        let before = job.state();
        let result = action(job, &mut self.fx);
        job.plan_release(&mut self.fx);
        if before == JobState::Pending && job.state() != JobState::Pending {
            let queue = job.terms.queue.clone();
            self.count_begun(&queue);
        }
        self.reduce(id);
        Some(result)
    }

    fn count_begun(&mut self, queue: &Arc<str>) {
        let Some(count) = self.pending.get_mut(queue) else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.pending.remove(queue);
        }
    }

    fn reduce(&mut self, id: &JobId) {
        let Some(Entry::Kept(job)) = self.jobs.get(id) else {
            return;
        };
        let Some(state) = job.end.filter(|_| job.assigned == 0) else {
            return;
        };
        for &iteration in job.iterations.keys() {
            job.forget_tasks(iteration, &mut self.fx);
        }
        let queue = job.terms.queue.clone();
        self.jobs.insert(id.clone(), Entry::Ended { queue, state });
        self.fx.jobs.insert(id.clone());
        self.fx
            .timers
            .expire_at(self.steady.saturating_add(self.settings.retention_ms), id);
    }

    /// Adds a job as it was stored.
    pub(crate) fn insert_restored(&mut self, now: Now, id: JobId, entry: Entry) {
        self.note(now);
        if matches!(entry, Entry::Ended { .. }) {
            self.fx.timers.expire_at(
                now.steady_ms.saturating_add(self.settings.retention_ms),
                &id,
            );
        }
        self.jobs.insert(id, entry);
    }

    /// After all records were restored: lets every job go on.
    pub(crate) fn resume_all(&mut self, now: Now) {
        let kept = self
            .jobs
            .iter()
            .filter(|(_, entry)| matches!(entry, Entry::Kept(_)));
        let mut ids: Vec<JobId> = kept.map(|(id, _)| id.clone()).collect();
        ids.sort_unstable();
        for id in ids {
            if let Some(job) = self
                .kept(&id)
                .filter(|job| job.state() == JobState::Pending)
            {
                let queue = job.terms.queue.clone();
                *self.pending.entry(queue).or_default() += 1;
            }
            self.change(&id, |job, fx| job.resume_restored(now, fx));
        }
    }
}

/// The same terms with a stretch that a record can hold.
fn sound(terms: &QueuePolicy) -> QueuePolicy {
    let stretch = if terms.stretch.is_finite() {
        terms.stretch
    } else {
        0.0
    };
    QueuePolicy {
        stretch,
        ..terms.clone()
    }
}
