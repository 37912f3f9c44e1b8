//! Elections: when a replica becomes a candidate, and which record it proposes.
//!
//! Leases: a replica does not become a candidate within one lease duration of its last acknowledgement of a
//! keepalive, so no successor is decided while the primary may still act (`docs/design/control-state.md`,
//! point 1).

use crate::coordinator_core::CoordinatorCore;
use crate::proposal::Promise;
use crate::record::{DiskId, EpochRecord};
use crate::timing::{CANDIDATE_RANK_DELAY_MS, MAX_CANDIDATE_JITTER_MS};
use rand::Rng;
use std::collections::BTreeMap;
use streamusher_protocol::Millis;

/// A replica's information about the primary, and its schedule for becoming a candidate.
#[derive(Clone, Debug)]
pub(crate) struct Election {
    /// Start of the lease that this member has granted to the primary: the time of its last acknowledgement
    /// of a keepalive, of its last adoption of a record, or of its own start, as it may have forgotten an
    /// acknowledgement.
    lease_granted_ms: Millis,
    /// When this member last acknowledged a keepalive, or adopted a record that does not continue a term of
    /// its own.
    last_primary_contact_ms: Option<Millis>,
    /// Number of a term whose primary has restarted or stepped down.
    ended_term: Option<u64>,
    /// When this member becomes a candidate; `None` while no election is scheduled.
    candidacy_at_ms: Option<Millis>,
}

impl Election {
    /// State of a member that has just started.
    pub(crate) fn new(now_ms: Millis) -> Election {
        Election {
            lease_granted_ms: now_ms,
            last_primary_contact_ms: None,
            ended_term: None,
            candidacy_at_ms: None,
        }
    }

    /// When this member was last in contact with the primary; `None` if it was not since its start.
    pub(crate) fn last_primary_contact_ms(&self) -> Option<Millis> {
        self.last_primary_contact_ms
    }

    /// Handles a newer record: cancels the scheduled election, and restarts the lease.
    pub(crate) fn on_record_adopted(&mut self, now_ms: Millis) {
        self.candidacy_at_ms = None;
        self.lease_granted_ms = now_ms;
    }

    /// Records contact with the primary.
    pub(crate) fn on_primary_contact(&mut self, now_ms: Millis) {
        self.last_primary_contact_ms = Some(now_ms);
    }

    /// Records that this member acknowledges a keepalive, which grants a new lease.
    pub(crate) fn on_keepalive_acknowledged(&mut self, now_ms: Millis) {
        self.lease_granted_ms = now_ms;
        self.last_primary_contact_ms = Some(now_ms);
    }

    /// Handles a stall of this process: cancels the scheduled election, because the primary may have sent
    /// keepalives during the stall.
    pub(crate) fn on_process_stalled(&mut self) {
        self.candidacy_at_ms = None;
    }

    /// Records that the primary of this term has restarted or stepped down.
    pub(crate) fn on_term_ended(&mut self, term: u64) {
        self.ended_term = Some(term);
    }

    /// Whether the primary of this term is known to have restarted or stepped down.
    pub(crate) fn is_term_ended(&self, term: u64) -> bool {
        self.ended_term == Some(term)
    }

    /// Whether no primary acts by the newest record any more, as far as this replica can know. `is_elected`
    /// tells whether the record elected this member and its term has not begun yet.
    fn is_lease_expired(&self, core: &CoordinatorCore, is_elected: bool) -> bool {
        let record = core.record();
        if record.epoch == 0 || core.witness.candidate || self.is_term_ended(record.term) {
            return true;
        }
        if core.is_named_primary() {
            return !is_elected;
        }
        let is_expired = core.now_ms >= self.lease_granted_ms + core.settings.lease_ms;
        is_expired || cfg!(feature = "mutant-lease")
    }

    /// Rank of this candidate: the number of replicas that the record lists before this member, not counting
    /// a primary that may have failed. Each of these replicas becomes a candidate earlier.
    fn rank(&self, core: &CoordinatorCore) -> usize {
        let record = core.record();
        let lost_primary = record.primary.filter(|_| !self.is_term_ended(record.term));
        let candidates = record
            .replicas
            .iter()
            .filter(|id| **id == core.id() || Some(**id) != lost_primary);
        candidates.take_while(|id| **id != core.id()).count()
    }

    /// Schedules a candidacy when the lease has expired. Returns whether this replica has to start an
    /// election now.
    pub(crate) fn tick(&mut self, core: &mut CoordinatorCore, is_elected: bool) -> bool {
        let is_replica = core.record().is_replica(core.id());
        if !is_replica || core.is_leaving() || !self.is_lease_expired(core, is_elected) {
            self.candidacy_at_ms = None;
            return false;
        }
        let candidacy_at_ms = match self.candidacy_at_ms {
            Some(candidacy_at_ms) => candidacy_at_ms,
            None => self.draw_candidacy_time(core),
        };
        self.candidacy_at_ms = Some(candidacy_at_ms);
        core.now_ms >= candidacy_at_ms
    }

    fn draw_candidacy_time(&self, core: &mut CoordinatorCore) -> Millis {
        let jitter_ms = core.random.random_range(0..=MAX_CANDIDATE_JITTER_MS);
        core.now_ms + self.rank(core) as Millis * CANDIDATE_RANK_DELAY_MS + jitter_ms
    }
}

/// Builds the record that proposes a new primary. Any replica may be named, as each holds all committed data;
/// the replica with the longest log saves snapshots.
pub(crate) fn elected_record(
    core: &CoordinatorCore,
    promises: &BTreeMap<DiskId, Promise>,
) -> EpochRecord {
    let base = core.record();
    let own_id = core.id();
    let position = |id: DiskId| promises.get(&id).map(|promise| promise.position);
    let reporting_replicas: Vec<DiskId> = base
        .replicas
        .iter()
        .copied()
        .filter(|id| position(*id).is_some())
        .collect();
    let replica_with_longest_log = reporting_replicas
        .iter()
        .copied()
        .max_by_key(|id| (position(*id), *id == own_id));
    let primary = replica_with_longest_log.unwrap_or(own_id);
    let has_enough_replicas = reporting_replicas.len() >= core.min_replica_count(base);
    // With too few replicas alive, the record keeps all of them: any of the others may hold the only copy of
    // a committed batch.
    let mut replicas = if has_enough_replicas {
        reporting_replicas
    } else {
        base.replicas.clone()
    };
    replicas.retain(|id| *id != primary);
    replicas.insert(0, primary);
    if has_enough_replicas {
        replicas.truncate(core.target_replica_count());
    }
    EpochRecord {
        epoch: base.epoch + 1,
        term: base.epoch + 1,
        primary: Some(primary),
        replicas,
        members: base.members.clone(),
        proposer: own_id,
    }
}
