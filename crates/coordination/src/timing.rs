//! Timeouts and intervals, with the reason for each. All times are in milliseconds of the steady clock.
//!
//! The lease duration is a setting ([`CoordinatorSettings::lease_ms`](crate::CoordinatorSettings::lease_ms)).

use streamusher_protocol::Millis;

// Replicas and learners.

/// A replica that has acknowledged nothing for this long is dropped. The value is above two keepalive
/// intervals, and below the lease, so that the primary drops an unresponsive replica before that replica
/// becomes a candidate.
pub(crate) const REPLICA_TIMEOUT_MS: Millis = 350;
/// A learner becomes a replica only if its oldest unacknowledged batch is younger than this.
pub(crate) const MAX_LEARNER_LAG_MS: Millis = 150;
/// A replica that was dropped for slowness is not chosen again for this long, so that the replicas do not
/// change continually.
pub(crate) const SLOW_REPLICA_EXCLUSION_MS: Millis = 2_000;
/// For this long after its election a primary keeps a replica that is responsive but not up to date yet.
pub(crate) const CATCH_UP_TIMEOUT_MS: Millis = 1_500;
/// A snapshot that makes no progress for this long is abandoned. The value is large because the last step,
/// the sync of the whole snapshot, may take long.
pub(crate) const SNAPSHOT_PROGRESS_TIMEOUT_MS: Millis = 3_000;

// Members.

/// A primary that cannot act and has no acknowledgements from a majority for this long steps down.
pub(crate) const QUORUM_TIMEOUT_MS: Millis = 800;
/// With an even number of members, a member that is unresponsive for this long is removed.
pub(crate) const MEMBER_TIMEOUT_MS: Millis = 5_000;
/// A member that is unresponsive for this long is replaced by a machine that asks to join. The replacement
/// has to be complete before the next loss may occur, some seconds after the start of the replacing machine.
pub(crate) const MEMBER_REPLACEMENT_TIMEOUT_MS: Millis = 1_000;
/// A join request expires this long after it was last received.
pub(crate) const JOIN_REQUEST_TIMEOUT_MS: Millis = 1_000;
/// Interval between join requests of a machine that is not a member.
pub(crate) const JOIN_REQUEST_INTERVAL_MS: Millis = 200;
/// A member without contact to a primary for this long requests the newest record.
pub(crate) const PRIMARY_TIMEOUT_MS: Millis = 1_000;
/// Interval between requests for the newest record.
pub(crate) const RECORD_QUERY_INTERVAL_MS: Millis = 500;
/// Minimum interval between proposals of a primary.
pub(crate) const RECONFIGURATION_INTERVAL_MS: Millis = 40;

// Elections and proposals.

/// Additional delay of a candidate per rank. The value is above the duration of an election with healthy
/// disks.
pub(crate) const CANDIDATE_RANK_DELAY_MS: Millis = 150;
/// Maximum random delay of a candidate, which separates candidates of the same rank.
pub(crate) const MAX_CANDIDATE_JITTER_MS: Millis = 40;
/// After a majority has promised, a candidate waits this long for more replicas to report their positions.
pub(crate) const REPORT_TIMEOUT_MS: Millis = 60;
/// Interval between retransmissions of the messages of a proposal.
pub(crate) const PROPOSAL_RETRANSMIT_INTERVAL_MS: Millis = 100;
/// A proposal that is not decided within this time is abandoned.
pub(crate) const PROPOSAL_TIMEOUT_MS: Millis = 2_500;
/// Minimum delay of a rejected proposer before its next attempt. The delay is at least this or the sync time
/// of its disk, and up to four times that; the upper bound doubles with each consecutive rejection.
pub(crate) const MIN_BACKOFF_MS: Millis = 20;
/// Maximum backoff, unless a single sync takes longer. The value is above the duration of an election with a
/// slow disk.
pub(crate) const MAX_BACKOFF_MS: Millis = 1_000;

// Retransmission of batches and parts of snapshots.

/// Batches and parts of snapshots that are not acknowledged are retransmitted after this long; for batches
/// the interval doubles up to [`MAX_RETRANSMIT_INTERVAL_MS`].
pub(crate) const RETRANSMIT_INTERVAL_MS: Millis = 100;
/// Maximum interval between retransmissions.
pub(crate) const MAX_RETRANSMIT_INTERVAL_MS: Millis = 400;

// The process itself and its disk.

/// A longer gap between two ticks means that the process stalled. The time of the stall does not count
/// against other members.
pub(crate) const MAX_TICK_GAP_MS: Millis = 100;
/// After a long stall a replica waits this long before it starts an election.
pub(crate) const POST_STALL_ELECTION_DELAY_MS: Millis = 300;
/// A failed disk change is retried after this long.
pub(crate) const DISK_RETRY_INTERVAL_MS: Millis = 100;
/// A sync that takes longer than this counts as slow.
pub(crate) const SLOW_SYNC_MS: Millis = 150;
/// A single sync that takes longer than this makes the disk unfit for a primary, and so do failures for this
/// long.
pub(crate) const SYNC_TIMEOUT_MS: Millis = 400;

// Leaving.

/// A primary that leaves waits this long for its batches to be committed.
pub(crate) const LEAVE_DRAIN_TIMEOUT_MS: Millis = 200;
/// A primary that leaves waits this long for enough other replicas.
pub(crate) const LEAVE_REPLICAS_TIMEOUT_MS: Millis = 1_000;
/// A primary that cannot transfer its leadership stops acting after this long.
pub(crate) const LEAVE_TIMEOUT_MS: Millis = 2_500;
