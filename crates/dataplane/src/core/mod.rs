//! Finding and following the control plane's primary.

mod finder;
mod link;

pub use finder::PrimaryDiscovery;
pub use link::{ControlPlaneClient, Endpoint, RequestOutcome};
