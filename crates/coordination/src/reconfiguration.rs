//! How a primary chooses replicas, members and, when its own time is over, a successor.

use crate::coordinator::{Coordinator, Joiner};
use crate::peer::Peer;
use crate::proposal::Purpose;
use crate::reign::Reign;
use crate::times::*;
use crate::types::{can_spare_one, DiskId, EpochRecord, Member};
use std::collections::BTreeSet;
use std::sync::Arc;
use streamusher_protocol::Millis;

impl Coordinator {
    /// A machine says who it is: it is told the newest record, and a stranger is remembered as wanting to be let in.
    pub(crate) fn on_hello(&mut self, from: &Arc<str>, member: Member, epoch: u64) {
        let newest = self.witness.decided.epoch;
        if epoch > newest {
            return self.hello(from.clone());
        }
        if epoch < newest {
            self.tell_newest(from);
        }
        let known = self.witness.decided.member(member.id);
        let is_same = known.is_some_and(|known| known.address == member.address);
        let is_me = member.id == self.witness.id
            || member.address.internal == self.settings.address.internal;
        if self.reign.is_none() || is_same || is_me {
            return;
        }
        if self.joiners.len() < MOST_JOINERS || self.joiners.contains_key(&member.id) {
            self.joiners.insert(
                member.id,
                Joiner {
                    member,
                    heard: self.now,
                },
            );
        }
    }

    /// Looks whether another record is wanted, and proposes it.
    pub(crate) fn reconsider(&mut self) {
        let now = self.now;
        self.joiners
            .retain(|_, joiner| now < joiner.heard + JOINER_LIFE_MS);
        self.choose_learners();
        let Some(reign) = &mut self.reign else { return };
        if now < reign.next_change || self.proposal.is_some() || now < self.quiet_until {
            return;
        }
        reign.next_change = now + CHANGE_REST_MS;
        let is_undecided = !reign.proposed.is_empty();
        if is_undecided || self.desired_record().is_some() {
            self.propose(Purpose::Change);
        }
    }

    /// The record that this primary wants next; none while the present one is right.
    pub(crate) fn desired_record(&self) -> Option<EpochRecord> {
        let reign = self.reign.as_ref()?;
        let base = &self.witness.decided;
        let mut record = EpochRecord::clone(base);
        record.epoch += 1;
        record.proposer = self.witness.id;
        record.replicas = self.desired_replicas(reign, true);
        record.members = self.desired_members(reign, &record.replicas);
        if let Some((successor, replicas)) = self.successor(reign) {
            record.term = record.epoch;
            record.primary = Some(successor);
            record.replicas = replicas;
            return Some(record);
        }
        // A proposal that may yet be decided is brought to an end even if nothing else is wanted.
        let is_undecided = !reign.proposed.is_empty();
        let differs = record.replicas != base.replicas || record.members != base.members;
        (differs || is_undecided).then_some(record)
    }

    /// The replicas wanted: those of the record that keep up, and learners that are level. The record's own while too few
    /// are.
    fn desired_replicas(&self, reign: &Reign, with_me: bool) -> Vec<DiskId> {
        let me = self.witness.id;
        let base = &self.witness.decided;
        let mut wanted = Vec::new();
        let mut sound = 0;
        for id in &base.replicas {
            if *id == me {
                if with_me {
                    wanted.push(me);
                    sound += 1;
                }
                continue;
            }
            let Some(peer) = reign.peers.get(id) else {
                continue;
            };
            if self.keeps_up(reign, peer) {
                wanted.push(*id);
                sound += 1;
            } else if self.is_levelling(reign, peer) {
                wanted.push(*id);
            }
        }
        for (id, peer) in &reign.peers {
            let is_new = peer.learner && !wanted.contains(id);
            if is_new && wanted.len() < self.copies_wanted() && self.is_level(reign, peer) {
                wanted.push(*id);
                sound += 1;
            }
        }
        let is_enough = sound >= self.copies_needed(base);
        if is_enough {
            wanted
        } else {
            base.replicas.clone()
        }
    }

    /// Whether a replica has all that is committed and acknowledges in time.
    fn keeps_up(&self, reign: &Reign, peer: &Peer) -> bool {
        let lag = self.lag(reign, peer);
        let is_sound = peer.responds(self.now) && !peer.leaving && self.now >= peer.slow_until;
        is_sound && lag.is_some_and(|lag| lag < REPLICA_SILENCE_MS)
    }

    /// Whether a learner may be named.
    fn is_level(&self, reign: &Reign, peer: &Peer) -> bool {
        self.keeps_up(reign, peer)
            && self
                .lag(reign, peer)
                .is_some_and(|lag| lag < LEARNER_LAG_MS)
    }

    /// Age of the oldest batch that it lacks; none while it lacks something committed.
    fn lag(&self, reign: &Reign, peer: &Peer) -> Option<Millis> {
        let acknowledged = peer.acknowledged(reign.epoch)?;
        if acknowledged < reign.committed {
            return None;
        }
        Some(reign.batch_age(acknowledged + 1, peer.excused_until, self.now))
    }

    /// Whether a replica of a new reign answers and is still being brought to the primary's state.
    fn is_levelling(&self, reign: &Reign, peer: &Peer) -> bool {
        let is_new_reign = self.now < reign.opened_at + LEVELLING_MS;
        is_new_reign && self.lag(reign, peer).is_none() && peer.responds(self.now) && !peer.leaving
    }

    /// Picks members to be brought up where replicas are missing.
    fn choose_learners(&mut self) {
        let now = self.now;
        let wanted = self.copies_wanted();
        let Some(reign) = &self.reign else { return };
        let sound = reign.peers.values().filter(|peer| {
            peer.is_replica && (self.keeps_up(reign, peer) || self.is_levelling(reign, peer))
        });
        let mut missing = wanted.saturating_sub(sound.count() + 1);
        let is_known = |peer: &Peer| {
            peer.position
                .is_some_and(|position| self.recent.reaches_from(position))
        };
        let mut order: Vec<(bool, bool, DiskId)> = reign
            .peers
            .iter()
            .filter(|(_, peer)| !peer.is_replica && peer.responds(now) && !peer.leaving)
            .filter(|(_, peer)| now >= peer.slow_until && !has_stuck_copy(peer, now))
            .map(|(id, peer)| (!peer.learner, !is_known(peer), *id))
            .collect();
        order.sort_unstable();
        let mut chosen = BTreeSet::new();
        for (_, _, id) in order {
            if missing > 0 {
                chosen.insert(id);
                missing -= 1;
            }
        }
        let Some(reign) = &mut self.reign else { return };
        for (id, peer) in &mut reign.peers {
            if peer.learner && has_stuck_copy(peer, now) {
                peer.slow_until = now + SLOW_REST_MS;
            }
            peer.learner = chosen.contains(id);
            if !peer.learner && !peer.is_replica {
                peer.copy = None;
            }
        }
    }

    /// Who is to follow this primary, when it leaves or its disk is in trouble; with the replicas then.
    fn successor(&self, reign: &Reign) -> Option<(DiskId, Vec<DiskId>)> {
        let now = self.now;
        if !reign.is_open() {
            return None;
        }
        let is_drained = reign.outstanding.is_empty() && reign.pending.is_empty();
        let wants_leave = self
            .leaving
            .is_some_and(|since| is_drained || now >= since + LEAVE_DRAIN_MS);
        if !wants_leave && !self.disk.in_trouble(now) {
            return None;
        }
        let others = self.desired_replicas(reign, false);
        let enough = !others.contains(&self.witness.id);
        let may_stay = self
            .leaving
            .is_none_or(|since| now >= since + LEAVE_REPLICAS_MS);
        if !enough && !may_stay {
            return None;
        }
        let fast = others.iter().copied().find(|id| {
            reign
                .peers
                .get(id)
                .is_some_and(|peer| self.is_level(reign, peer))
        })?;
        let mut replicas = vec![fast];
        replicas.extend(others.into_iter().filter(|id| *id != fast));
        Some((fast, replicas))
    }

    /// The members wanted: machines that lost their disk under their new id, others in the place of absent ones. A machine
    /// is not added beside a member that is in doubt: with a dead member among an even number, the next loss could take the
    /// majority, and lost disks never vote again.
    fn desired_members(&self, reign: &Reign, replicas: &[DiskId]) -> Vec<Member> {
        let mut members = self.witness.decided.members.clone();
        for joiner in self.joiners.values() {
            let same = members.iter().position(|known| {
                known.id == joiner.member.id
                    || known.address.internal == joiner.member.address.internal
            });
            let place =
                same.or_else(|| self.absent_member(reign, &members, replicas, REPLACED_AFTER_MS));
            match place {
                Some(index) => members[index] = joiner.member.clone(),
                None if members.len() < MOST_MEMBERS
                    && !self.has_doubtful_member(reign, &members) =>
                {
                    members.push(joiner.member.clone());
                }
                None => {}
            }
        }
        if can_spare_one(&members) {
            if let Some(index) = self.absent_member(reign, &members, replicas, MEMBER_SILENCE_MS) {
                members.remove(index);
            }
        }
        members
    }

    /// A member that leaves or has been silent for so long, and that is no replica.
    fn absent_member(
        &self,
        reign: &Reign,
        members: &[Member],
        replicas: &[DiskId],
        silence: Millis,
    ) -> Option<usize> {
        let silence = if cfg!(feature = "mutant-absent") {
            MEMBER_SILENCE_MS
        } else {
            silence
        };
        let leaves = |peer: &Peer| peer.leaving && !cfg!(feature = "mutant-absent");
        let is_absent = |peer: &Peer| leaves(peer) || self.now >= peer.heard + silence;
        members.iter().position(|member| {
            reign.peers.get(&member.id).is_some_and(is_absent) && !replicas.contains(&member.id)
        })
    }

    /// Whether a member does not answer and it is known soon whether it is absent. One that is absent and needed as a replica
    /// keeps nobody out: a machine that is let in can take its part.
    fn has_doubtful_member(&self, reign: &Reign, members: &[Member]) -> bool {
        let is_doubtful = |peer: &Peer| {
            let is_silent = !peer.responds(self.now) && self.now < peer.heard + REPLACED_AFTER_MS;
            is_silent && !cfg!(feature = "mutant-absent")
        };
        members
            .iter()
            .any(|member| reign.peers.get(&member.id).is_some_and(is_doubtful))
    }
}

fn has_stuck_copy(peer: &Peer, now: Millis) -> bool {
    peer.copy
        .as_ref()
        .is_some_and(|copy| now > copy.progress_at + COPY_REST_MS)
}
