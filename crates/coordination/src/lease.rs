//! Lease of the primary: when it may act, which replicas it needs for that, and when it has lost its quorum.
//!
//! Invariant: the lease of a primary expires before any successor is decided. The lease starts when the
//! primary *sends* the keepalives that all required replicas have acknowledged, and it is shorter than the
//! time after the acknowledgement for which these replicas do not become candidates (Gray and Cheriton,
//! *Leases*, 1989). Only steady clocks are used.

use crate::coordinator_core::CoordinatorCore;
use crate::record::DiskId;
use crate::term::LeaderTerm;
use crate::timing::QUORUM_TIMEOUT_MS;
use streamusher_protocol::Millis;

/// Share of the replicas' lease that the primary uses. The rest covers steady clocks that run at different
/// rates.
const PRIMARY_LEASE_PERCENT: Millis = 95;

impl LeaderTerm {
    /// Whether the lease is valid and the first batch of the term is committed, so that responses may be
    /// released.
    pub(crate) fn may_act(&self, core: &CoordinatorCore, now_ms: Millis) -> bool {
        let is_allowed =
            self.is_first_batch_committed() && !self.is_stepping_down && core.has_enough_replicas();
        is_allowed
            && self
                .lease_end_ms(core)
                .is_some_and(|end_ms| now_ms < end_ms)
    }

    /// End of the shortest lease among all required replicas; `None` while one of them has granted no lease.
    fn lease_end_ms(&self, core: &CoordinatorCore) -> Option<Millis> {
        let duration_ms = core.settings.lease_ms * PRIMARY_LEASE_PERCENT / 100;
        let mut end_ms = Millis::MAX;
        for id in self.required_replicas(core) {
            let start_ms = self.peers.get(&id)?.lease_start_ms?;
            end_ms = end_ms.min(start_ms + duration_ms);
        }
        Some(end_ms)
    }

    /// The other members whose acknowledgements are required for a commit and for the lease: the replicas of
    /// the newest record and of all proposals of this primary that may still be decided.
    pub(crate) fn required_replicas<'a>(
        &'a self,
        core: &'a CoordinatorCore,
    ) -> impl Iterator<Item = DiskId> + 'a {
        let includes_proposed = !cfg!(feature = "mutant-proposed");
        let proposed = self
            .proposed_replicas
            .iter()
            .filter(move |_| includes_proposed);
        let replicas = core.record().replicas.iter().chain(proposed).copied();
        replicas.filter(|id| *id != core.id())
    }

    /// Whether this primary cannot act and receives acknowledgements from too few members to change that.
    /// Some members may still receive its keepalives, which would keep them from starting an election.
    pub(crate) fn has_lost_quorum(&mut self, core: &CoordinatorCore) -> bool {
        let now_ms = core.now_ms;
        if self.may_act(core, now_ms) {
            self.last_acted_ms = now_ms;
        }
        let responsive = self
            .peers
            .values()
            .filter(|peer| !peer.is_unresponsive_for(QUORUM_TIMEOUT_MS, now_ms))
            .count();
        let has_timed_out = now_ms >= self.last_acted_ms + QUORUM_TIMEOUT_MS;
        has_timed_out && responsive + 1 < core.record().majority()
    }
}
