//! Result of a run, as its unit counts it.

use crate::latency::LatencyStage;
use streamusher_protocol::task::RunEnd;

/// Result of a run with respect to its unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunResult {
    /// The run did its work.
    Succeeded,
    /// The run counts as a failed attempt.
    Failed,
    /// The run was stopped, or withdrawn before it started. It does not count as an attempt.
    Stopped,
    /// The run was lost through a fault outside of it. It does not count as an attempt.
    Lost,
}

impl RunResult {
    /// Latency stage that accounts for the time of a run after which the unit has to run again. Only
    /// long-running tasks run again after a success, and their time counts as work.
    pub(crate) fn stage_before_rerun(self) -> LatencyStage {
        match self {
            RunResult::Failed => LatencyStage::Failed,
            RunResult::Stopped => LatencyStage::Stopped,
            RunResult::Succeeded => LatencyStage::Worked,
            RunResult::Lost => LatencyStage::Lost,
        }
    }
}

impl From<RunEnd> for RunResult {
    fn from(end: RunEnd) -> RunResult {
        match end {
            RunEnd::Done => RunResult::Succeeded,
            RunEnd::Failed => RunResult::Failed,
            RunEnd::Stopped => RunResult::Stopped,
            RunEnd::LeaseExpired
            | RunEnd::GangBroken
            | RunEnd::GangIncomplete
            | RunEnd::Rejected => RunResult::Lost,
        }
    }
}
