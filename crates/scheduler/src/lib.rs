//! The primary's state machine: job record, placement, configuration and worker leases joined.
//!
//! It performs no I/O and is told the time. Each event yields [`Effects`]: changes of the replicated state, and replies
//! that may leave only when all changes up to them are committed and the primary's lease is valid. That rule is the
//! caller's; with it nothing that is told outside can be lost, and nothing is ordered twice.
//!
//! - [`event`]: what comes in and goes out.
//! - `runs`: the runs that take room at workers, from the order to the proven end.
//! - `workers`: workers and the agents beside them: reports, leases, orders.
//! - [`accounts`]: where the time of jobs went that missed their objective.
//! - `clients`, `operators`: the calls of clients and operators.
//! - `hedging`: second copies of hedged tasks whose run is in doubt.
//! - [`explain`]: answers to operators about one job or user.
//! - `judgements`: what speaks against workers, kept for the next primary.
//! - `share_debt`: what users have lately used, where it is switched on.
//! - `watch`: what happens by time alone: leases that end, tasks that stand still, workers that leave.

pub mod accounts;
mod clients;
pub mod event;
pub mod explain;
mod hedging;
mod judgements;
mod operators;
mod orders;
mod recovery;
mod reports;
mod runs;
mod scheduler;
mod share_debt;
mod watch;
mod workers;

pub use event::{
    Effects, Event, OperatorRequest, OperatorRequestKind, OperatorResponse, RequestId,
    SchedulerResponse,
};
pub use recovery::RecoverError;
pub use scheduler::{Scheduler, SchedulerLimits, SchedulerSettings};
pub use streamusher_placement::{Mechanism, Policy};
