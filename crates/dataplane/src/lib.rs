//! The data plane of the scheduler: everything between its outside parties and the control plane's primary.
//!
//! - [`gate`]: on front machines; forwards clients' requests to the primary, and holds a copy of the configuration.
//! - [`agent`]: the state machine beside each worker, which turns the primary's lease and commands into responses to the
//!   worker's heartbeats. [`agent_process`] runs it.
//! - [`control_plane`]: discovery of the primary and requests to it, for both.
//! - [`process`]: what both processes share: listeners, the status document, the event loop.
//!
//! The binary `streamusher-data` runs either; the emulator runs [`agent::Agent`] and
//! [`control_plane::PrimaryDiscovery`], which do no I/O, in virtual time.

pub mod agent;
pub mod agent_process;
pub mod control_plane;
pub mod gate;
pub mod process;
pub mod role_settings;
