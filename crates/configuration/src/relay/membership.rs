//! The members of the relay tree at one time.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The live processes of the data plane, as the primary knows them by their leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayMembership {
    /// Rises with each change.
    pub version: u64,
    /// Their addresses, in any order.
    pub members: Vec<Arc<str>>,
}
