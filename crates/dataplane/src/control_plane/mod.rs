//! Finding and following the control plane's primary.

mod client;
mod discovery;

pub use client::{ControlPlaneClient, Endpoint, RequestOutcome};
pub use discovery::PrimaryDiscovery;
