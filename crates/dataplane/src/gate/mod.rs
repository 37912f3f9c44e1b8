//! The gate: takes clients' calls and passes them to the primary.

mod passing;
mod program;
pub mod relay;
mod request;

pub use passing::pass;
pub use program::{check, run, Gate};
pub use request::{read, retry_after_outage, Refusal, DEADLINE_HEADER};
