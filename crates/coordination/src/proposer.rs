//! The proposer role of Paxos: drives a proposal of the next record to its decision.

use crate::acceptor::ProposalNumber;
use crate::coordinator_core::CoordinatorCore;
use crate::election::elected_record;
use crate::limits::MAX_BACKOFF_DOUBLINGS;
use crate::proposal::{accepted_value, Phase, Promise, Proposal, Purpose};
use crate::record::{DiskId, EpochRecord};
use crate::timing::{MAX_BACKOFF_MS, MIN_BACKOFF_MS, PROPOSAL_RETRANSMIT_INTERVAL_MS};
use rand::Rng;
use std::sync::Arc;
use streamusher_protocol::Millis;

/// How the value of a proposal is determined.
#[derive(Clone, Debug)]
pub(crate) enum ValueChoice {
    /// The value is this record: one that an acceptor has accepted before, or the election of a primary.
    Record(Arc<EpochRecord>),
    /// The value is the record that the primary derives from its current state.
    Reconfiguration,
}

/// The proposer of one member. It drives at most one proposal at a time.
#[derive(Clone, Debug)]
pub(crate) struct Proposer {
    proposal: Option<Proposal>,
    /// The highest round used, or reported in a rejection.
    highest_round: u64,
    /// Number of consecutive rejections in the current Paxos instance.
    rejections: u32,
    /// No proposal starts before this time.
    paused_until_ms: Millis,
}

impl Proposer {
    /// Creates a proposer without a proposal.
    pub(crate) fn new(now_ms: Millis) -> Proposer {
        Proposer {
            proposal: None,
            highest_round: 0,
            rejections: 0,
            paused_until_ms: now_ms,
        }
    }

    /// Whether no proposal is in progress.
    pub(crate) fn is_idle(&self) -> bool {
        self.proposal.is_none()
    }

    /// Whether new proposals are delayed at this time.
    pub(crate) fn is_paused(&self, now_ms: Millis) -> bool {
        now_ms < self.paused_until_ms
    }

    /// Delays new proposals until this time, unless they are already delayed for longer.
    pub(crate) fn pause_until(&mut self, until_ms: Millis) {
        self.paused_until_ms = self.paused_until_ms.max(until_ms);
    }

    /// Abandons the current proposal.
    pub(crate) fn abandon(&mut self) {
        self.proposal = None;
    }

    /// Abandons an election whose value is not chosen yet, as a primary has sent a keepalive.
    pub(crate) fn abandon_election_without_value(&mut self) {
        self.proposal
            .take_if(|proposal| proposal.is_election_without_value());
    }

    /// Resets the proposer after a record was decided: the next proposal belongs to a new Paxos instance.
    pub(crate) fn on_record_decided(&mut self) {
        self.proposal = None;
        self.rejections = 0;
    }

    /// Starts a proposal of the record after the newest one.
    pub(crate) fn propose(&mut self, core: &mut CoordinatorCore, purpose: Purpose) {
        let round = self.highest_round.max(core.witness.promise.round) + 1;
        self.highest_round = round;
        let number = ProposalNumber {
            round,
            disk: core.witness.id,
            start: core.witness.starts,
        };
        let base = core.record().clone();
        self.proposal = Some(Proposal::new(base, number, purpose, core.now_ms));
        self.send_requests(core);
    }

    /// Sends the request of the current phase to the members that have not responded to it.
    fn send_requests(&mut self, core: &mut CoordinatorCore) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        proposal.resend_at_ms = core.now_ms + PROPOSAL_RETRANSMIT_INTERVAL_MS;
        let request = proposal.request();
        for receiver in proposal.receivers(core.id()) {
            core.send(receiver, request.clone());
        }
    }

    /// Records a promise. Returns whether it belongs to the current proposal.
    pub(crate) fn on_promised(
        &mut self,
        core: &CoordinatorCore,
        from: DiskId,
        instance: u64,
        number: ProposalNumber,
        promise: Promise,
    ) -> bool {
        let proposal = self.proposal.as_mut();
        let answered =
            proposal.filter(|proposal| proposal.matches_response(from, instance, number));
        let Some(proposal) = answered else {
            return false;
        };
        proposal.on_promised(from, promise, core.now_ms);
        true
    }

    /// Determines the value of the proposal, once there are enough promises.
    pub(crate) fn choose_value(&self, core: &CoordinatorCore) -> Option<ValueChoice> {
        let proposal = self.proposal.as_ref()?;
        let promises = proposal.sufficient_promises(core.id(), core.now_ms)?;
        let accepted = accepted_value(promises).filter(|_| !cfg!(feature = "mutant-adoption"));
        let choice = match (accepted, proposal.purpose) {
            (Some(value), _) => ValueChoice::Record(value),
            (None, Purpose::Election) => {
                ValueChoice::Record(Arc::new(elected_record(core, promises)))
            }
            (None, Purpose::Reconfiguration) => ValueChoice::Reconfiguration,
        };
        Some(choice)
    }

    /// Starts phase 2. A candidate syncs its own acceptance before it sends the value to others: from then on
    /// it no longer acknowledges the former primary
    /// ([`WitnessState::candidate`](crate::WitnessState::candidate)).
    pub(crate) fn start_accept_phase(
        &mut self,
        core: &mut CoordinatorCore,
        value: Arc<EpochRecord>,
    ) {
        if let Some(proposal) = &mut self.proposal {
            proposal.start_accept_phase(value);
        }
        self.send_requests(core);
    }

    /// Records an acceptance. Returns the record if this acceptance decides it.
    pub(crate) fn on_accepted(
        &mut self,
        core: &mut CoordinatorCore,
        from: DiskId,
        instance: u64,
        number: ProposalNumber,
    ) -> Option<Arc<EpochRecord>> {
        let proposal = self.proposal.as_mut()?;
        if !proposal.matches_response(from, instance, number) {
            return None;
        }
        let majority = proposal.base.majority();
        let Phase::Accept {
            value,
            accepted_by,
            is_broadcast,
        } = &mut proposal.phase
        else {
            return None;
        };
        accepted_by.insert(from);
        if accepted_by.len() >= majority {
            return Some(value.clone());
        }
        if from == core.id() && !*is_broadcast {
            *is_broadcast = true;
            self.send_requests(core);
        }
        None
    }

    /// Abandons the proposal if an acceptor has promised a higher number, and backs off.
    pub(crate) fn on_rejected(
        &mut self,
        core: &mut CoordinatorCore,
        instance: u64,
        promise: ProposalNumber,
    ) {
        let is_rejected =
            |proposal: &mut Proposal| proposal.instance() == instance && promise > proposal.number;
        if cfg!(feature = "mutant-rejected") || self.proposal.take_if(is_rejected).is_none() {
            return;
        }
        self.highest_round = self.highest_round.max(promise.round);
        self.paused_until_ms = core.now_ms + self.draw_backoff_ms(core);
    }

    /// Delay after a rejection. It grows with each consecutive rejection and with the sync time of the disk.
    /// Otherwise a proposer with a slow disk interrupts the others again and again before any of them
    /// completes a proposal, and never completes its own.
    fn draw_backoff_ms(&mut self, core: &mut CoordinatorCore) -> Millis {
        let min_ms = MIN_BACKOFF_MS.max(core.disk.sync_time_ms(core.now_ms));
        let doublings = self.rejections.min(MAX_BACKOFF_DOUBLINGS);
        let max_ms = ((min_ms * 4) << doublings).min(MAX_BACKOFF_MS.max(min_ms));
        self.rejections = self.rejections.saturating_add(1);
        core.random.random_range(min_ms..=max_ms)
    }

    /// Abandons a proposal that has timed out, and retransmits requests that have no response.
    pub(crate) fn tick(&mut self, core: &mut CoordinatorCore) {
        let now_ms = core.now_ms;
        if self
            .proposal
            .take_if(|proposal| proposal.has_timed_out(now_ms))
            .is_some()
        {
            return;
        }
        let is_resend_due = self
            .proposal
            .as_ref()
            .is_some_and(|proposal| now_ms >= proposal.resend_at_ms);
        if is_resend_due {
            self.send_requests(core);
        }
    }
}
