//! Log of batches: positions and entries.

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use streamusher_protocol::store::Write;

/// A position in the log. Two replicated states at the same position are identical.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// Term of the primary that created the batch ([`EpochRecord::term`](crate::EpochRecord::term)).
    pub epoch: u64,
    /// Sequence number of the batch. It increases by one with each batch, across all terms.
    pub sequence: u64,
}

/// A batch of writes: one entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Position of the state that the batch applies to.
    pub previous: LogPosition,
    /// Position of the state after the batch is applied.
    pub position: LogPosition,
    /// The writes in order; empty in the first batch of a term.
    pub writes: Arc<Vec<Write>>,
}
