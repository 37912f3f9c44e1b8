//! When a replica seeks the primary's place, and what it proposes.

use crate::coordinator::Coordinator;
use crate::message::Message;
use crate::proposal::{Promise, Purpose};
use crate::times::{RANK_STEP_MS, STAND_JITTER_MS};
use crate::types::{DiskId, EpochRecord};
use rand::Rng;
use std::collections::BTreeMap;
use streamusher_protocol::Millis;

impl Coordinator {
    /// Whether nobody acts in the present record any more, as far as this replica can know.
    fn is_vacant(&self) -> bool {
        let record = &self.witness.decided;
        if record.epoch == 0 || self.witness.candidate || self.vacant_reign == Some(record.term) {
            return true;
        }
        if record.primary == Some(self.witness.id) {
            return self.opening.is_none();
        }
        let lease_over = self.now >= self.promised_at + self.settings.lease_ms;
        lease_over || cfg!(feature = "mutant-lease")
    }

    /// How many other candidates go first.
    fn rank(&self) -> Millis {
        let record = &self.witness.decided;
        let lost = record
            .primary
            .filter(|_| self.vacant_reign != Some(record.term));
        let candidates = record
            .replicas
            .iter()
            .filter(|id| **id == self.witness.id || Some(**id) != lost);
        candidates.take_while(|id| **id != self.witness.id).count() as Millis
    }

    pub(crate) fn tick_candidate(&mut self) {
        let is_replica = self.witness.decided.is_replica(self.witness.id);
        if !is_replica || self.leaving.is_some() || !self.is_vacant() {
            self.stand_at = None;
            return;
        }
        if self.stand_at.is_none() {
            let jitter = self.random.random_range(0..=STAND_JITTER_MS);
            self.stand_at = Some(self.now + self.rank() * RANK_STEP_MS + jitter);
        }
        let is_due = self.stand_at.is_some_and(|at| self.now >= at) && self.now >= self.quiet_until;
        if is_due && self.proposal.is_none() {
            self.propose(Purpose::Stand);
        }
    }

    /// The record by which a candidate takes over. Any of the replicas may be named, as each holds all that is committed; the
    /// one with the longest history saves whole copies.
    pub(crate) fn elected_record(&self, promises: &BTreeMap<DiskId, Promise>) -> EpochRecord {
        let base = &self.witness.decided;
        let me = self.witness.id;
        let position = |id: DiskId| promises.get(&id).map(|promise| promise.position);
        let reported: Vec<DiskId> = base
            .replicas
            .iter()
            .copied()
            .filter(|id| position(*id).is_some())
            .collect();
        let longest = reported
            .iter()
            .copied()
            .max_by_key(|id| (position(*id), *id == me));
        let primary = longest.unwrap_or(me);
        let enough = reported.len() >= self.copies_needed(base);
        let mut replicas = if enough {
            reported
        } else {
            base.replicas.clone()
        };
        replicas.retain(|id| *id != primary);
        replicas.insert(0, primary);
        if enough {
            replicas.truncate(self.copies_wanted());
        }
        EpochRecord {
            epoch: base.epoch + 1,
            term: base.epoch + 1,
            primary: Some(primary),
            replicas,
            members: base.members.clone(),
            proposer: me,
        }
    }

    /// The primary of the newest record is this machine, in a former life: nobody needs to wait for its lease.
    pub(crate) fn tell_vacant(&mut self) {
        let record = self.witness.decided.clone();
        let is_mine = record.primary == Some(self.witness.id);
        if !is_mine || self.reign.is_some() || self.opening.is_some() {
            return;
        }
        let message = Message::Vacant {
            from: self.witness.id,
            reign: record.term,
        };
        self.send_to_members(message);
    }

    pub(crate) fn on_vacant(&mut self, from: DiskId, reign: u64) {
        let record = &self.witness.decided;
        if record.primary == Some(from) && record.term == reign && from != self.witness.id {
            self.vacant_reign = Some(reign);
        }
    }
}
