//! Which worker runs which task: room, queued copies, ranking, gangs, preemption; pure.

mod placement;
mod types;

pub use placement::Placement;
pub use types::{Decision, Held, Release, Settings, WorkerInfo, WorkerStatus};
