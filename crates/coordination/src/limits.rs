//! Bounds on counts and sizes, each with its reason.

/// Most members: as many as the largest cluster has.
pub(crate) const MAX_MEMBERS: usize = 9;
/// Most join requests that are remembered: as many as a cluster could lose and then some.
pub(crate) const MAX_JOIN_REQUESTS: usize = 16;
/// Doublings of the upper bound of a rejected proposer's backoff.
pub(crate) const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// So many slow syncs in a row make a disk unfit for a primary.
pub(crate) const SLOW_SYNCS_IN_A_ROW: u32 = 3;
/// Batches that are not committed yet; further appends are merged into the next batch.
pub(crate) const MAX_IN_FLIGHT_BATCHES: u64 = 2;
/// Creation times of batches that are remembered: far more than batches are created until a slow replica is dropped.
pub(crate) const MAX_CREATION_TIMES: usize = 1_024;
/// A batch that has so many bytes takes no further append.
pub(crate) const BATCH_BYTES: usize = 1 << 20;
/// Bytes of batches that are kept for replicas that lack them.
pub(crate) const MAX_RECENT_BYTES: usize = 4 << 20;
/// As [`MAX_RECENT_BYTES`] while a snapshot is being sent: the batches after its position are still needed.
pub(crate) const MAX_RECENT_BYTES_DURING_SNAPSHOT: usize = 16 << 20;
/// Batches that are sent beyond the last acknowledged one.
pub(crate) const MAX_UNACKNOWLEDGED_BATCHES: u64 = 32;
/// Batches that a replica keeps because the one before is missing: as many as may be on their way.
pub(crate) const MAX_OUT_OF_ORDER_BATCHES: usize = 32;
/// A part of a snapshot that has so many bytes takes no further key.
pub(crate) const SNAPSHOT_PART_BYTES: usize = 64 << 10;
/// Parts of a snapshot that are sent beyond the last acknowledged one.
pub(crate) const MAX_UNACKNOWLEDGED_PARTS: u64 = 4;
