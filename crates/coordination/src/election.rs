//! When a replica stands for election, and what it proposes then.
//!
//! Leases: a replica does not stand for election within a lease of its last acknowledgement of a keepalive, so that no
//! successor is decided while the primary may still act (`docs/design/control-state.md`, point 1).

use crate::coordinator_core::CoordinatorCore;
use crate::proposal::Promise;
use crate::record::{DiskId, EpochRecord};
use crate::timing::{CANDIDATE_RANK_DELAY_MS, MAX_CANDIDATE_JITTER_MS};
use rand::Rng;
use std::collections::BTreeMap;
use streamusher_protocol::Millis;

/// A replica's knowledge of the primary, and its plan to replace it.
#[derive(Clone, Debug)]
pub(crate) struct Election {
    /// When this member last promised not to stand for election: its last acknowledgement of a keepalive, or its start, as
    /// it may have forgotten one.
    promised_ms: Millis,
    /// When the primary was last heard.
    primary_heard_ms: Option<Millis>,
    /// A term whose primary has restarted or stepped down.
    ended_term: Option<u64>,
    /// When this member will stand for election.
    stand_at_ms: Option<Millis>,
}

impl Election {
    /// A member that has just started.
    pub(crate) fn new(now_ms: Millis) -> Election {
        Election {
            promised_ms: now_ms,
            primary_heard_ms: None,
            ended_term: None,
            stand_at_ms: None,
        }
    }

    /// When the primary was last heard.
    pub(crate) fn primary_heard_ms(&self) -> Option<Millis> {
        self.primary_heard_ms
    }

    /// A newer record is known: whatever was planned is over.
    pub(crate) fn on_record_adopted(&mut self, now_ms: Millis) {
        self.stand_at_ms = None;
        self.promised_ms = now_ms;
    }

    /// The primary was heard.
    pub(crate) fn on_primary_heard(&mut self, now_ms: Millis) {
        self.primary_heard_ms = Some(now_ms);
    }

    /// A keepalive is acknowledged.
    pub(crate) fn on_keepalive_acknowledged(&mut self, now_ms: Millis) {
        self.promised_ms = now_ms;
        self.primary_heard_ms = Some(now_ms);
    }

    /// The process has stalled: the primary may have been there meanwhile.
    pub(crate) fn on_process_stalled(&mut self) {
        self.stand_at_ms = None;
    }

    /// The primary of this term has restarted or stepped down.
    pub(crate) fn on_term_ended(&mut self, term: u64) {
        self.ended_term = Some(term);
    }

    /// Whether the primary of this term has restarted or stepped down.
    pub(crate) fn has_ended(&self, term: u64) -> bool {
        self.ended_term == Some(term)
    }

    /// Whether nobody acts by the newest record any more, as far as this replica can know. `is_elected` says that this
    /// member was elected by it and has not begun its term yet.
    fn is_lease_over(&self, core: &CoordinatorCore, is_elected: bool) -> bool {
        let record = core.record();
        if record.epoch == 0 || core.witness.candidate || self.has_ended(record.term) {
            return true;
        }
        if core.is_named_primary() {
            return !is_elected;
        }
        let is_over = core.now_ms >= self.promised_ms + core.settings.lease_ms;
        is_over || cfg!(feature = "mutant-lease")
    }

    /// How many other candidates go first: the replicas named before this one, without a primary that may be lost.
    fn rank(&self, core: &CoordinatorCore) -> usize {
        let record = core.record();
        let lost_primary = record.primary.filter(|_| !self.has_ended(record.term));
        let candidates = record
            .replicas
            .iter()
            .filter(|id| **id == core.id() || Some(**id) != lost_primary);
        candidates.take_while(|id| **id != core.id()).count()
    }

    /// Plans a candidacy when the lease is over; returns whether this replica has to stand for election now.
    pub(crate) fn tick(&mut self, core: &mut CoordinatorCore, is_elected: bool) -> bool {
        let is_replica = core.record().is_replica(core.id());
        if !is_replica || core.is_leaving() || !self.is_lease_over(core, is_elected) {
            self.stand_at_ms = None;
            return false;
        }
        let stand_at_ms = match self.stand_at_ms {
            Some(stand_at_ms) => stand_at_ms,
            None => self.draw_stand_time(core),
        };
        self.stand_at_ms = Some(stand_at_ms);
        core.now_ms >= stand_at_ms
    }

    fn draw_stand_time(&self, core: &mut CoordinatorCore) -> Millis {
        let jitter_ms = core.random.random_range(0..=MAX_CANDIDATE_JITTER_MS);
        core.now_ms + self.rank(core) as Millis * CANDIDATE_RANK_DELAY_MS + jitter_ms
    }
}

/// The record by which a candidate proposes a new primary. Any replica may be named, as each holds all that is committed;
/// the one with the longest log saves snapshots.
pub(crate) fn elected_record(
    core: &CoordinatorCore,
    promises: &BTreeMap<DiskId, Promise>,
) -> EpochRecord {
    let base = core.record();
    let own_id = core.id();
    let position = |id: DiskId| promises.get(&id).map(|promise| promise.position);
    let reported: Vec<DiskId> = base
        .replicas
        .iter()
        .copied()
        .filter(|id| position(*id).is_some())
        .collect();
    let with_longest_log = reported
        .iter()
        .copied()
        .max_by_key(|id| (position(*id), *id == own_id));
    let primary = with_longest_log.unwrap_or(own_id);
    let is_enough = reported.len() >= core.min_replicas(base);
    // With too few replicas alive all of them are kept: any of the others may hold the only copy of a committed batch.
    let mut replicas = if is_enough {
        reported
    } else {
        base.replicas.clone()
    };
    replicas.retain(|id| *id != primary);
    replicas.insert(0, primary);
    if is_enough {
        replicas.truncate(core.target_replicas());
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
