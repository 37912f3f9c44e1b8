//! Messages between core machines. Each may be lost, doubled, reordered and delayed.

use crate::types::{DiskId, EpochRecord, LogPosition, Member, ProposalNumber};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use streamusher_protocol::store::Write;
use streamusher_protocol::Millis;

/// A batch of writes, as the log holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The position to which it applies.
    pub previous: LogPosition,
    /// The position that it makes.
    pub position: LogPosition,
    /// The writes; none opens a reign.
    pub writes: Arc<Vec<Write>>,
}

/// What core machines say to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// "This is me, tell me the newest record." From who is no member: "let me in".
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
        /// The proposal.
        ballot: ProposalNumber,
    },
    /// Answer to `Prepare`, synced.
    Promised {
        /// The acceptor.
        from: DiskId,
        /// Epoch of the record to be decided.
        instance: u64,
        /// The proposal.
        ballot: ProposalNumber,
        /// What the acceptor has accepted before.
        accepted: Option<(ProposalNumber, Arc<EpochRecord>)>,
        /// Position of its state.
        position: LogPosition,
    },
    /// Second phase.
    Accept {
        /// The newest decided record, whose members decide.
        base: Arc<EpochRecord>,
        /// The proposal.
        ballot: ProposalNumber,
        /// The record proposed.
        value: Arc<EpochRecord>,
    },
    /// Answer to `Accept`, synced.
    Accepted {
        /// The acceptor.
        from: DiskId,
        /// Epoch of the record to be decided.
        instance: u64,
        /// The proposal.
        ballot: ProposalNumber,
    },
    /// A higher ballot was promised.
    Refused {
        /// Epoch of the record to be decided.
        instance: u64,
        /// The ballot promised.
        promise: ProposalNumber,
    },
    /// The primary is there.
    Keepalive {
        /// Its newest record.
        record: Arc<EpochRecord>,
        /// The primary's clock at the sending.
        sent: Millis,
    },
    /// Answer to `Keepalive`: its sender does not seek the primary's place for a lease from its receipt.
    Alive {
        /// The sender.
        from: DiskId,
        /// Reign of the keepalive.
        reign: u64,
        /// `sent` of the keepalive.
        sent: Millis,
        /// The position that the sender has synced.
        position: LogPosition,
        /// It is about to end.
        leaving: bool,
        /// Epoch of the newest record on its disk; 0 from a machine of an earlier release.
        #[serde(default)]
        recorded: u64,
    },
    /// A batch to apply and sync.
    Append {
        /// The primary.
        from: DiskId,
        /// Its epoch.
        epoch: u64,
        /// Its reign.
        reign: u64,
        /// The batch.
        batch: Batch,
    },
    /// The position that the sender has synced.
    Synced {
        /// The sender.
        from: DiskId,
        /// Reign of the primary that it follows.
        reign: u64,
        /// The position.
        position: LogPosition,
    },
    /// A part of a whole copy of the state.
    Copy {
        /// The primary.
        from: DiskId,
        /// Its epoch.
        epoch: u64,
        /// Its reign.
        reign: u64,
        /// Number of the copy.
        copy: u64,
        /// Number of the part, from 0.
        index: u64,
        /// No part follows.
        last: bool,
        /// Position of the whole copy.
        position: LogPosition,
        /// The part.
        writes: Vec<Write>,
    },
    /// The part of a copy that is wanted next.
    CopyNext {
        /// The sender.
        from: DiskId,
        /// Number of the copy.
        copy: u64,
        /// Number of the part.
        next: u64,
    },
    /// The primary of this reign has restarted: nobody acts in it any more, and nobody will.
    Vacant {
        /// The former primary.
        from: DiskId,
        /// The reign.
        reign: u64,
    },
}
