//! The gate: accepts clients' requests on front machines and forwards them to the primary.
//!
//! A gate makes no decisions and stores only a copy of the configuration, which it receives as a member of
//! the relay tree ([`relay`]). It is ready while a primary is known that responded recently. On SIGTERM it
//! first reports that it is not ready and then closes its connections as their requests are answered, so that
//! no client loses a request.

mod client_limits;
mod client_request;
mod client_response;
mod forwarding;
mod handler;
pub mod relay;
mod server;
mod status;

pub use client_request::DEADLINE_HEADER;
pub use client_response::retry_after_outage_ms;
pub use handler::{Gate, READINESS_PATH};
pub use server::{check, run};
