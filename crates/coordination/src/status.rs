//! Status of a member, for operators.

use crate::batch::LogPosition;
use crate::record::{DiskId, EpochRecord};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use streamusher_protocol::Millis;

/// Role of a machine by the newest record that it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// The machine was elected and creates batches.
    Primary,
    /// The machine's synced state counts for commits.
    Replica,
    /// The machine only votes on epoch records.
    Witness,
    /// The machine is not a member and asks to join.
    Joining,
}

/// Status of another member, as tracked by the primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Disk id of the member.
    pub id: DiskId,
    /// The newest position that the member has synced.
    pub position: LogPosition,
    /// Milliseconds since the member's last acknowledgement.
    pub silent_ms: Millis,
}

/// Status of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorStatus {
    /// Disk id of the member.
    pub id: DiskId,
    /// Role of the member by its newest record.
    pub role: Role,
    /// Whether the member may act as the primary now.
    pub acting: bool,
    /// The newest record that the member knows.
    pub record: Arc<EpochRecord>,
    /// Position of the state in memory.
    pub applied: LogPosition,
    /// Position of the state on disk.
    pub synced: LogPosition,
    /// Sequence up to which batches are committed; 0 if the member is not the primary.
    pub committed: u64,
    /// The other members; empty if the member is not the primary.
    pub peers: Vec<PeerStatus>,
}
