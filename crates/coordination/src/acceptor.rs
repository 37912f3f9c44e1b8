//! The acceptor role of Paxos: what a member promises and accepts for the next epoch record.
//!
//! *Paxos Made Simple* (Lamport, 2001), section 2.2: an acceptor responds to a prepare request with the
//! highest-numbered proposal that it has accepted, and neither promises nor accepts any proposal below the
//! highest number that it has promised. Responses are sent only when the state that they report is synced
//! (see [`crate::disk`]).

use crate::record::{DiskId, EpochRecord};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Number of a proposal (Paxos: ballot). It is unique because each start of the proposer's process increments
/// `start` on disk before the process sends anything.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ProposalNumber {
    /// Round of the proposal. The proposer chooses it above all rounds that it has seen.
    pub round: u64,
    /// Disk id of the proposer.
    pub disk: DiskId,
    /// Number of starts of the proposer's process when it made the proposal.
    pub start: u64,
}

/// Paxos state that a member keeps on disk for the decisions on epoch records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessState {
    /// Disk id of this member.
    pub id: DiskId,
    /// Number of starts of the process on this disk.
    pub starts: u64,
    /// The newest record that this member knows to be decided.
    pub decided: Arc<EpochRecord>,
    /// Highest proposal number that was promised: proposals of the next record below it are rejected.
    pub promise: ProposalNumber,
    /// The proposal of the next record that this member accepted last, if any.
    pub accepted: Option<(ProposalNumber, Arc<EpochRecord>)>,
    /// Whether this member has accepted its own proposal for an election. That proposal may be decided at any
    /// time, so the member no longer acknowledges any primary of the current record, also after a restart.
    #[serde(rename = "standing")]
    pub candidate: bool,
}

/// Result of a prepare or accept request at the acceptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Vote {
    /// The request is granted. The acceptor's state has changed and must be synced before the response is
    /// sent.
    Granted,
    /// The request was granted before: the response is sent again, and the state is unchanged.
    GrantedBefore,
    /// The request is rejected because a higher proposal number was promised.
    Rejected,
}

impl WitnessState {
    /// Handles a prepare request (phase 1): promises to accept nothing below `number`.
    pub(crate) fn prepare(&mut self, number: ProposalNumber) -> Vote {
        if number < self.promise {
            return Vote::Rejected;
        }
        if number == self.promise {
            return Vote::GrantedBefore;
        }
        self.promise = number;
        Vote::Granted
    }

    /// Handles an accept request (phase 2) for a proposal of the next record.
    pub(crate) fn accept(&mut self, number: ProposalNumber, value: Arc<EpochRecord>) -> Vote {
        if number < self.promise {
            return Vote::Rejected;
        }
        let accepted = self.accepted.as_ref().map(|(accepted, _)| *accepted);
        if accepted == Some(number) {
            return Vote::GrantedBefore;
        }
        self.promise = number;
        self.candidate |= value.proposer == self.id && value.term == value.epoch;
        self.accepted = Some((number, value));
        Vote::Granted
    }

    /// Starts the next Paxos instance after a record was decided. The earlier promise and accepted proposal
    /// belong to the former instance and are discarded.
    pub(crate) fn adopt(&mut self, record: Arc<EpochRecord>) {
        self.decided = record;
        self.promise = ProposalNumber::default();
        self.accepted = None;
        self.candidate = false;
    }
}
