//! Where the time of jobs went: told to the job record as units wait and run, and logged for jobs that missed their objective.

use crate::scheduler::Scheduler;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_jobs::{Completion, RunTimes, Stage};
use streamusher_placement::WaitReason;
use streamusher_protocol::task::{JobId, RunId};
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Millis;

/// Precedes the JSON of a [`MissedObjective`] in a line of the log.
pub const MISSED_OBJECTIVE: &str = "objective missed: ";

/// A job, or an iteration of one, that failed or ended later than its queue asks for; in the log as one line of JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MissedObjective {
    /// The job.
    pub job: JobId,
    /// The iteration.
    pub iteration: u32,
    /// Its queue.
    pub queue: Arc<str>,
    /// The service whose workers ran it.
    pub service: Arc<str>,
    /// Its queue's priority; 0 comes first.
    pub priority: u32,
    /// Part of the objective, from its queue.
    pub target_latency_ms: Millis,
    /// Factor of the objective on the work, from its queue.
    pub stretch: f64,
    /// A task of it has failed for the last time.
    pub failed: bool,
    /// When it was due or, if that was later, accepted; milliseconds since 1970.
    pub due_unix_ms: Millis,
    /// From then to its end.
    pub took_ms: Millis,
    /// How long it might have taken.
    pub objective_ms: Millis,
    /// Where the time went along the chain of tasks that its end waited for; the sum is `took_ms`.
    pub spent_ms: BTreeMap<Stage, Millis>,
}

impl From<Completion> for MissedObjective {
    fn from(completion: Completion) -> MissedObjective {
        MissedObjective {
            failed: !completion.is_done,
            spent_ms: completion.spent.stages().collect(),
            job: completion.job,
            iteration: completion.iteration,
            queue: completion.queue,
            service: completion.service,
            priority: completion.priority,
            target_latency_ms: completion.target_latency_ms,
            stretch: completion.stretch,
            due_unix_ms: completion.due_unix_ms,
            took_ms: completion.took_ms,
            objective_ms: completion.objective_ms,
        }
    }
}

impl Scheduler {
    /// Tells the job record how a run went that has ended at a worker.
    pub(crate) fn note_times(&mut self, now: Millis, worker: &WorkerId, run: &RunId, ran_ms: Millis) {
        let far_x = if self.is_far(worker, run) { self.settings.bounds.far_x } else { 1.0 };
        let slowness = far_x * self.placement.slowness(now, worker);
        self.jobs.ran(run, RunTimes { ran_ms, slowness });
    }

    fn is_far(&self, worker: &WorkerId, run: &RunId) -> bool {
        let labels = self.workers.get(worker).map(|worker| worker.labels.as_slice());
        let affinity = self.jobs.affinity(&run.task);
        affinity.is_some_and(|rack| !labels.unwrap_or_default().contains(&rack))
    }
}

/// Writes a line for what missed its objective.
pub(crate) fn log_missed(completion: Completion) {
    if completion.is_in_time() {
        return;
    }
    let missed = MissedObjective::from(completion);
    match serde_json::to_string(&missed) {
        Ok(json) => log::info!("{MISSED_OBJECTIVE}{json}"),
        Err(error) => {
            log::warn!("job {} missed its objective, and its line cannot be written: {error}", missed.job)
        }
    }
}

/// What a unit waited for, as the job record tells it.
pub(crate) fn stages_of(waits: &[(WaitReason, Millis)]) -> Vec<(Stage, Millis)> {
    waits.iter().map(|(reason, waited_ms)| (stage_of(*reason), *waited_ms)).collect()
}

fn stage_of(reason: WaitReason) -> Stage {
    match reason {
        WaitReason::NoWorkerTakesWork
        | WaitReason::NoWorkerHasItsLabel
        | WaitReason::NoWorkerIsLargeEnough => Stage::WaitedForWorker,
        WaitReason::NoRoomIsFree => Stage::WaitedForRoom,
        WaitReason::RoomIsKept => Stage::WaitedForReservation,
        WaitReason::RoomIsKeptForOthers => Stage::WaitedWithRoomFree,
    }
}
