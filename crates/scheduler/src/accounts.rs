//! Where the time of jobs went: told to the job record as units wait and run, and logged for jobs that missed their objective.

use crate::scheduler::Scheduler;
use streamusher_jobs::{Completion, LatencyStage, RunTimings};
use streamusher_placement::{TimeWaited, WaitReason};
use streamusher_protocol::task::RunId;
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Millis;

/// Precedes the JSON of a [`Completion`] in the log line of a job that failed or ended later than its queue asks for.
pub const MISSED_OBJECTIVE: &str = "objective missed: ";

impl Scheduler {
    /// Tells the job record how a run went that has ended at a worker.
    pub(crate) fn note_times(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        run: &RunId,
        ran_ms: Millis,
    ) {
        let slowness = self.placement.run_slowness(now, &run.task, worker);
        self.jobs
            .record_run_timings(run, RunTimings { ran_ms, slowness });
    }
}

/// Writes a line for what missed its objective.
pub(crate) fn log_missed(completion: &Completion) {
    if completion.met_objective() {
        return;
    }
    match serde_json::to_string(completion) {
        Ok(json) => log::info!("{MISSED_OBJECTIVE}{json}"),
        Err(error) => {
            log::warn!(
                "job {} missed its objective, and its line cannot be written: {error}",
                completion.job
            )
        }
    }
}

/// What a unit waited for, as the job record tells it.
pub(crate) fn stages_of(waits: &[TimeWaited]) -> Vec<(LatencyStage, Millis)> {
    waits
        .iter()
        .map(|wait| (stage_of(wait.reason), wait.waited_ms))
        .collect()
}

fn stage_of(reason: WaitReason) -> LatencyStage {
    match reason {
        WaitReason::NoSchedulableWorker
        | WaitReason::NoMatchingLabel
        | WaitReason::NoWorkerLargeEnough => LatencyStage::WaitedForWorker,
        WaitReason::NoFreeCapacity => LatencyStage::WaitedForCapacity,
        WaitReason::CapacityReserved => LatencyStage::WaitedForReservation,
        WaitReason::CapacityReservedForOthers => LatencyStage::WaitedWithCapacityFree,
    }
}
