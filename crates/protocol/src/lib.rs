//! Typed messages of the scheduler: the JSON that workers, clients, operators and the scheduler's own
//! processes exchange.
//!
//! # Modules
//!
//! - [`task`]: identifiers of jobs, tasks and runs, and the outcome of a run.
//! - [`heartbeat`]: the heartbeat of a worker and the response to it.
//! - [`job`]: jobs as clients submit them, and the job states reported to clients.
//! - [`config`]: the operators' configuration.
//! - [`internal`]: requests of gates and agents to the control plane.
//! - [`mod@unit`]: units of placement.
//! - [`store`]: changes to the replicated state, as keys and values.
//!
//! Times are in milliseconds. Field names on the wire are part of the contract with workers, clients and
//! other releases; `tests/encoded.rs` fixes the encoding of every message. Where a Rust name differs from the
//! encoded one, `#[serde(rename)]` gives the encoded name. Unknown fields are ignored, except in
//! configurations, where they are preserved.
//!
//! # Example
//!
//! A worker reports a run and receives the command to stop it:
//!
//! ```
//! use streamusher_protocol::heartbeat::{Heartbeat, HeartbeatResponse, StopCommand};
//!
//! # fn main() -> Result<(), serde_json::Error> {
//! let text = r#"{"service":"render","sequence":7,"running":[["5c0e7a21d94b36f8.0.1.2",1,"",12.5]]}"#;
//! let heartbeat: Heartbeat = serde_json::from_str(text)?;
//! let run = &heartbeat.running[0];
//! assert_eq!((run.task.step, run.run, run.percent), (1, 1, 12.5));
//!
//! let response = HeartbeatResponse {
//!     fence_token: 3,
//!     stop: vec![StopCommand { task: run.task.clone(), run: run.run }],
//!     ..HeartbeatResponse::default()
//! };
//! let text = serde_json::to_string(&response)?;
//! assert_eq!(text, r#"{"fence_token":3,"stop":[["5c0e7a21d94b36f8.0.1.2",1]]}"#);
//! # Ok(())
//! # }
//! ```

pub mod config;
pub mod heartbeat;
pub mod internal;
pub mod job;
pub mod store;
pub mod task;
pub mod unit;

/// A point in time on a process's own monotonic clock, or a time span, in milliseconds.
pub type Millis = u64;

/// The two clocks of a process, read at the same moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Monotonic clock, counted from an arbitrary start; never steps.
    pub steady_ms: Millis,
    /// Time of day in milliseconds since 1970, as derived by the caller. It may be wrong by seconds.
    pub unix_ms: Millis,
}
