//! Status of a member, for operators.

use crate::batch::LogPosition;
use crate::record::{DiskId, EpochRecord};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use streamusher_protocol::Millis;

/// What a machine is in its newest epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// It was elected and creates batches.
    Primary,
    /// Its synced state counts for a commit.
    Replica,
    /// It votes on epoch records.
    Witness,
    /// It is no member and asks to join.
    Joining,
}

/// Another member, as the primary sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Its disk.
    pub id: DiskId,
    /// The newest position that it has synced.
    pub position: LogPosition,
    /// Milliseconds since its last acknowledgement.
    pub silent_ms: Millis,
}

/// Status of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorStatus {
    /// Its disk.
    pub id: DiskId,
    /// Its role.
    pub role: Role,
    /// Whether it may act as primary now.
    pub acting: bool,
    /// The newest record that it knows.
    pub record: Arc<EpochRecord>,
    /// Position of the state in memory.
    pub applied: LogPosition,
    /// Position of the state on disk.
    pub synced: LogPosition,
    /// At the primary: sequence up to which batches are committed.
    pub committed: u64,
    /// At the primary: the other members.
    pub peers: Vec<PeerStatus>,
}
