//! Configuration in the form in which the store passes it to the relay tree.

use std::sync::Arc;

/// A configuration and the update that produced it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedConfiguration {
    /// Version of the configuration.
    pub version: u64,
    /// JSON text of the configuration.
    pub text: Arc<str>,
    /// Update that produced the configuration; `None` if the whole configuration was replaced, or if the
    /// update is not known after a failover.
    pub update: Option<PublishedUpdate>,
}

/// An operator's update that was applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedUpdate {
    /// Version on which the update is based.
    pub base_version: u64,
    /// JSON text of the update, as the operator sent it.
    pub text: Arc<str>,
}
