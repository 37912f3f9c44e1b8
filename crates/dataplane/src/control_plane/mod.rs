//! Discovery of the control plane's primary, and requests to it.
//!
//! Gates and agents are configured with a few seed addresses only. [`PrimaryDiscovery`] determines the
//! current primary from the cluster views that members send; it is a state machine without I/O that takes the
//! current time as an argument. [`ControlPlaneClient`] drives it over HTTP: it sends the probes that are due,
//! watches one member for the next epoch, and reports the outcome of each request to the primary back to the
//! discovery.

mod client;
mod cluster_view;
mod connections;
mod discovery;
mod jitter;
mod probes;

pub use client::{ControlPlaneClient, RequestOutcome};
pub use connections::Endpoint;
pub use discovery::PrimaryDiscovery;
