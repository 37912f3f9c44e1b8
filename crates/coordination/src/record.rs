//! Epoch records: the configurations of the cluster, one for each epoch.
//!
//! The record of epoch 0 is computed from the seeds. The record of epoch n+1 is decided by single-decree
//! Paxos among the members of record n.

use serde::{Deserialize, Serialize};
use std::fmt;
use streamusher_protocol::internal::CoreAddress;

/// Minimum number of members from which one may be removed: the majority of the remaining ones is still two.
const MIN_MEMBERS_TO_SPARE_ONE: usize = 4;

/// Identifies a disk from its first use until it is lost. A machine that lost its disk gets a new id.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DiskId(pub u64);

impl fmt::Display for DiskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A member of the cluster. It votes on epoch records and may be a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Disk id of the member.
    pub id: DiskId,
    /// Addresses at which the other machines reach the member.
    pub address: CoreAddress,
}

/// The configuration that is decided for an epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// Number of the record; it increases by one with each record.
    pub epoch: u64,
    /// The epoch in which the primary was elected. It is lower than `epoch` if the same primary has changed
    /// replicas or members since.
    #[serde(rename = "reign")]
    pub term: u64,
    /// Disk id of the primary; `None` in epoch 0.
    pub primary: Option<DiskId>,
    /// The replicas, including the primary: all of them must sync a batch before it is committed.
    pub replicas: Vec<DiskId>,
    /// The members, which decide the next record.
    pub members: Vec<Member>,
    /// Disk id of the member that proposed this record.
    pub proposer: DiskId,
}

impl EpochRecord {
    /// Returns the member with this disk id.
    pub fn member(&self, id: DiskId) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }

    /// Whether the disk id is that of a member.
    pub fn is_member(&self, id: DiskId) -> bool {
        self.member(id).is_some()
    }

    /// Whether the disk id is that of a replica.
    pub fn is_replica(&self, id: DiskId) -> bool {
        self.replicas.contains(&id)
    }

    /// Whether the cluster tolerates as many losses with one member less. An unresponsive member should then
    /// be removed, because it already counts as one of the tolerated losses.
    pub fn can_spare_member(&self) -> bool {
        can_spare_member(&self.members)
    }

    /// The smallest number of members that is more than half.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// Whether a set of members tolerates as many losses with one member less: their number is even, and a
/// majority of the remaining members is at least two.
pub(crate) fn can_spare_member(members: &[Member]) -> bool {
    members.len() >= MIN_MEMBERS_TO_SPARE_ONE && members.len().is_multiple_of(2)
}
