//! Epoch records: the configurations of the cluster, one for each epoch.
//!
//! The record of epoch 0 is computed from the seeds. The record of epoch n+1 is decided by single-decree Paxos among the
//! members of record n.

use serde::{Deserialize, Serialize};
use std::fmt;
use streamusher_protocol::internal::CoreAddress;

/// Members without which a majority of the rest is still two.
const MIN_MEMBERS_TO_SPARE_ONE: usize = 4;

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

/// A member of the cluster: it votes on epoch records, and may be a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its disk.
    pub id: DiskId,
    /// Where it is reached.
    pub address: CoreAddress,
}

/// The configuration that is decided for an epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// Number of the record; rises by one from record to record.
    pub epoch: u64,
    /// The epoch in which the primary was elected. Lower than `epoch` where the same primary has only changed replicas or
    /// members since.
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

    /// Whether the members without one of them tolerate as many losses as with it. An unresponsive member should then be
    /// removed, as it only brings the next loss closer to the majority.
    pub fn can_spare_member(&self) -> bool {
        can_spare_member(&self.members)
    }

    /// The smallest number of members that is more than half.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// Whether a set of members is as safe without one of them: an even number, and enough that a majority of the rest is two.
pub(crate) fn can_spare_member(members: &[Member]) -> bool {
    members.len() >= MIN_MEMBERS_TO_SPARE_ONE && members.len().is_multiple_of(2)
}
