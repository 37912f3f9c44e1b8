//! The fleet: machines with the real state machines, joined by emulated networks, disks and clocks.
//!
//! From the outside in:
//!
//! - [`Fleet`] (`simulation`, built by `builder`): the event loop, which passes each event to the part that it concerns.
//! - `injection`, `recovery`: what faults do, and how they end.
//! - `clients` with `traffic` and `job_mix`, `operators` with `configuration_changes`: who uses the fleet.
//! - `worker_effects`: joins the simulated workers to their agents and to the checker.
//! - `control`, `gate`, `agent` with `discovery`: the three roles of machines.
//! - `rpc`, `lifecycle`, `reachability`: calls, processes that start and end, machines for which promises with a time hold.
//! - `environment`: what all of these share. They take it as an argument, and none calls back into the event loop: what they
//!   want done there is an event in the queue, or a value that they return.
//! - `machine`, `process`, `disk`, `event`, `rpc_message`, `fault_history`, [`settings`], [`traffic_digest`]: data.

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
