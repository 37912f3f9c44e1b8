//! Settings, epochs, and what is on disk.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;
use streamusher_protocol::internal::CoreAddress;
use streamusher_protocol::store::Write;
use streamusher_protocol::Millis;

/// The replicated state: keys to JSON texts.
pub type StateMap = im::OrdMap<Arc<str>, Arc<str>>;

/// Settings of one core machine.
#[derive(Clone, Debug)]
pub struct CoordinatorSettings {
    /// Where the others reach this machine.
    pub address: CoreAddress,
    /// The very first start of the whole system, on empty disks.
    pub bootstrap: bool,
    /// Core machines that were there when the settings were written; the members of epoch 0 at the first start.
    pub seeds: Vec<CoreAddress>,
    /// How many machines may lose their disks at once.
    pub tolerance: usize,
    /// How long a replica's acknowledgement of a keepalive keeps it from seeking the primary's place.
    pub lease_ms: Millis,
    /// Seed of all random draws. It must be a new one at each start of the process, as the id of an empty disk is
    /// drawn from it.
    pub random_seed: u64,
}

/// Identifies a disk from its first use until it is lost. A machine that lost its disk has a new one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DiskId(pub u64);

impl fmt::Display for DiskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A member of the core: a voter, and perhaps a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its disk.
    pub id: DiskId,
    /// Where it is reached.
    pub address: CoreAddress,
}

/// What an epoch decides. Epoch 0 is computed from the seeds; the record of epoch n+1 is decided by the members of n.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// Rises by one from record to record.
    pub epoch: u64,
    /// The epoch in which the primary took office. Below `epoch` where the same primary only changed replicas or
    /// members.
    #[serde(rename = "reign")]
    pub term: u64,
    /// The primary; none in epoch 0.
    pub primary: Option<DiskId>,
    /// Who must have synced a batch before it is committed, the primary included.
    pub replicas: Vec<DiskId>,
    /// Who decides the next record.
    pub members: Vec<Member>,
    /// Who proposed this record.
    pub proposer: DiskId,
}

impl EpochRecord {
    /// The member with this disk.
    pub fn member(&self, id: DiskId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Whether the disk belongs to a member.
    pub fn is_member(&self, id: DiskId) -> bool {
        self.member(id).is_some()
    }

    /// Whether the disk is one of the replicas.
    pub fn is_replica(&self, id: DiskId) -> bool {
        self.replicas.contains(&id)
    }

    /// Whether one member less has the same majority: then an absent one only makes the next loss worse.
    pub fn has_one_to_spare(&self) -> bool {
        can_spare_one(&self.members)
    }

    /// How many members are more than half.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// Whether a set of members is as safe without one of them: an even number, and enough for a majority of two after it.
pub(crate) fn can_spare_one(members: &[Member]) -> bool {
    members.len() > 3 && members.len().is_multiple_of(2)
}

/// Number of a proposal. Unique, since `start` is counted on the proposer's disk.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ProposalNumber {
    /// Above all rounds that the proposer has seen.
    pub round: u64,
    /// The proposer.
    pub disk: DiskId,
    /// Which start of the proposer's process.
    pub start: u64,
}

/// What a member keeps on disk for the decisions on epochs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessState {
    /// Its disk.
    pub id: DiskId,
    /// Counts the starts of the process on this disk.
    pub starts: u64,
    /// The newest record that is known to be decided.
    pub decided: Arc<EpochRecord>,
    /// No proposal of the next record below this one is accepted.
    pub promise: ProposalNumber,
    /// The proposal of the next record that was accepted last.
    pub accepted: Option<(ProposalNumber, Arc<EpochRecord>)>,
    /// This machine has proposed an election for the next record. It may come into force at any time, so no
    /// primary of the present record is acknowledged any more.
    #[serde(rename = "standing")]
    pub candidate: bool,
}

/// A point in the history of the state. Two states at the same position are identical.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// The epoch in which the primary took office that wrote the batch (`EpochRecord::reign`).
    pub epoch: u64,
    /// Number of the batch; rises by one, over all epochs.
    pub sequence: u64,
}

/// What was found on disk at the start.
#[derive(Clone, Debug, Default)]
pub struct DiskImage {
    /// None: the disk is empty.
    pub witness: Option<WitnessState>,
    /// Position of `state`.
    pub position: LogPosition,
    /// The replicated state.
    pub state: StateMap,
}

/// A change of the disk; carried out and synced as a whole, or not at all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DiskChange {
    /// Replaces the witness's state.
    pub witness: Option<WitnessState>,
    /// Replaces the position.
    pub position: Option<LogPosition>,
    /// Changes of the state, in order.
    pub writes: Vec<Write>,
    /// The state is cleared before `writes`.
    pub replace_all: bool,
}

/// What a machine is in its newest epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It orders.
    Primary,
    /// It holds a synced copy that counts.
    Replica,
    /// It votes on epochs.
    Witness,
    /// It asks to be let in.
    Joining,
}

/// Where another member stands, as the primary sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Its disk.
    pub id: DiskId,
    /// The newest position that it has synced.
    pub position: LogPosition,
    /// Milliseconds since its last acknowledgement.
    pub silent_ms: Millis,
}

/// Status for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorStatus {
    /// This machine's disk.
    pub id: DiskId,
    /// What it is.
    pub role: Role,
    /// Whether it may act as primary now.
    pub acting: bool,
    /// The newest record known.
    pub record: Arc<EpochRecord>,
    /// Position of the state in memory.
    pub applied: LogPosition,
    /// Position of the state on disk.
    pub synced: LogPosition,
    /// Position up to which batches are committed, at the primary.
    pub committed: u64,
    /// The other members, at the primary.
    pub peers: Vec<PeerStatus>,
}
