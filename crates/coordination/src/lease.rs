//! When a primary may act, whom it needs for that, and when it gives up its office.

use crate::coordinator::Coordinator;
use crate::events::Output;
use crate::reign::Reign;
use crate::times::ABDICATE_MS;
use crate::types::{DiskId, EpochRecord};
use streamusher_protocol::Millis;

impl Coordinator {
    /// Whether this is the primary with a valid lease: replies may be released.
    pub fn may_act(&self, now: Millis) -> bool {
        let Some(reign) = &self.reign else {
            return false;
        };
        let is_allowed = reign.is_open() && !reign.yielded && self.has_enough_replicas();
        is_allowed && self.lease_end().is_some_and(|end| now < end)
    }

    /// Whether this machine was elected and its reign is not open yet: its first batch is on its way to the replicas.
    pub fn is_opening(&self) -> bool {
        let is_named = self.witness.decided.primary == Some(self.witness.id);
        let opens = |reign: &Reign| !reign.is_open() && !reign.yielded;
        is_named && (self.opening.is_some() || self.reign.as_ref().is_some_and(opens))
    }

    /// End of the shortest lease among all that are needed; none while one is missing.
    pub(crate) fn lease_end(&self) -> Option<Millis> {
        let reign = self.reign.as_ref()?;
        let span = self.settings.lease_ms * 95 / 100;
        let mut end = Millis::MAX;
        for id in self.required(reign) {
            let from = reign.peers.get(&id)?.lease_from?;
            end = end.min(from + span);
        }
        Some(end)
    }

    /// The others who must agree: the replicas of the record and of all own proposals that may yet be decided.
    pub(crate) fn required<'a>(&'a self, reign: &'a Reign) -> impl Iterator<Item = DiskId> + 'a {
        let counts = !cfg!(feature = "mutant-proposed");
        let proposed = reign.proposed.iter().filter(move |_| counts);
        let replicas = self
            .witness
            .decided
            .replicas
            .iter()
            .chain(proposed)
            .copied();
        replicas.filter(|id| *id != self.witness.id)
    }

    pub(crate) fn has_enough_replicas(&self) -> bool {
        let record = &self.witness.decided;
        record.replicas.len() >= self.copies_needed(record)
    }

    /// Copies without which nothing is committed.
    pub(crate) fn copies_needed(&self, record: &EpochRecord) -> usize {
        (self.settings.tolerance + 1)
            .min(record.members.len())
            .max(1)
    }

    /// Copies that are aimed at.
    pub(crate) fn copies_wanted(&self) -> usize {
        self.settings.tolerance + 2
    }

    /// Whether this primary can't act and hears too few to change that. It may still be heard, and would hold others
    /// back by its keepalives.
    pub(crate) fn is_forsaken(&mut self) -> bool {
        let now = self.now;
        let may_act = self.may_act(now);
        let majority = self.witness.decided.majority();
        let Some(reign) = &mut self.reign else {
            return false;
        };
        if may_act {
            reign.acted_at = now;
        }
        let heard = reign
            .peers
            .values()
            .filter(|peer| now < peer.heard + ABDICATE_MS)
            .count();
        now >= reign.acted_at + ABDICATE_MS && heard + 1 < majority
    }

    /// Gives up the office for good; others are told that nobody acts in this reign any more.
    pub(crate) fn abdicate(&mut self) {
        log::info!("hears no majority: gives up its office");
        self.reign = None;
        self.proposal = None;
        self.out.push(Output::Deposed);
        self.tell_vacant();
    }
}
