//! Time-outs and intervals, each with its reason. All times are in milliseconds of the steady clock.
//!
//! The lease itself is a setting ([`CoordinatorSettings::lease_ms`](crate::CoordinatorSettings::lease_ms)).

use streamusher_protocol::Millis;

// Replicas and learners.

/// A replica that has not acknowledged for this long leaves the set: above two intervals of the keepalive, below the
/// lease, so that the primary drops an unresponsive replica before that one stands for election.
pub(crate) const REPLICA_TIMEOUT_MS: Millis = 350;
/// A learner becomes a replica only when its oldest unacknowledged batch is younger than this.
pub(crate) const MAX_LEARNER_LAG_MS: Millis = 150;
/// A replica dropped for slowness is not taken again for this long, so that the set does not change all the time.
pub(crate) const SLOW_REPLICA_EXCLUSION_MS: Millis = 2_000;
/// For this long a new primary keeps a replica that answers and is not up to date yet.
pub(crate) const CATCH_UP_TIMEOUT_MS: Millis = 1_500;
/// A snapshot that makes no progress for this long is given up. It is long because the last step, the sync of the whole
/// snapshot, may take long.
pub(crate) const SNAPSHOT_PROGRESS_TIMEOUT_MS: Millis = 3_000;

// Members.

/// A primary that cannot act and hears no majority for this long steps down.
pub(crate) const QUORUM_TIMEOUT_MS: Millis = 800;
/// Of an even number of members, one that is unresponsive for this long is removed.
pub(crate) const MEMBER_TIMEOUT_MS: Millis = 5_000;
/// A member that is unresponsive for this long is replaced by a machine that asks to join: before the next loss may come,
/// which is some seconds after the successor's start.
pub(crate) const MEMBER_REPLACEMENT_TIMEOUT_MS: Millis = 1_000;
/// A join request counts for this long after it was last received.
pub(crate) const JOIN_REQUEST_TIMEOUT_MS: Millis = 1_000;
/// Between two join requests of a machine that is no member.
pub(crate) const JOIN_REQUEST_INTERVAL_MS: Millis = 200;
/// A member that has heard no primary for this long asks for the newest record.
pub(crate) const PRIMARY_TIMEOUT_MS: Millis = 1_000;
/// Between two such questions.
pub(crate) const RECORD_QUERY_INTERVAL_MS: Millis = 500;
/// Between two proposals of a primary.
pub(crate) const RECONFIGURATION_INTERVAL_MS: Millis = 40;

// Elections and proposals.

/// Candidates wait this much longer for each rank: above the time of an election among sound disks.
pub(crate) const CANDIDATE_RANK_DELAY_MS: Millis = 150;
/// Candidates of the same rank are kept apart by a random delay of up to this much.
pub(crate) const MAX_CANDIDATE_JITTER_MS: Millis = 40;
/// After a majority has promised, a candidate waits this long for more replicas to report their positions.
pub(crate) const REPORT_TIMEOUT_MS: Millis = 60;
/// Messages of a proposal are sent again after this long.
pub(crate) const PROPOSAL_RETRANSMIT_INTERVAL_MS: Millis = 100;
/// A proposal without success is given up after this long.
pub(crate) const PROPOSAL_TIMEOUT_MS: Millis = 2_500;
/// A rejected proposer waits at least this long, or a sync of its disk, and up to four times that, before it tries again;
/// the upper bound doubles with each rejection in a row.
pub(crate) const MIN_BACKOFF_MS: Millis = 20;
/// The longest backoff, unless a single sync takes longer: above the time of an election with a slow disk.
pub(crate) const MAX_BACKOFF_MS: Millis = 1_000;

// Retransmission of batches and of snapshots' parts.

/// Batches and snapshots' parts that are not acknowledged are sent again after this long, doubling up to
/// [`MAX_RETRANSMIT_INTERVAL_MS`].
pub(crate) const RETRANSMIT_INTERVAL_MS: Millis = 100;
/// The longest wait before a retransmission.
pub(crate) const MAX_RETRANSMIT_INTERVAL_MS: Millis = 400;

// The process itself and its disk.

/// A longer gap between two ticks means that the process stalled. Others are not blamed for the gap.
pub(crate) const MAX_TICK_GAP_MS: Millis = 100;
/// After a long stall a replica listens this long before it stands for election.
pub(crate) const POST_STALL_ELECTION_DELAY_MS: Millis = 300;
/// A failed change of the disk is tried again after this long.
pub(crate) const DISK_RETRY_INTERVAL_MS: Millis = 100;
/// A sync that takes longer counts as slow.
pub(crate) const SLOW_SYNC_MS: Millis = 150;
/// A single sync that takes longer makes the disk unfit for a primary, and so do failures for this long.
pub(crate) const SYNC_TIMEOUT_MS: Millis = 400;

// Leaving.

/// A primary that leaves waits this long for its batches to be committed.
pub(crate) const LEAVE_DRAIN_TIMEOUT_MS: Millis = 200;
/// A primary that leaves waits this long for enough other replicas.
pub(crate) const LEAVE_REPLICAS_TIMEOUT_MS: Millis = 1_000;
/// A primary that cannot transfer its leadership stops acting after this long.
pub(crate) const LEAVE_TIMEOUT_MS: Millis = 2_500;
