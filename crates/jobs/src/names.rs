//! How units are named.

use streamusher_protocol::task::JobId;
use streamusher_protocol::unit::{StepId, UnitId};

/// The identifier of a unit.
pub(crate) fn unit_id(job: &JobId, iteration: u32, step: usize, unit: usize, gang: bool) -> UnitId {
    let index = if gang { None } else { Some(unit as u32) };
    UnitId {
        step: StepId {
            job: job.clone(),
            iteration,
            step: step as u32,
        },
        index,
    }
}
