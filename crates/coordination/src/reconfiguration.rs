//! Choice of the primary's next record: replicas, learners, members and, when the primary has to step down, a
//! successor.
//!
//! Invariant: a new replica is named only when it has synced all committed data
//! (`docs/design/control-state.md`, point 3).

use crate::coordinator_core::CoordinatorCore;
use crate::join::JoinRequests;
use crate::limits::MAX_MEMBERS;
use crate::peer::Peer;
use crate::record::{can_spare_member, DiskId, EpochRecord, Member};
use crate::term::LeaderTerm;
use crate::timing::{
    CATCH_UP_TIMEOUT_MS, LEAVE_DRAIN_TIMEOUT_MS, LEAVE_REPLICAS_TIMEOUT_MS, MAX_LEARNER_LAG_MS,
    MEMBER_REPLACEMENT_TIMEOUT_MS, MEMBER_TIMEOUT_MS, REPLICA_TIMEOUT_MS,
};
use std::collections::BTreeSet;
use streamusher_protocol::Millis;

/// A successor of the current primary, and its replicas.
struct Succession {
    primary: DiskId,
    replicas: Vec<DiskId>,
}

/// A member that could be brought up to date. The field order is the order of preference: current learners
/// first, then members that can catch up from cached batches without a snapshot.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct LearnerCandidate {
    is_new: bool,
    needs_snapshot: bool,
    id: DiskId,
}

/// Inputs for the primary's choice of the next record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reconfiguration<'a> {
    pub(crate) core: &'a CoordinatorCore,
    pub(crate) term: &'a LeaderTerm,
    pub(crate) join_requests: &'a JoinRequests,
}

impl Reconfiguration<'_> {
    /// The record that this primary proposes next; `None` if the current record needs no change.
    pub(crate) fn desired_record(&self) -> Option<EpochRecord> {
        let base = self.core.record();
        let replicas = self.desired_replicas(true);
        let members = self.desired_members(&replicas);
        let mut record = EpochRecord {
            epoch: base.epoch + 1,
            proposer: self.core.id(),
            replicas,
            members,
            ..EpochRecord::clone(base)
        };
        if let Some(succession) = self.succession() {
            record.term = record.epoch;
            record.primary = Some(succession.primary);
            record.replicas = succession.replicas;
            return Some(record);
        }
        // A proposal that may still be decided is completed even if no other change is desired.
        let is_undecided = !self.term.proposed_replicas.is_empty();
        let differs = record.replicas != base.replicas || record.members != base.members;
        (differs || is_undecided).then_some(record)
    }

    /// The members to bring up to date when there are fewer healthy replicas than the target.
    pub(crate) fn desired_learners(&self) -> BTreeSet<DiskId> {
        let now_ms = self.core.now_ms;
        let healthy_replicas =
            self.term.peers.values().filter(|peer| {
                peer.is_replica() && (self.keeps_up(peer) || self.is_catching_up(peer))
            });
        let present = healthy_replicas.count() + 1;
        let missing = self.core.target_replica_count().saturating_sub(present);
        let mut candidates: Vec<LearnerCandidate> = self
            .term
            .peers
            .iter()
            .filter(|(_, peer)| {
                !peer.is_replica() && peer.is_responsive(now_ms) && !peer.is_leaving
            })
            .filter(|(_, peer)| !peer.is_excluded(now_ms) && !peer.has_stuck_snapshot(now_ms))
            .map(|(id, peer)| LearnerCandidate {
                is_new: !peer.is_learner(),
                needs_snapshot: !self.can_catch_up_from_cache(peer),
                id: *id,
            })
            .collect();
        candidates.sort_unstable();
        let chosen = candidates.iter().take(missing);
        chosen.map(|candidate| candidate.id).collect()
    }

    /// The desired replicas: those of the current record that keep up or are catching up, and learners that
    /// are up to date. Returns the replicas of the current record while fewer than the minimum keep up.
    fn desired_replicas(&self, with_self: bool) -> Vec<DiskId> {
        let base = self.core.record();
        let mut desired = Vec::new();
        let mut healthy_count = 0;
        for id in &base.replicas {
            if *id == self.core.id() {
                if with_self {
                    desired.push(*id);
                    healthy_count += 1;
                }
                continue;
            }
            let Some(peer) = self.term.peers.get(id) else {
                continue;
            };
            if self.keeps_up(peer) {
                desired.push(*id);
                healthy_count += 1;
            } else if self.is_catching_up(peer) {
                desired.push(*id);
            }
        }
        for (id, peer) in &self.term.peers {
            let is_new = peer.is_learner() && !desired.contains(id);
            let has_capacity = desired.len() < self.core.target_replica_count();
            if is_new && has_capacity && self.is_up_to_date(peer) {
                desired.push(*id);
                healthy_count += 1;
            }
        }
        if healthy_count >= self.core.min_replica_count(base) {
            desired
        } else {
            base.replicas.clone()
        }
    }

    /// Whether a member has all committed batches and acknowledges in time.
    fn keeps_up(&self, peer: &Peer) -> bool {
        let now_ms = self.core.now_ms;
        let is_healthy =
            peer.is_responsive(now_ms) && !peer.is_leaving && !peer.is_excluded(now_ms);
        let is_in_time = |lag_ms: Millis| lag_ms < REPLICA_TIMEOUT_MS;
        is_healthy && self.lag_ms(peer).is_some_and(is_in_time)
    }

    /// Whether a learner may be named as a replica.
    fn is_up_to_date(&self, peer: &Peer) -> bool {
        let is_close = |lag_ms: Millis| lag_ms < MAX_LEARNER_LAG_MS;
        self.keeps_up(peer) && self.lag_ms(peer).is_some_and(is_close)
    }

    /// Age of the oldest batch that a member lacks; `None` while it lacks a committed batch.
    fn lag_ms(&self, peer: &Peer) -> Option<Millis> {
        let pipeline = &self.term.pipeline;
        let acknowledged = peer.acknowledged(self.term.number)?;
        if acknowledged < pipeline.committed() {
            return None;
        }
        let oldest_missing = acknowledged + 1;
        Some(pipeline.batch_age_ms(oldest_missing, peer.stalled_until_ms, self.core.now_ms))
    }

    /// Whether a replica is responsive and is still being brought to the primary's state at the start of a
    /// term.
    fn is_catching_up(&self, peer: &Peer) -> bool {
        let now_ms = self.core.now_ms;
        let is_new_term = now_ms < self.term.started_ms + CATCH_UP_TIMEOUT_MS;
        let is_behind = self.lag_ms(peer).is_none();
        is_new_term && is_behind && peer.is_responsive(now_ms) && !peer.is_leaving
    }

    /// Whether the cached batches can bring the member up to date, so that it needs no snapshot.
    fn can_catch_up_from_cache(&self, peer: &Peer) -> bool {
        peer.position
            .is_some_and(|position| self.core.state.log_cache().can_replay_from(position))
    }

    /// The successor of this primary, if it leaves or its disk is unfit for a primary.
    fn succession(&self) -> Option<Succession> {
        let now_ms = self.core.now_ms;
        if !self.term.is_first_batch_committed() {
            return None;
        }
        let leaving_since_ms = self.core.leaving_since_ms;
        let is_drained = self.term.pipeline.is_drained();
        let wants_to_leave = leaving_since_ms
            .is_some_and(|since_ms| is_drained || now_ms >= since_ms + LEAVE_DRAIN_TIMEOUT_MS);
        if !wants_to_leave && !self.core.disk.is_unfit_for_primary(now_ms) {
            return None;
        }
        let others = self.desired_replicas(false);
        let has_enough_replicas = !others.contains(&self.core.id());
        let may_remain_replica =
            leaving_since_ms.is_none_or(|since_ms| now_ms >= since_ms + LEAVE_REPLICAS_TIMEOUT_MS);
        if !has_enough_replicas && !may_remain_replica {
            return None;
        }
        let is_fit = |id: &DiskId| {
            let peer = self.term.peers.get(id);
            peer.is_some_and(|peer| self.is_up_to_date(peer))
        };
        let primary = others.iter().copied().find(is_fit)?;
        let mut replicas = vec![primary];
        replicas.extend(others.into_iter().filter(|id| *id != primary));
        Some(Succession { primary, replicas })
    }

    /// The desired members: a machine that lost its disk appears under its new id, and joining machines
    /// replace absent members. A machine is not added while a member may have failed: with a failed member
    /// among an even number of members, the next failure could remove the majority, and lost disks never vote
    /// again.
    fn desired_members(&self, replicas: &[DiskId]) -> Vec<Member> {
        let mut members = self.core.record().members.clone();
        for candidate in self.join_requests.candidates() {
            let is_same_machine = |known: &Member| {
                known.id == candidate.id || known.address.internal == candidate.address.internal
            };
            let replaced_index = members
                .iter()
                .position(is_same_machine)
                .or_else(|| self.absent_member(&members, replicas, MEMBER_REPLACEMENT_TIMEOUT_MS));
            if let Some(index) = replaced_index {
                members[index] = candidate.clone();
            } else if members.len() < MAX_MEMBERS && !self.has_suspected_member(&members) {
                members.push(candidate.clone());
            }
        }
        if can_spare_member(&members) {
            if let Some(index) = self.absent_member(&members, replicas, MEMBER_TIMEOUT_MS) {
                members.remove(index);
            }
        }
        members
    }

    /// Index of a member that leaves or has been unresponsive for `timeout_ms`, and that is not a replica.
    fn absent_member(
        &self,
        members: &[Member],
        replicas: &[DiskId],
        timeout_ms: Millis,
    ) -> Option<usize> {
        let is_mutant = cfg!(feature = "mutant-absent");
        let timeout_ms = if is_mutant {
            MEMBER_TIMEOUT_MS
        } else {
            timeout_ms
        };
        let is_absent = |peer: &Peer| {
            let leaves = peer.is_leaving && !is_mutant;
            leaves || peer.is_unresponsive_for(timeout_ms, self.core.now_ms)
        };
        members.iter().position(|member| {
            let peer = self.term.peers.get(&member.id);
            peer.is_some_and(is_absent) && !replicas.contains(&member.id)
        })
    }

    /// Whether a member is unresponsive and it is not known yet whether it is absent. A member that is absent
    /// but needed as a replica does not block joins: a joining machine can replace it.
    fn has_suspected_member(&self, members: &[Member]) -> bool {
        let now_ms = self.core.now_ms;
        let is_suspected = |peer: &Peer| {
            let is_absent = peer.is_unresponsive_for(MEMBER_REPLACEMENT_TIMEOUT_MS, now_ms);
            !peer.is_responsive(now_ms) && !is_absent && !cfg!(feature = "mutant-absent")
        };
        members.iter().any(|member| {
            let peer = self.term.peers.get(&member.id);
            peer.is_some_and(is_suspected)
        })
    }
}
