//! The primary's lease: when it may act, whom it needs for that, and when it has lost its quorum.
//!
//! Invariant: the lease of a primary ends before any successor is decided. It runs from the *sending* of the keepalives that
//! all needed replicas have acknowledged, and is shorter than the time for which they do not stand for election after the
//! acknowledgement (Gray and Cheriton, *Leases*, 1989). Only steady clocks count.

use crate::coordinator_core::CoordinatorCore;
use crate::record::DiskId;
use crate::term::LeaderTerm;
use crate::timing::QUORUM_TIMEOUT_MS;
use streamusher_protocol::Millis;

/// Part of the replicas' lease that the primary uses: the rest covers steady clocks that run at different rates.
const USED_LEASE_PERCENT: Millis = 95;

impl LeaderTerm {
    /// Whether the lease is valid and all that this primary holds is committed: responses may be released.
    pub(crate) fn may_act(&self, core: &CoordinatorCore, now_ms: Millis) -> bool {
        let is_allowed = self.is_open() && !self.is_stepping_down && core.has_enough_replicas();
        is_allowed
            && self
                .lease_end_ms(core)
                .is_some_and(|end_ms| now_ms < end_ms)
    }

    /// End of the shortest lease among all that are needed; none while one is missing.
    fn lease_end_ms(&self, core: &CoordinatorCore) -> Option<Millis> {
        let span_ms = core.settings.lease_ms * USED_LEASE_PERCENT / 100;
        let mut end_ms = Millis::MAX;
        for id in self.required_replicas(core) {
            let start_ms = self.peers.get(&id)?.lease_start_ms?;
            end_ms = end_ms.min(start_ms + span_ms);
        }
        Some(end_ms)
    }

    /// The other members whose acknowledgement is needed for a commit and for the lease: the replicas of the newest record
    /// and of all own proposals that may yet be decided.
    pub(crate) fn required_replicas<'a>(
        &'a self,
        core: &'a CoordinatorCore,
    ) -> impl Iterator<Item = DiskId> + 'a {
        let counts = !cfg!(feature = "mutant-proposed");
        let proposed = self.proposed_replicas.iter().filter(move |_| counts);
        let replicas = core.record().replicas.iter().chain(proposed).copied();
        replicas.filter(|id| *id != core.id())
    }

    /// Whether this primary cannot act and hears too few members to change that. Some may still hear it, and it would keep
    /// them from an election by its keepalives.
    pub(crate) fn has_lost_quorum(&mut self, core: &CoordinatorCore) -> bool {
        let now_ms = core.now_ms;
        if self.may_act(core, now_ms) {
            self.last_acted_ms = now_ms;
        }
        let heard = self
            .peers
            .values()
            .filter(|peer| !peer.is_silent_for(QUORUM_TIMEOUT_MS, now_ms))
            .count();
        let is_over = now_ms >= self.last_acted_ms + QUORUM_TIMEOUT_MS;
        is_over && heard + 1 < core.record().majority()
    }
}
