//! The acceptor's side of Paxos: what a member promises and accepts for the next epoch record.
//!
//! *Paxos Made Simple* (Lamport, 2001), section 2.2: an acceptor answers a prepare request with the highest-numbered
//! proposal that it has accepted, and neither promises nor accepts any proposal below the highest one that it has
//! promised. The answers are sent only when the state behind them is synced (see [`crate::disk`]).

use crate::record::{DiskId, EpochRecord};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Number of a proposal (Paxos: ballot). Unique, since `start` is counted on the proposer's disk.
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

/// What a member keeps on disk for the decisions on epoch records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessState {
    /// Its disk.
    pub id: DiskId,
    /// Counts the starts of the process on this disk.
    pub starts: u64,
    /// The newest record that is known to be decided.
    pub decided: Arc<EpochRecord>,
    /// No proposal of the next record below this number is accepted.
    pub promise: ProposalNumber,
    /// The proposal of the next record that was accepted last.
    pub accepted: Option<(ProposalNumber, Arc<EpochRecord>)>,
    /// This member has proposed its election for the next record. The proposal may be decided at any time, so no primary
    /// of the present record is acknowledged any more, also after a restart.
    #[serde(rename = "standing")]
    pub candidate: bool,
}

/// The outcome of a request to the acceptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Vote {
    /// Granted; the acceptor's state has changed and must be synced before the answer is sent.
    Granted,
    /// Granted before: the same answer is sent again.
    GrantedBefore,
    /// A higher number was promised.
    Rejected,
}

impl WitnessState {
    /// First phase: promises to accept nothing below `number`.
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

    /// Second phase: accepts a proposal of the next record.
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

    /// Begins the next instance of Paxos after a record was decided: what was promised and accepted was for its number.
    pub(crate) fn adopt(&mut self, record: Arc<EpochRecord>) {
        self.decided = record;
        self.promise = ProposalNumber::default();
        self.accepted = None;
        self.candidate = false;
    }
}
