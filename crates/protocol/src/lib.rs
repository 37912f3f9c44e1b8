//! Typed messages of the scheduler: what workers, clients, operators and its own processes send to each other, as JSON.
//!
//! # Modules
//!
//! - [`task`]: identifiers of jobs, tasks and runs, and how a run ends.
//! - [`heartbeat`]: a worker's heartbeat and the response to it.
//! - [`job`]: what a client submits, and the states that it is shown.
//! - [`config`]: the operators' configuration.
//! - [`internal`]: requests of gates and agents to the control plane.
//! - [`mod@unit`]: what is placed at once.
//! - [`store`]: changes to the replicated state, as keys and values.
//!
//! Times are milliseconds. Field names on the wire are part of the contract with workers, clients and other releases:
//! `tests/encoded.rs` pins every message. Where a Rust name differs, `#[serde(rename)]` holds the encoded one. Unknown fields
//! are ignored, but for those of a configuration, which are kept.
//!
//! # Example
//!
//! A worker reports a run, and is told to stop it:
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
