//! Messages between members. Each may be lost, duplicated, reordered and delayed.
//!
//! The encoded names are those of the first release (`reign` for the term, `ballot` for the proposal number, `Copy` for a
//! part of a snapshot).

use crate::acceptor::ProposalNumber;
use crate::batch::{Batch, LogPosition};
use crate::record::{DiskId, EpochRecord, Member};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use streamusher_protocol::store::Write;
use streamusher_protocol::Millis;

/// What members send to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for the newest record. From a machine that is no member it is a join request too.
    Hello {
        /// The sender.
        member: Member,
        /// Epoch of its newest record.
        epoch: u64,
    },
    /// A decided record.
    Decided {
        /// The record.
        record: Arc<EpochRecord>,
    },
    /// First phase of the decision on the record after `base`.
    Prepare {
        /// The newest decided record, whose members decide.
        base: Arc<EpochRecord>,
        /// Number of the proposal.
        #[serde(rename = "ballot")]
        number: ProposalNumber,
    },
    /// Response to `Prepare`, sent when the promise is synced.
    Promised {
        /// The acceptor.
        from: DiskId,
        /// Epoch of the record to be decided.
        instance: u64,
        /// Number of the proposal.
        #[serde(rename = "ballot")]
        number: ProposalNumber,
        /// The proposal that the acceptor has accepted before.
        accepted: Option<(ProposalNumber, Arc<EpochRecord>)>,
        /// Position of the acceptor's state in memory.
        position: LogPosition,
    },
    /// Second phase of the decision on the record after `base`.
    Accept {
        /// The newest decided record, whose members decide.
        base: Arc<EpochRecord>,
        /// Number of the proposal.
        #[serde(rename = "ballot")]
        number: ProposalNumber,
        /// The proposed record.
        value: Arc<EpochRecord>,
    },
    /// Response to `Accept`, sent when it is synced.
    Accepted {
        /// The acceptor.
        from: DiskId,
        /// Epoch of the record to be decided.
        instance: u64,
        /// Number of the proposal.
        #[serde(rename = "ballot")]
        number: ProposalNumber,
    },
    /// Response to `Prepare` and `Accept`: a higher number was promised.
    #[serde(rename = "Refused")]
    Rejected {
        /// Epoch of the record to be decided.
        instance: u64,
        /// The number that was promised.
        promise: ProposalNumber,
    },
    /// The primary asks the other members to extend its lease.
    Keepalive {
        /// Its newest record.
        record: Arc<EpochRecord>,
        /// The primary's steady clock at the sending.
        #[serde(rename = "sent")]
        sent_ms: Millis,
    },
    /// Response to `Keepalive`: the sender does not stand for election for a lease from its receipt.
    #[serde(rename = "Alive")]
    KeepaliveAck(KeepaliveAck),
    /// A batch to apply and sync.
    Append {
        /// The primary.
        from: DiskId,
        /// Its epoch.
        epoch: u64,
        /// Its term.
        #[serde(rename = "reign")]
        term: u64,
        /// The batch.
        batch: Batch,
    },
    /// Response to `Append`, sent when the batch is synced.
    Synced {
        /// The sender.
        from: DiskId,
        /// Term of the primary that it follows.
        #[serde(rename = "reign")]
        term: u64,
        /// The position that it has synced.
        position: LogPosition,
    },
    /// A part of a snapshot of the state.
    #[serde(rename = "Copy")]
    SnapshotPart(SnapshotPart),
    /// Response to `SnapshotPart`: the part that is wanted next.
    #[serde(rename = "CopyNext")]
    SnapshotAck {
        /// The sender.
        from: DiskId,
        /// Number of the snapshot.
        #[serde(rename = "copy")]
        snapshot: u64,
        /// Number of the part that is wanted next.
        next: u64,
    },
    /// The primary of this term has restarted or stepped down: nobody acts in it, and nobody will.
    #[serde(rename = "Vacant")]
    TermEnded {
        /// The former primary.
        from: DiskId,
        /// The term.
        #[serde(rename = "reign")]
        term: u64,
    },
}

/// A member's response to a keepalive.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeepaliveAck {
    /// The sender.
    pub from: DiskId,
    /// Term of the keepalive.
    #[serde(rename = "reign")]
    pub term: u64,
    /// `sent_ms` of the keepalive; 0 if there was none and the sender only announces that it leaves.
    #[serde(rename = "sent")]
    pub sent_ms: Millis,
    /// The position that the sender has synced.
    pub position: LogPosition,
    /// Whether the sender is about to leave.
    pub leaving: bool,
    /// Epoch of the newest record on its disk; 0 from a machine of an earlier release.
    #[serde(default, rename = "recorded")]
    pub recorded_epoch: u64,
}

/// A part of a snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// The primary.
    pub from: DiskId,
    /// Its epoch.
    pub epoch: u64,
    /// Its term.
    #[serde(rename = "reign")]
    pub term: u64,
    /// Number of the snapshot, rising within a term.
    #[serde(rename = "copy")]
    pub snapshot: u64,
    /// Number of the part, from 0.
    pub index: u64,
    /// Whether no part follows.
    pub last: bool,
    /// Position of the whole snapshot.
    pub position: LogPosition,
    /// The keys and values of the part.
    pub writes: Vec<Write>,
}
