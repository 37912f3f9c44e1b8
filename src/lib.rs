#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! A job dispatcher that sits beside each submitter and pushes jobs to workers.
//!
//! It forks each repeatable job into copies queued at the workers with the fewest of its own waiting jobs,
//! more copies as queues grow, and cancels the other copies as soon as one starts running: the (n, 1)
//! fork-early-cancel system of Joshi, Soljanin and Wornell, "Queues with Redundancy: Latency-Cost Analysis".
//! `docs/design.md` describes what was kept, what was changed and why. All decisions are made in
//! `src/balance/`.
//!
//! There are four ways to embed it:
//!
//! - [`run`] is the whole daemon; it runs on the calling thread until SIGTERM;
//! - [`handle::Handle`] runs the daemon on its own thread and accepts operations from inside the process, and
//!   [`middleware::DispatchLayer`] puts it in front of a tower or axum service;
//! - [`core::Core`] manages operations and their state for fronts and drivers that the embedder supplies;
//! - [`Balancer`] contains only the decisions. It has no clock, threads, sockets or global state: the
//!   embedder passes it events with their times and executes the actions it returns, for example:
//!
//! ```
//! use streamusher::interface::{
//!     Action, AttemptEnd, AttemptOutcome, Class, ClassId, Endpoint, EndpointState, Event, JobId, KindId, Request,
//!     Settings, WorkerId, ZoneId,
//! };
//! use streamusher::Balancer;
//!
//! let settings = Settings {
//!     classes: vec![Class { latency_target_us: 100_000, deadline_us: 2_000_000, ..Class::default() }],
//!     notifies_start: true,
//!     may_cancel: true,
//!     may_duplicate: true,
//!     max_attempts: 4,
//!     ..Settings::default()
//! };
//! let mut balancer = Balancer::new(settings, 42, 0);
//! let mut actions = Vec::new();
//!
//! // A list with one worker. Ids are assigned from 0, in the order in which this dispatcher first sees the workers.
//! let entry = Endpoint {
//!     worker: WorkerId(0),
//!     state: EndpointState::Ready,
//!     started_at_us: 0,
//!     zone: ZoneId(0),
//!     cell: 0,
//!     kind: KindId(0),
//!     weight: 1.0,
//!     hash: 0,
//! };
//! balancer.handle(0, Event::EndpointUpdate { complete: true, endpoints: vec![entry] }, &mut actions);
//!
//! // A job arrives and is sent.
//! let job = JobId(7);
//! let arrived = Event::Arrived(Request {
//!     job,
//!     class: ClassId(0),
//!     tenant: None,
//!     free_quota_share: None,
//!     expires_in_us: 2_000_000,
//!     expected_work_us: None,
//!     slots: 1.0,
//!     affinity_key: None,
//! });
//! balancer.handle(1_000, arrived, &mut actions);
//! balancer.handle(1_000, Event::BatchEnd, &mut actions);
//! assert!(actions.contains(&Action::Send { job, worker: WorkerId(0) }));
//!
//! // Its answer arrives; the embedder returns it to the client, and no action is left to execute.
//! actions.clear();
//! let outcome =
//!     Event::AttemptEnded(AttemptEnd { job, attempt: 0, outcome: AttemptOutcome::Succeeded, is_final: true, report: None });
//! balancer.handle(90_000, outcome, &mut actions);
//! assert!(actions.is_empty());
//! ```

mod balance;
mod billing;
pub mod closing;
mod command;
pub mod config;
pub mod core;
pub mod counters;
mod drmaa;
mod fleet;
pub mod handle;
pub mod interface;
pub mod list_clock;
pub mod middleware;
mod net;
pub mod program;
mod runtime;
pub mod servers;
mod settings;
mod signals;
mod state;
pub mod telemetry;
pub mod wire;

pub use balance::Balancer;
pub use balance::{SlowStart, SlowStartShare};
pub use runtime::run;
