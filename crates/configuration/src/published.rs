//! A configuration as the store hands it over to the relay tree.

use std::sync::Arc;

/// A configuration, and the update that made it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedConfiguration {
    /// Its version.
    pub version: u64,
    /// Its JSON text.
    pub text: Arc<str>,
    /// The update that made it; none where it was replaced whole, or where that is not known after a failover.
    pub update: Option<PublishedUpdate>,
}

/// An operator's update that was applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedUpdate {
    /// The version on which it builds.
    pub base_version: u64,
    /// Its JSON text, as the operator sent it.
    pub text: Arc<str>,
}
