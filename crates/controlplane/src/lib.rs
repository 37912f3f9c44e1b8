//! The control plane: the process of a control machine, which acts as primary, replica or witness.
//!
//! The control machines elect a primary and replicate its state ([`streamusher_coordination`]). The primary
//! runs the scheduler ([`streamusher_scheduler`]) on that state and serves gates, agents and operators. It
//! sends a response only after the writes that the response depends on are committed.
//!
//! A pure state machine, [`driver::Driver`], decides when a response is released. The emulator of the whole
//! system embeds the same state machine:
//!
//! - [`driver`]: connects replication and scheduler; `requests`, `deferred`: the requests it handles, and
//!   those queued until the machine acts as primary.
//! - [`pending_configurations`]: configurations that are published to the relay tree once they are committed.
//!
//! The process that runs the driver:
//!
//! - [`process`]: startup, event loop and shutdown; `servers`: its HTTP servers.
//! - `control_machine`: the driver with the queues that receive its actions, shared by servers and event
//!   loop.
//! - [`internal_api`], [`control_api`]: the HTTP interfaces for other processes and for operators.
//! - [`peer_messages`], `primary_relay`: messages to other control machines and to the relay tree.
//! - [`store`]: the state on disk, and the thread that writes it.
//! - [`machine_settings`], `component_settings`, [`fair_share_file`]: settings.
//!
//! The operators' commands of the same program:
//!
//! - [`options`]: the command line.
//! - [`cluster_status`], [`show_disk`]: the commands `status`, `explain` and `show-disk`.
//!
//! # Example
//!
//! A driver without network and disk: a machine with an empty disk that cannot reach its seeds does not
//! become primary.
//!
//! ```
//! use streamusher_controlplane::driver::{Action, ControlOutcome, ControlRequest, Driver};
//! use streamusher_coordination::{Coordinator, CoordinatorSettings, DiskImage};
//! use streamusher_protocol::internal::CoreAddress;
//! use streamusher_protocol::Now;
//! use streamusher_scheduler::{
//!     OperatorRequest, OperatorRequestKind, Policy, Scheduler, SchedulerLimits, SchedulerSettings,
//! };
//!
//! let address = CoreAddress {
//!     internal: "10.0.0.1:7300".into(),
//!     control: "10.0.0.1:8144".into(),
//! };
//! let coordinator_settings = CoordinatorSettings {
//!     address: address.clone(),
//!     bootstrap: false,
//!     seeds: vec![address],
//!     tolerance: 1,
//!     lease_ms: 600,
//!     random_seed: 7,
//! };
//! let scheduler_settings = SchedulerSettings {
//!     limits: SchedulerLimits::default(),
//!     random_seed: 7,
//!     fair_share: None,
//!     policy: Policy::default(),
//! };
//! let now = Now { steady_ms: 0, unix_ms: 1_700_000_000_000 };
//! let coordinator = Coordinator::new(coordinator_settings, DiskImage::default(), now.steady_ms);
//! let mut driver: Driver<Coordinator, Scheduler> = Driver::new(scheduler_settings, coordinator);
//!
//! let read = ControlRequest::Operator(OperatorRequest {
//!     kind: OperatorRequestKind::Read,
//!     base: None,
//!     body: "".into(),
//! });
//! let (id, actions) = driver.on_request(now, read);
//!
//! let [Action::Respond { request, outcome }] = &actions[..] else {
//!     panic!("one response: {actions:?}");
//! };
//! assert_eq!(*request, id);
//! assert!(matches!(outcome, ControlOutcome::NotPrimary(_)));
//! ```

pub mod cluster_status;
mod component_settings;
pub mod control_api;
mod control_machine;
mod deferred;
pub mod driver;
pub mod fair_share_file;
pub mod internal_api;
pub mod machine_settings;
pub mod options;
pub mod peer_messages;
pub mod pending_configurations;
mod primary_relay;
pub mod process;
mod requests;
mod servers;
pub mod show_disk;
pub mod store;
