//! Members of the relay tree at one time.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Live processes of the data plane, according to the leases at the primary.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayMembership {
    /// Increases with each change.
    pub version: u64,
    /// Addresses of the members, in any order.
    pub members: Vec<Arc<str>>,
}
