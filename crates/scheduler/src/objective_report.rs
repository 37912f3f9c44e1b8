//! Log lines about jobs that missed their latency objective, with the breakdown of their latency into stages.

use streamusher_jobs::{Completion, LatencyBreakdown, LatencyStage};
use streamusher_placement::{TimeWaited, WaitReason};

/// Prefix of the log line for a job that failed or finished later than its queue's objective, followed by the
/// JSON of a [`Completion`]. Tools parse the line.
pub const OBJECTIVE_MISSED_PREFIX: &str = "objective missed: ";

/// Logs a job that missed its objective.
pub(crate) fn log_if_missed(completion: &Completion) {
    if completion.met_objective() {
        return;
    }
    match serde_json::to_string(completion) {
        Ok(json) => log::info!("{OBJECTIVE_MISSED_PREFIX}{json}"),
        Err(error) => {
            log::warn!(
                "job {} missed its objective; its latency breakdown cannot be encoded: {error}",
                completion.job
            );
        }
    }
}

/// Converts the reasons for which a unit waited into a latency breakdown.
pub(crate) fn latency_of_waits(waits: &[TimeWaited]) -> LatencyBreakdown {
    let mut breakdown = LatencyBreakdown::default();
    for wait in waits {
        breakdown.add(latency_stage(wait.reason), wait.waited_ms);
    }
    breakdown
}

fn latency_stage(reason: WaitReason) -> LatencyStage {
    match reason {
        WaitReason::NoSchedulableWorker
        | WaitReason::NoMatchingLabel
        | WaitReason::NoWorkerLargeEnough
        | WaitReason::AntiAffinityLimitReached => LatencyStage::WaitedForWorker,
        WaitReason::NoFreeCapacity => LatencyStage::WaitedForCapacity,
        WaitReason::CapacityReserved => LatencyStage::WaitedForReservation,
        WaitReason::CapacityReservedForOthers => LatencyStage::WaitedWithCapacityFree,
    }
}
