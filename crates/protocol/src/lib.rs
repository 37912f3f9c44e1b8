//! Typed messages of the scheduler: what workers, clients, operators and its own processes say to each other.
//!
//! - [`task`]: identifiers of jobs, tasks and runs, and how a run ends.
//! - [`heartbeat`]: what a worker reports and is answered.
//! - [`job`]: what a client submits, and the states it is shown.
//! - [`config`]: the operators' configuration.
//! - [`internal`]: what gates and agents say to the primary.
//! - [`mod@unit`]: what is placed at once.
//! - [`store`]: changes to the replicated state, as keys and values.
//!
//! Times are milliseconds unless a name says otherwise.

pub mod config;
pub mod heartbeat;
pub mod internal;
pub mod job;
pub mod store;
pub mod task;
pub mod unit;

/// A point on a process's own steady clock, or a span of it, in milliseconds.
pub type Millis = u64;

/// The two clocks of a process, read at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Steady clock since some start of its own; never steps.
    pub steady_ms: Millis,
    /// Time of day since 1970, as derived by the caller; may be wrong by seconds.
    pub unix_ms: Millis,
}
