//! The data plane: the gate for clients and the agent beside each worker.
//!
//! - [`agent`]: the agent's state machine; told the time, without I/O.
//! - [`agent_program`]: the agent as a process.
//! - [`control_plane`]: finding and following the control plane's primary.
//! - [`gate`]: the gate as a process.

pub mod agent;
pub mod agent_program;
pub mod control_plane;
pub mod gate;
pub mod process;
