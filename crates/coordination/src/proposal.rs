//! A proposal of the next record on its way through both phases.

use crate::types::{DiskId, EpochRecord, LogPosition, ProposalNumber};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use streamusher_protocol::Millis;

/// Why a record is proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// A replica seeks the primary's place.
    Stand,
    /// The primary changes replicas or members, or hands over.
    Change,
}

/// An answer to the first phase.
#[derive(Clone, Debug)]
pub(crate) struct Promise {
    pub accepted: Option<(ProposalNumber, Arc<EpochRecord>)>,
    pub position: LogPosition,
}

/// How far a proposal is.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// Promises are being collected.
    Preparing {
        promises: BTreeMap<DiskId, Promise>,
        majority_at: Option<Millis>,
    },
    /// The value is chosen.
    Accepting {
        value: Arc<EpochRecord>,
        accepts: BTreeSet<DiskId>,
        /// It was sent to others: it may be decided from now on.
        is_public: bool,
    },
}

/// A proposal.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    /// The record before, whose members decide.
    pub base: Arc<EpochRecord>,
    pub ballot: ProposalNumber,
    pub purpose: Purpose,
    pub phase: Phase,
    pub started: Millis,
    pub repeat_at: Millis,
}

impl Proposal {
    pub fn new(
        base: Arc<EpochRecord>,
        ballot: ProposalNumber,
        purpose: Purpose,
        now: Millis,
    ) -> Proposal {
        let phase = Phase::Preparing {
            promises: BTreeMap::new(),
            majority_at: None,
        };
        Proposal {
            base,
            ballot,
            purpose,
            phase,
            started: now,
            repeat_at: now,
        }
    }

    pub fn instance(&self) -> u64 {
        self.base.epoch + 1
    }

    pub fn is_about(&self, instance: u64, ballot: ProposalNumber) -> bool {
        self.instance() == instance && self.ballot == ballot
    }

    pub fn is_preparing(&self) -> bool {
        matches!(self.phase, Phase::Preparing { .. })
    }
}

/// The value that must be proposed again, if any was accepted.
pub(crate) fn accepted_value(promises: &BTreeMap<DiskId, Promise>) -> Option<Arc<EpochRecord>> {
    let accepted = promises
        .values()
        .filter_map(|promise| promise.accepted.as_ref());
    accepted
        .max_by_key(|(ballot, _)| *ballot)
        .map(|(_, value)| value.clone())
}
