//! The control plane's scheduler: the state machine of the elected primary.
//!
//! [`Scheduler`] combines jobs, placement, the configuration, worker leases and fair share. It performs no
//! I/O and takes the current time as an argument. Each [`Event`] yields [`Effects`]: changes of the
//! replicated state, and responses that may be sent only when all changes up to them are committed and the
//! primary's lease is valid. The caller must enforce this rule. It guarantees that nothing a response has
//! acknowledged is lost, and that no task is started twice by two primaries.
//!
//! A new primary starts with [`Scheduler::recover`] from the replicated state, and learns the rest from
//! agents' reports.
//!
//! ```
//! use streamusher_protocol::internal::{ClientMethod, ClientRequest};
//! use streamusher_protocol::Now;
//! use streamusher_scheduler::{Event, Policy, Scheduler, SchedulerLimits, SchedulerResponse, SchedulerSettings};
//!
//! let settings = SchedulerSettings {
//!     limits: SchedulerLimits::default(),
//!     random_seed: 1,
//!     fair_share: None,
//!     policy: Policy::default(),
//! };
//! let now = Now { steady_ms: 0, unix_ms: 1_790_000_000_000 };
//! let mut scheduler = Scheduler::recover(settings, 1, now, Vec::new()).expect("an empty state");
//! let request = ClientRequest {
//!     method: ClientMethod::Get,
//!     host: "example.org".into(),
//!     path: "/reports/".into(),
//!     body: "".into(),
//!     configuration_version: 0,
//! };
//!
//! let effects = scheduler.handle(now, Event::ClientRequest { id: 7, request });
//!
//! assert!(effects.writes.is_empty());
//! assert_eq!(effects.responses[0].request, 7);
//! match &effects.responses[0].response {
//!     SchedulerResponse::Client(response) => assert_eq!(response.status, 503),
//!     other => panic!("not a client's response: {other:?}"),
//! }
//! ```
//!
//! # Modules
//!
//! Each layer uses only the layers below it:
//!
//! - `scheduler`: dispatches events.
//! - `client_requests`, `operator_requests`, `agent_sync`, `worker_report`, `commands`: each handles one kind
//!   of request and its responses.
//! - `worker_liveness`, `run_timeouts`, `hedging`: periodic checks and time-outs.
//! - `recovery`, `explain`, `long_running_report`: takeover by a new primary, explanations for operators, and
//!   log lines about long-running jobs with tasks that are not running.
//! - `cluster_state`: the state, and the transitions that keep its parts consistent.
//! - `runs`, `workers`, `agents`, `fair_share`, `penalty_store`, `objective_report`: the individual parts of
//!   the state.
//! - `event`, `settings`, `status`, `json_body`: types of the interface.

mod agent_sync;
mod agents;
mod client_requests;
mod cluster_state;
mod commands;
mod event;
mod explain;
mod fair_share;
mod hedging;
mod json_body;
mod long_running_report;
mod objective_report;
mod operator_requests;
mod penalty_store;
mod recovery;
mod run_timeouts;
mod runs;
mod scheduler;
mod settings;
mod status;
mod worker_liveness;
mod worker_report;
mod workers;

pub use event::{
    Effects, Event, OperatorRequest, OperatorRequestKind, OperatorResponse, PendingResponse,
    RequestId, SchedulerResponse,
};
pub use explain::{JobExplanation, PendingUnitExplanation, RunExplanation};
pub use long_running_report::{LongRunningShortfall, LONG_RUNNING_SHORTFALL_PREFIX};
pub use objective_report::OBJECTIVE_MISSED_PREFIX;
pub use recovery::RecoverError;
pub use scheduler::Scheduler;
pub use settings::{SchedulerLimits, SchedulerSettings};
pub use status::{FairShareStatus, SchedulerStatus, WorkerStatus};
pub use streamusher_placement::{Mechanism, Policy};
