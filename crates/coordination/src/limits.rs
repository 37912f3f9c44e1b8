//! Limits on counts and sizes, with the reason for each.

/// Maximum number of members: as many as the largest cluster has.
pub(crate) const MAX_MEMBERS: usize = 9;
/// Maximum number of join requests kept: as many machines as a cluster could lose, plus a margin.
pub(crate) const MAX_JOIN_REQUESTS: usize = 16;
/// Maximum number of doublings of the upper bound of a rejected proposer's backoff.
pub(crate) const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// Number of consecutive slow syncs that makes a disk unfit for a primary.
pub(crate) const UNFIT_DISK_SLOW_SYNCS: u32 = 3;
/// Maximum number of uncommitted batches; further appends are merged into the next batch.
pub(crate) const MAX_IN_FLIGHT_BATCHES: u64 = 2;
/// Maximum number of batch creation times kept: far more batches than are created before a slow replica is
/// dropped.
pub(crate) const MAX_CREATION_TIMES: usize = 1_024;
/// Target size of a batch in bytes: a batch that has reached it takes no further append.
pub(crate) const TARGET_BATCH_BYTES: usize = 1 << 20;
/// Maximum size in bytes of the recent batches that are cached for replicas that lack them.
pub(crate) const MAX_LOG_CACHE_BYTES: usize = 4 << 20;
/// Replaces [`MAX_LOG_CACHE_BYTES`] while a snapshot is being sent, because the receiver still needs the
/// batches after the snapshot's position.
pub(crate) const MAX_LOG_CACHE_BYTES_DURING_SNAPSHOT: usize = 16 << 20;
/// Maximum number of batches sent beyond the last acknowledged one.
pub(crate) const MAX_UNACKNOWLEDGED_BATCHES: u64 = 32;
/// Maximum number of batches that a replica keeps while an earlier batch is missing: as many as may be in
/// flight.
pub(crate) const MAX_OUT_OF_ORDER_BATCHES: usize = 32;
/// Target size in bytes of a part of a snapshot: a part that has reached it takes no further key.
pub(crate) const TARGET_SNAPSHOT_PART_BYTES: usize = 64 << 10;
/// Maximum number of parts of a snapshot sent beyond the last acknowledged one.
pub(crate) const MAX_UNACKNOWLEDGED_PARTS: u64 = 4;
