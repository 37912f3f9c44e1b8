//! The data plane of the scheduler: the processes between clients or workers and the control plane's primary.
//!
//! - [`gate`]: runs on front machines, forwards clients' requests to the primary and stores a copy of the
//!   configuration.
//! - [`agent`]: the state machine beside each worker, which derives the responses to the worker's heartbeats
//!   from the primary's lease and commands. [`agent_process`] runs it.
//! - [`control_plane`]: discovery of the primary, and requests to it, for both processes.
//! - [`process`]: code shared by both processes: listeners, the status document, the event loop.
//!
//! The binary `streamusher-data` runs either process. The emulator runs [`agent::Agent`] and
//! [`control_plane::PrimaryDiscovery`], which do no I/O, in virtual time.

pub mod agent;
pub mod agent_process;
pub mod control_plane;
pub mod gate;
pub mod process;
pub mod role_settings;
