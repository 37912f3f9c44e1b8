//! The log of batches: its positions and its entries.

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use streamusher_protocol::store::Write;

/// A position in the log. Two replicated states at the same position are identical.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// The term of the primary that created the batch ([`EpochRecord::term`](crate::EpochRecord::term)).
    pub epoch: u64,
    /// Sequence of the batch; rises by one from batch to batch, over all terms.
    pub sequence: u64,
}

/// A batch of writes: one entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The position to which it applies.
    pub previous: LogPosition,
    /// The position that it makes.
    pub position: LogPosition,
    /// The writes; none in the batch that opens a term.
    pub writes: Arc<Vec<Write>>,
}
