//! The agent's state machine, which mediates between the heartbeats of one worker and the commands of the
//! primary.
//!
//! One agent runs beside each worker. It syncs with the primary: each [`AgentSync`] reports the worker's
//! state, and each response carries a lease and the commands in force. From that lease the agent grants the
//! worker a *hold*: the time for which the worker may continue to run tasks without contact. The worker's
//! heartbeats are long polls, answered as soon as there are commands for the worker.
//!
//! The scheduler's guarantee that no task runs twice depends on these invariants:
//! - no hold outlasts the lease from which it was granted, whatever the worker's clock does within its
//!   tolerance;
//! - no start command is sent to the worker that the next sync does not report as offered;
//! - a worker is reported as gone only when no run can be executing on it any more.
//!
//! [`Agent`] does no I/O and takes the current time as an argument. [`crate::agent_process`] drives it over
//! HTTP, the emulator in virtual time.
//!
//! [`AgentSync`]: streamusher_protocol::internal::AgentSync
//!
//! ```
//! use streamusher_dataplane::agent::{Agent, AgentAction, AgentEvent, AgentSettings};
//!
//! let settings = AgentSettings {
//!     name: "side-1".into(),
//!     boot: 7,
//!     hold_max_ms: 6_000,
//!     heartbeat_ms: 1_500,
//! };
//! let mut agent = Agent::new(settings, 1_000);
//! let actions = agent.handle(1_000, AgentEvent::Tick);
//! assert!(matches!(&actions[..], [AgentAction::SendSync(sync)] if sync.sequence == 1));
//! ```

mod commands;
mod event;
mod former_instances;
mod heartbeat_response;
mod hold;
mod settings;
mod state_machine;
mod status;
mod sync_schedule;
mod worker;

pub use event::{AgentAction, AgentEvent};
pub use settings::AgentSettings;
pub use state_machine::Agent;
pub use status::AgentStatus;
