//! Messages between members. A message may be lost, duplicated, reordered or delayed.
//!
//! The encoded names are those of the first release (`reign` for the term, `ballot` for the proposal number,
//! `Copy` for a part of a snapshot).

use crate::acceptor::ProposalNumber;
use crate::batch::{Batch, LogPosition};
use crate::record::{DiskId, EpochRecord, Member};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use streamusher_protocol::store::Write;
use streamusher_protocol::Millis;

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests the newest record. From a machine that is not a member it is also a join request.
    Hello {
        /// Id and address of the sending machine.
        member: Member,
        /// Epoch of the newest record that the sender knows.
        epoch: u64,
    },
    /// Announces a decided record.
    Decided {
        /// The decided record.
        record: Arc<EpochRecord>,
    },
    /// Phase 1 request of the decision on the record after `base`.
    Prepare {
        /// The newest decided record that the proposer knows; its members decide.
        base: Arc<EpochRecord>,
        /// Number of the proposal.
        #[serde(rename = "ballot")]
        number: ProposalNumber,
    },
    /// Response to `Prepare`, sent when the promise is synced.
    Promised {
        /// Disk id of the acceptor.
        from: DiskId,
        /// Epoch of the record to be decided.
        instance: u64,
        /// Number of the proposal, as in `Prepare`.
        #[serde(rename = "ballot")]
        number: ProposalNumber,
        /// The proposal that the acceptor accepted last in this instance; `None` if it has accepted none.
        accepted: Option<(ProposalNumber, Arc<EpochRecord>)>,
        /// Position of the acceptor's state in memory.
        position: LogPosition,
    },
    /// Phase 2 request of the decision on the record after `base`.
    Accept {
        /// The newest decided record that the proposer knows; its members decide.
        base: Arc<EpochRecord>,
        /// Number of the proposal.
        #[serde(rename = "ballot")]
        number: ProposalNumber,
        /// The proposed record.
        value: Arc<EpochRecord>,
    },
    /// Response to `Accept`, sent when the accepted proposal is synced.
    Accepted {
        /// Disk id of the acceptor.
        from: DiskId,
        /// Epoch of the record to be decided.
        instance: u64,
        /// Number of the proposal, as in `Accept`.
        #[serde(rename = "ballot")]
        number: ProposalNumber,
    },
    /// Response to `Prepare` and `Accept`: the acceptor has promised a higher number.
    #[serde(rename = "Refused")]
    Rejected {
        /// Epoch of the record to be decided.
        instance: u64,
        /// The number that the acceptor has promised.
        promise: ProposalNumber,
    },
    /// Request of the primary to the other members to extend its lease.
    Keepalive {
        /// The newest record that the primary knows.
        record: Arc<EpochRecord>,
        /// Time of sending by the primary's steady clock.
        #[serde(rename = "sent")]
        sent_ms: Millis,
    },
    /// Response to `Keepalive`: the sender does not become a candidate for one lease duration after it
    /// received the keepalive.
    #[serde(rename = "Alive")]
    KeepaliveAck(KeepaliveAck),
    /// A batch to apply and sync.
    Append {
        /// Disk id of the primary.
        from: DiskId,
        /// Epoch of the primary's newest record.
        epoch: u64,
        /// Term of the primary.
        #[serde(rename = "reign")]
        term: u64,
        /// The batch to apply.
        batch: Batch,
    },
    /// Reports the synced position to the primary, in response to `Append` and `SnapshotPart`.
    Synced {
        /// Disk id of the sender.
        from: DiskId,
        /// Term of the primary by the sender's newest record.
        #[serde(rename = "reign")]
        term: u64,
        /// The position that the sender has synced.
        position: LogPosition,
    },
    /// A part of a snapshot of the replicated state.
    #[serde(rename = "Copy")]
    SnapshotPart(SnapshotPart),
    /// Response to `SnapshotPart`: requests the next part.
    #[serde(rename = "CopyNext")]
    SnapshotAck {
        /// Disk id of the sender.
        from: DiskId,
        /// Number of the snapshot.
        #[serde(rename = "copy")]
        snapshot: u64,
        /// Number of the next part that the sender needs.
        next: u64,
    },
    /// Announces that the primary of this term has restarted or stepped down: no process acts in the term any
    /// more.
    #[serde(rename = "Vacant")]
    TermEnded {
        /// Disk id of the former primary.
        from: DiskId,
        /// Number of the term that has ended.
        #[serde(rename = "reign")]
        term: u64,
    },
}

/// Response of a member to a keepalive, or its announcement that it leaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeepaliveAck {
    /// Disk id of the sender.
    pub from: DiskId,
    /// Term of the keepalive.
    #[serde(rename = "reign")]
    pub term: u64,
    /// `sent_ms` of the keepalive; 0 if the message is no response and only announces that the sender leaves.
    #[serde(rename = "sent")]
    pub sent_ms: Millis,
    /// The position that the sender has synced.
    pub position: LogPosition,
    /// Whether the sender is about to leave.
    pub leaving: bool,
    /// Epoch of the newest record on the sender's disk; 0 if a machine of an earlier release sent the
    /// message.
    #[serde(default, rename = "recorded")]
    pub recorded_epoch: u64,
}

/// A part of a snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Disk id of the primary.
    pub from: DiskId,
    /// Epoch of the primary's newest record.
    pub epoch: u64,
    /// Term of the primary.
    #[serde(rename = "reign")]
    pub term: u64,
    /// Number of the snapshot; it increases within a term.
    #[serde(rename = "copy")]
    pub snapshot: u64,
    /// Number of the part, starting at 0.
    pub index: u64,
    /// Whether this is the last part.
    pub last: bool,
    /// Position of the state in the snapshot.
    pub position: LogPosition,
    /// The keys and values in this part.
    pub writes: Vec<Write>,
}
