//! Which worker runs which task: room, queued copies, ranking, gangs, preemption; pure.
//!
//! The caller tells [`Placement`] of workers, runs and units, and asks for decisions; it is told the time and
//! draws random numbers from a seed, so the same events give the same decisions.
//!
//! - `room`, `run`: what takes a worker's room, how long still, and what stopping it would lose.
//! - `queue`, `reorder`, `copies`, `ranking`, `claim`: copies of a unit wait at several workers, the first with room claims it.
//! - `gather`, `gang`, `preempt`: room for all members at once, and for what is urgent.
//! - `explain`, `waits`: why a unit waits, for operators, and what it has waited for.
//! - `policy`: which of the mechanisms are in use.
//! - `pace`: a run's time beside those of its step's other tasks.
//! - `headroom`, `learning`: room kept for urgent work; workers that fail or are slow.

mod amounts;
mod claim;
mod copies;
mod explain;
mod gang;
mod gather;
mod headroom;
mod key;
mod learning;
mod pace;
mod placement;
mod policy;
mod preempt;
mod queue;
mod ranking;
mod reorder;
mod room;
mod run;
mod service;
mod types;
mod waits;

pub use explain::{WaitExplanation, WaitReason};
pub use placement::Placement;
pub use policy::{Mechanism, Policy};
pub use types::{
    Allocation, Decision, PlacementSettings, ReleaseReason, TaskAssignment, TimeWaited, WorkerInfo,
    WorkerStatus,
};
