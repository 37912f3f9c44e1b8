//! State of one proposal of the next record in both phases of Paxos.

use crate::acceptor::ProposalNumber;
use crate::batch::LogPosition;
use crate::message::Message;
use crate::record::{DiskId, EpochRecord};
use crate::timing::{PROPOSAL_TIMEOUT_MS, REPORT_TIMEOUT_MS};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use streamusher_protocol::Millis;

/// Purpose of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// A replica proposes a new primary.
    Election,
    /// The primary changes replicas or members, or transfers its leadership.
    Reconfiguration,
}

/// Response of an acceptor to the prepare request.
#[derive(Clone, Debug)]
pub(crate) struct Promise {
    /// The proposal that the acceptor accepted last; `None` if it has accepted none.
    pub(crate) accepted: Option<(ProposalNumber, Arc<EpochRecord>)>,
    /// Position of the acceptor's state in memory.
    pub(crate) position: LogPosition,
}

/// Phase of a proposal.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// Phase 1: promises are being collected.
    Prepare {
        promises: BTreeMap<DiskId, Promise>,
        majority_at_ms: Option<Millis>,
    },
    /// Phase 2: the value is chosen and acceptances are being collected.
    Accept {
        value: Arc<EpochRecord>,
        accepted_by: BTreeSet<DiskId>,
        /// Whether the value was sent to other members: from then on it may be decided.
        is_broadcast: bool,
    },
}

/// A proposal of the record after `base`.
#[derive(Clone, Debug)]
pub(crate) struct Proposal {
    /// The preceding record, whose members decide.
    pub(crate) base: Arc<EpochRecord>,
    pub(crate) number: ProposalNumber,
    pub(crate) purpose: Purpose,
    pub(crate) phase: Phase,
    started_ms: Millis,
    pub(crate) resend_at_ms: Millis,
}

impl Proposal {
    /// Creates a proposal at the start of phase 1.
    pub(crate) fn new(
        base: Arc<EpochRecord>,
        number: ProposalNumber,
        purpose: Purpose,
        now_ms: Millis,
    ) -> Proposal {
        let phase = Phase::Prepare {
            promises: BTreeMap::new(),
            majority_at_ms: None,
        };
        Proposal {
            base,
            number,
            purpose,
            phase,
            started_ms: now_ms,
            resend_at_ms: now_ms,
        }
    }

    /// Epoch of the record to be decided.
    pub(crate) fn instance(&self) -> u64 {
        self.base.epoch + 1
    }

    /// Whether a response belongs to this proposal and comes from a member of `base`.
    pub(crate) fn matches_response(
        &self,
        from: DiskId,
        instance: u64,
        number: ProposalNumber,
    ) -> bool {
        self.instance() == instance && self.number == number && self.base.is_member(from)
    }

    /// Whether this is an election whose value is not chosen yet, so that it cannot be decided.
    pub(crate) fn is_election_without_value(&self) -> bool {
        let is_preparing = matches!(self.phase, Phase::Prepare { .. });
        self.purpose == Purpose::Election && is_preparing
    }

    /// Whether the proposal has taken longer than [`PROPOSAL_TIMEOUT_MS`].
    pub(crate) fn has_timed_out(&self, now_ms: Millis) -> bool {
        now_ms > self.started_ms + PROPOSAL_TIMEOUT_MS
    }

    /// The request of the current phase.
    pub(crate) fn request(&self) -> Message {
        let (base, number) = (self.base.clone(), self.number);
        match &self.phase {
            Phase::Prepare { .. } => Message::Prepare { base, number },
            Phase::Accept { value, .. } => Message::Accept {
                base,
                number,
                value: value.clone(),
            },
        }
    }

    /// Addresses of the members that have not responded to the current request. Until the value of an
    /// election is accepted by the proposer's own acceptor, the value is sent to that acceptor only.
    pub(crate) fn receivers(&self, own_id: DiskId) -> Vec<Arc<str>> {
        let is_receiver = |id: &DiskId| match &self.phase {
            Phase::Prepare { promises, .. } => !promises.contains_key(id),
            Phase::Accept {
                accepted_by,
                is_broadcast,
                ..
            } => !accepted_by.contains(id) && (*is_broadcast || *id == own_id),
        };
        let receivers = self
            .base
            .members
            .iter()
            .filter(|member| is_receiver(&member.id));
        receivers
            .map(|member| member.address.internal.clone())
            .collect()
    }

    /// Records the promise of an acceptor.
    pub(crate) fn on_promised(&mut self, from: DiskId, promise: Promise, now_ms: Millis) {
        let majority = self.base.majority();
        if let Phase::Prepare {
            promises,
            majority_at_ms,
        } = &mut self.phase
        {
            promises.insert(from, promise);
            if promises.len() >= majority {
                majority_at_ms.get_or_insert(now_ms);
            }
        }
    }

    /// The promises, once the value may be chosen: a majority has promised, and in an election all replicas
    /// have reported their positions or [`REPORT_TIMEOUT_MS`] is over. The report of the former primary is not
    /// required.
    pub(crate) fn sufficient_promises(
        &self,
        own_id: DiskId,
        now_ms: Millis,
    ) -> Option<&BTreeMap<DiskId, Promise>> {
        let Phase::Prepare {
            promises,
            majority_at_ms: Some(majority_at_ms),
        } = &self.phase
        else {
            return None;
        };
        let former_primary = self.base.primary.filter(|primary| *primary != own_id);
        let all_reported = self
            .base
            .replicas
            .iter()
            .all(|id| promises.contains_key(id) || Some(*id) == former_primary);
        let is_election = self.purpose == Purpose::Election;
        let may_wait = now_ms < majority_at_ms + REPORT_TIMEOUT_MS;
        if is_election && !all_reported && may_wait {
            return None;
        }
        Some(promises)
    }

    /// Starts phase 2 with this value.
    pub(crate) fn start_accept_phase(&mut self, value: Arc<EpochRecord>) {
        self.phase = Phase::Accept {
            value,
            accepted_by: BTreeSet::new(),
            is_broadcast: self.purpose == Purpose::Reconfiguration,
        };
    }
}

/// The value of the highest-numbered proposal that any of the promising acceptors has accepted. It may be
/// decided already, so it must be proposed again (Paxos Made Simple, section 2.2, condition P2c).
pub(crate) fn accepted_value(promises: &BTreeMap<DiskId, Promise>) -> Option<Arc<EpochRecord>> {
    let accepted = promises
        .values()
        .filter_map(|promise| promise.accepted.as_ref());
    accepted
        .max_by_key(|(number, _)| *number)
        .map(|(_, value)| value.clone())
}
