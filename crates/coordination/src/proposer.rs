//! Drives a proposal to its decision.

use crate::coordinator::Coordinator;
use crate::message::Message;
use crate::proposal::{accepted_value, Phase, Promise, Proposal, Purpose};
use crate::times::{
    BACK_OFF_MS, LONGEST_BACK_OFF_MS, MOST_BACK_OFF_DOUBLINGS, PROPOSAL_LIFE_MS,
    PROPOSAL_REPEAT_MS, REPORT_MS,
};
use crate::types::{DiskId, EpochRecord, ProposalNumber};
use rand::Rng;
use std::collections::BTreeSet;
use std::sync::Arc;
use streamusher_protocol::Millis;

impl Coordinator {
    pub(crate) fn propose(&mut self, purpose: Purpose) {
        let round = self.highest_round.max(self.witness.promise.round) + 1;
        self.highest_round = round;
        let ballot = ProposalNumber {
            round,
            disk: self.witness.id,
            start: self.witness.starts,
        };
        let base = self.witness.decided.clone();
        self.proposal = Some(Proposal::new(base, ballot, purpose, self.now));
        self.repeat_proposal();
    }

    /// Sends the messages of the present phase to those who have not answered.
    fn repeat_proposal(&mut self) {
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        proposal.repeat_at = self.now + PROPOSAL_REPEAT_MS;
        let (base, ballot) = (proposal.base.clone(), proposal.ballot);
        let mut sends = Vec::new();
        for member in &base.members {
            let message = match &proposal.phase {
                Phase::Preparing { promises, .. } if !promises.contains_key(&member.id) => {
                    Message::Prepare {
                        base: base.clone(),
                        ballot,
                    }
                }
                Phase::Accepting {
                    value,
                    accepts,
                    is_public,
                } if !accepts.contains(&member.id)
                    && (*is_public || member.id == self.witness.id) =>
                {
                    Message::Accept {
                        base: base.clone(),
                        ballot,
                        value: value.clone(),
                    }
                }
                _ => continue,
            };
            sends.push((member.address.internal.clone(), message));
        }
        for (to, message) in sends {
            self.send(to, message);
        }
    }

    pub(crate) fn on_promised(
        &mut self,
        from: DiskId,
        instance: u64,
        ballot: ProposalNumber,
        promise: Promise,
    ) {
        let now = self.now;
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        if !proposal.is_about(instance, ballot) || !proposal.base.is_member(from) {
            return;
        }
        let majority = proposal.base.majority();
        if let Phase::Preparing {
            promises,
            majority_at,
        } = &mut proposal.phase
        {
            promises.insert(from, promise);
            if promises.len() >= majority {
                majority_at.get_or_insert(now);
            }
        }
        self.choose_if_ready();
    }

    /// Chooses the value when a majority has promised and the replicas had time to report.
    fn choose_if_ready(&mut self) {
        let Some(proposal) = &self.proposal else {
            return;
        };
        let Phase::Preparing {
            promises,
            majority_at: Some(majority_at),
        } = &proposal.phase
        else {
            return;
        };
        let former = proposal
            .base
            .primary
            .filter(|primary| *primary != self.witness.id);
        let all_reported = proposal
            .base
            .replicas
            .iter()
            .all(|id| promises.contains_key(id) || Some(*id) == former);
        let is_change = proposal.purpose == Purpose::Change;
        if !is_change && !all_reported && self.now < majority_at + REPORT_MS {
            return;
        }
        let accepted = accepted_value(promises).filter(|_| !cfg!(feature = "mutant-adoption"));
        let value = match (accepted, proposal.purpose) {
            (Some(value), _) => Some(value),
            (None, Purpose::Stand) => Some(Arc::new(self.elected_record(promises))),
            (None, Purpose::Change) => self.desired_record().map(Arc::new),
        };
        match value {
            Some(value) => self.offer(value),
            None => self.proposal = None,
        }
    }

    /// Begins the second phase. A candidate's own accept is synced before others hear of the value.
    fn offer(&mut self, value: Arc<EpochRecord>) {
        if let Some(reign) = &mut self.reign {
            reign.proposed.extend(value.replicas.iter().copied());
            reign.yielded |= value.primary != Some(self.witness.id);
        }
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        let is_public = proposal.purpose == Purpose::Change;
        proposal.phase = Phase::Accepting {
            value,
            accepts: BTreeSet::new(),
            is_public,
        };
        self.repeat_proposal();
    }

    pub(crate) fn on_accepted(&mut self, from: DiskId, instance: u64, ballot: ProposalNumber) {
        let me = self.witness.id;
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        if !proposal.is_about(instance, ballot) || !proposal.base.is_member(from) {
            return;
        }
        let majority = proposal.base.majority();
        let Phase::Accepting {
            value,
            accepts,
            is_public,
        } = &mut proposal.phase
        else {
            return;
        };
        accepts.insert(from);
        if accepts.len() >= majority {
            let decided = value.clone();
            return self.announce(decided);
        }
        if from == me && !*is_public {
            *is_public = true;
            self.repeat_proposal();
        }
    }

    /// A record was decided by this proposer: its members hear of it at once, and those whom it removes when enough members
    /// have it on disk.
    fn announce(&mut self, record: Arc<EpochRecord>) {
        let former = self.witness.decided.clone();
        self.learn(record.clone());
        let me = self.witness.id;
        for member in record.members.iter().filter(|member| member.id != me) {
            self.send(
                member.address.internal.clone(),
                Message::Decided {
                    record: record.clone(),
                },
            );
        }
        let removed = former
            .members
            .iter()
            .filter(|member| !record.is_member(member.id));
        let removed: Vec<(u64, Arc<str>)> = removed
            .map(|member| (record.epoch, member.address.internal.clone()))
            .collect();
        match &mut self.reign {
            Some(reign) => reign.removed.extend(removed),
            None => self.tell_removed(&removed),
        }
        self.dismiss_removed();
    }

    /// Tells machines that they were removed once more members have the record on disk than disks may be lost. A machine that
    /// leaves ends when it hears so: before that, the only ones that know of the removal could be lost, and the record before
    /// counts on it.
    pub(crate) fn dismiss_removed(&mut self) {
        let needed = self.copies_needed(&self.witness.decided);
        let Some(reign) = &mut self.reign else { return };
        if reign.removed.is_empty() {
            return;
        }
        let recorded = self.recorded;
        let peers = &reign.peers;
        let holders = |epoch: u64| {
            usize::from(recorded >= epoch)
                + peers.values().filter(|peer| peer.recorded >= epoch).count()
        };
        let is_known = |epoch: u64| holders(epoch) >= needed || cfg!(feature = "mutant-dismissal");
        let (told, untold): (Vec<_>, Vec<_>) = reign
            .removed
            .drain(..)
            .partition(|(epoch, _)| is_known(*epoch));
        reign.removed = untold;
        self.tell_removed(&told);
    }

    fn tell_removed(&mut self, removed: &[(u64, Arc<str>)]) {
        let record = self.witness.decided.clone();
        for (_, to) in removed {
            self.send(
                to.clone(),
                Message::Decided {
                    record: record.clone(),
                },
            );
        }
    }

    pub(crate) fn on_refused(&mut self, instance: u64, promise: ProposalNumber) {
        let Some(proposal) = &self.proposal else {
            return;
        };
        if proposal.instance() != instance || promise <= proposal.ballot {
            return;
        }
        self.highest_round = self.highest_round.max(promise.round);
        self.proposal = None;
        self.quiet_until = self.now + self.back_off();
    }

    /// How long to wait after a refusal: longer each time, and longer where the disk is slow. Otherwise a proposer with a slow
    /// disk interrupts the others again and again before any of them is done, and is never done itself.
    fn back_off(&mut self) -> Millis {
        let least = BACK_OFF_MS.max(self.disk.sync_time(self.now));
        let most = (least * 4) << self.refusals.min(MOST_BACK_OFF_DOUBLINGS);
        self.refusals = self.refusals.saturating_add(1);
        self.random
            .random_range(least..=most.min(LONGEST_BACK_OFF_MS.max(least)))
    }

    pub(crate) fn tick_proposal(&mut self) {
        let Some(proposal) = &self.proposal else {
            return;
        };
        if self.now > proposal.started + PROPOSAL_LIFE_MS {
            self.proposal = None;
            return;
        }
        if self.now >= proposal.repeat_at {
            self.repeat_proposal();
        }
        self.choose_if_ready();
    }
}
