//! Spans of time and bounds, each with its reason. Times in milliseconds.

use streamusher_protocol::Millis;

/// A replica that has not acknowledged for this long leaves the set: above two intervals of the keepalive, below the lease, so
/// that the primary drops a silent replica before that one stands for election.
pub const REPLICA_SILENCE_MS: Millis = 350;
/// A learner becomes a replica only when its oldest unacknowledged batch is younger.
pub const LEARNER_LAG_MS: Millis = 150;
/// A replica dropped for slowness is not taken again for this long.
pub const SLOW_REST_MS: Millis = 2_000;
/// A new primary keeps a replica that answers but is not yet level this long.
pub const LEVELLING_MS: Millis = 1_500;
/// A copy that makes no progress for this long is given up; the last step, its sync, may take long.
pub const COPY_REST_MS: Millis = 3_000;
/// A primary that can't act and hears no majority for this long gives up its office.
pub const ABDICATE_MS: Millis = 800;
/// Of an even number, a member silent for this long is removed.
pub const MEMBER_SILENCE_MS: Millis = 5_000;
/// A member silent for this long is replaced by a machine that asks to be let in: before the next loss may come, which is some
/// seconds after the successor's start.
pub const REPLACED_AFTER_MS: Millis = 1_000;
/// A machine that wants to be let in counts for this long after its last word.
pub const JOINER_LIFE_MS: Millis = 1_000;
/// Between two words of a machine that wants to be let in.
pub const HELLO_MS: Millis = 200;
/// Between two words of a member that hears no primary.
pub const LOST_HELLO_MS: Millis = 500;
/// A member that has heard no primary for this long asks for the newest record.
pub const LOST_PRIMARY_MS: Millis = 1_000;
/// Candidates wait this much longer for each rank: above the time of an election among sound disks.
pub const RANK_STEP_MS: Millis = 150;
/// Candidates of the same rank are kept apart by up to this much.
pub const STAND_JITTER_MS: Millis = 40;
/// After a majority, a candidate waits this long for more replicas to report.
pub const REPORT_MS: Millis = 60;
/// Messages of a proposal are repeated after this long.
pub const PROPOSAL_REPEAT_MS: Millis = 100;
/// A proposal without success is given up after this long.
pub const PROPOSAL_LIFE_MS: Millis = 2_500;
/// A refused proposer waits at least this long, or a sync of its disk, and up to four times that, before it tries
/// again; the upper bound doubles with each refusal in a row.
pub const BACK_OFF_MS: Millis = 20;
/// Most doublings of that bound.
pub const MOST_BACK_OFF_DOUBLINGS: u32 = 5;
/// The longest wait after a refusal, unless a single sync takes longer: above the time of an election with a slow disk.
pub const LONGEST_BACK_OFF_MS: Millis = 1_000;
/// Batches and parts of copies are repeated after this long, doubling up to [`MOST_REPEAT_MS`].
pub const REPEAT_MS: Millis = 100;
/// The longest wait before a repetition.
pub const MOST_REPEAT_MS: Millis = 400;
/// Between two proposals of a primary.
pub const CHANGE_REST_MS: Millis = 40;
/// A tick later than this was held up; others are excused for the time.
pub const HELD_UP_MS: Millis = 100;
/// After its own standstill a replica listens this long before it stands for election.
pub const WAKE_MS: Millis = 300;
/// A failed change of the disk is tried again after this long.
pub const DISK_RETRY_MS: Millis = 100;
/// A sync slower than this counts as slow.
pub const SLOW_SYNC_MS: Millis = 150;
/// So many slow syncs in a row are trouble.
pub const SLOW_SYNCS: u32 = 3;
/// A single sync this slow is trouble, and so is a disk that fails for this long.
pub const STUCK_SYNC_MS: Millis = 400;
/// A primary that leaves waits this long for its batches.
pub const LEAVE_DRAIN_MS: Millis = 200;
/// A primary that leaves waits this long for enough other replicas.
pub const LEAVE_REPLICAS_MS: Millis = 1_000;
/// A primary that can't hand over stops acting after this long.
pub const LEAVE_MOST_MS: Millis = 2_500;
/// Most members: as many as the largest core.
pub const MOST_MEMBERS: usize = 9;
/// Most machines that are remembered as asking to be let in.
pub const MOST_JOINERS: usize = 16;
/// Batches not yet committed; more appends are merged into the next.
pub const MOST_OUTSTANDING: u64 = 2;
/// Bytes of a batch, above which the next is begun.
pub const BATCH_BYTES: usize = 1 << 20;
/// Bytes of batches that are remembered for replicas that lack them.
pub const RECENT_BYTES: usize = 4 << 20;
/// As [`RECENT_BYTES`], while a copy is under way: what came after it began is still needed.
pub const RECENT_COPY_BYTES: usize = 16 << 20;
/// Batches sent beyond the last acknowledged one.
pub const SEND_WINDOW: u64 = 32;
/// Bytes of a part of a copy.
pub const PART_BYTES: usize = 64 << 10;
/// Parts of a copy sent beyond the last acknowledged one.
pub const PART_WINDOW: u64 = 4;
