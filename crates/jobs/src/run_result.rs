//! What the end of a run means for its unit.

use crate::latency::LatencyStage;
use streamusher_protocol::task::RunEnd;

/// How a run ended, as far as its unit is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunResult {
    /// The work is done.
    Succeeded,
    /// A failed attempt.
    Failed,
    /// It was stopped, or withdrawn before it started; no attempt counts.
    Stopped,
    /// It was lost by a fault that is not its own; no attempt counts.
    Lost,
}

impl RunResult {
    /// The stage that counts the run's time where the unit has to run again. Only a long-running task does so after a
    /// success: it was at work.
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
