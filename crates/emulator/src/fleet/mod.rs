//! The fleet: machines that run the real state machines, connected by emulated networks, disks and clocks.
//!
//! From the outermost layer to the innermost:
//!
//! - [`Fleet`] (`simulation`, built by `builder`): the event loop, which dispatches each event to the
//!   responsible module.
//! - `injection`, `recovery`: inject faults and recover from them.
//! - `clients` with `traffic` and `job_mix`, `operators` with `configuration_changes`: the users of the
//!   fleet.
//! - `worker_effects`: connects the simulated workers to their agents and to the checker.
//! - `control`, `gate`, `agent` with `discovery`: the three roles of machines.
//! - `rpc`, `lifecycle`, `reachability`: calls, starts and ends of processes, and the machines for which
//!   guarantees with a deadline hold.
//! - `environment`: the state that all of these share. They take it as an argument, and none of them calls
//!   back into the event loop: to trigger an action there, they queue an event or return a value.
//! - `machine`, `process`, `disk`, `event`, `rpc_message`, `fault_history`, [`settings`], [`traffic_digest`]:
//!   data.

mod agent;
mod builder;
mod clients;
mod configuration_changes;
mod control;
mod discovery;
mod disk;
mod environment;
mod event;
mod fault_history;
mod gate;
mod injection;
mod job_mix;
mod lifecycle;
mod machine;
mod operators;
mod process;
mod reachability;
mod recovery;
mod rpc;
mod rpc_message;
pub mod settings;
mod simulation;
mod state;
mod traffic;
pub mod traffic_digest;
mod worker_effects;

pub use simulation::Fleet;
