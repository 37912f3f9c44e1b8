//! Leader term: the state of a primary from its election until it is deposed or steps down.

use crate::coordinator_core::CoordinatorCore;
use crate::peer::{Peer, PeerRole};
use crate::pipeline::BatchPipeline;
use crate::record::{DiskId, EpochRecord};
use crate::status::PeerStatus;
use crate::timing::SLOW_REPLICA_EXCLUSION_MS;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use streamusher_protocol::Millis;

/// A machine that a record of this term removed and that has not been notified yet.
#[derive(Clone, Debug)]
pub(crate) struct RemovedMember {
    /// Epoch of the record that removed the machine.
    pub(crate) epoch: u64,
    pub(crate) address: Arc<str>,
}

/// State of the primary during its term.
///
/// Invariant: while a `LeaderTerm` exists, the newest record names this member as its primary and has the
/// same term. A term belongs to one run of the process: a member that starts with a record that names itself
/// has no `LeaderTerm`.
#[derive(Clone, Debug)]
pub(crate) struct LeaderTerm {
    /// Number of the term: the epoch in which this primary was elected.
    pub(crate) number: u64,
    pub(crate) started_ms: Millis,
    pub(crate) pipeline: BatchPipeline,
    pub(crate) peers: BTreeMap<DiskId, Peer>,
    /// Replicas of own proposals that may still be decided. They are required for the lease and for commits
    /// like the replicas of the record.
    pub(crate) proposed_replicas: BTreeSet<DiskId>,
    /// Whether a successor was proposed or the process has to exit: this primary no longer acts.
    pub(crate) is_stepping_down: bool,
    pub(crate) next_keepalive_ms: Millis,
    /// When this primary could last act; before the first time, the start of the term.
    pub(crate) last_acted_ms: Millis,
    pub(crate) last_snapshot_id: u64,
    pub(crate) removed_members: Vec<RemovedMember>,
    pub(crate) next_reconfiguration_ms: Millis,
}

impl LeaderTerm {
    /// Creates a term that starts now and whose first batch gets the sequence `first_sequence`.
    pub(crate) fn new(number: u64, first_sequence: u64, now_ms: Millis) -> LeaderTerm {
        LeaderTerm {
            number,
            started_ms: now_ms,
            pipeline: BatchPipeline::new(first_sequence),
            peers: BTreeMap::new(),
            proposed_replicas: BTreeSet::new(),
            is_stepping_down: false,
            next_keepalive_ms: now_ms,
            last_acted_ms: now_ms,
            last_snapshot_id: 0,
            removed_members: Vec::new(),
            next_reconfiguration_ms: now_ms,
        }
    }

    /// Whether the first batch of the term is committed: from then on all data that the primary held at its
    /// election is committed.
    pub(crate) fn is_first_batch_committed(&self) -> bool {
        self.pipeline.is_first_batch_committed()
    }

    /// Whether a snapshot is being sent to any member.
    pub(crate) fn is_sending_snapshot(&self) -> bool {
        self.peers.values().any(|peer| peer.snapshot.is_some())
    }

    /// Creates or updates a [`Peer`] for each other member of the newest record and removes the others. A
    /// former replica that is still responsive was too slow and is excluded for a while.
    pub(crate) fn update_peers(&mut self, core: &CoordinatorCore) {
        let (record, now_ms, own_id) = (core.record(), core.now_ms, core.id());
        self.peers.retain(|id, _| record.is_member(*id));
        for member in record.members.iter().filter(|member| member.id != own_id) {
            let address = &member.address.internal;
            let peer = self
                .peers
                .entry(member.id)
                .or_insert_with(|| Peer::new(address.clone(), now_ms));
            peer.address = address.clone();
            if record.is_replica(member.id) {
                peer.role = PeerRole::Replica;
            } else if peer.is_replica() {
                peer.role = PeerRole::Witness;
                if peer.is_responsive(now_ms) {
                    peer.excluded_until_ms = now_ms + SLOW_REPLICA_EXCLUSION_MS;
                }
            }
        }
    }

    /// Sets the members that are brought up to date in addition to the replicas. A learner whose snapshot
    /// makes no progress is excluded for a while.
    pub(crate) fn set_learners(&mut self, learners: &BTreeSet<DiskId>, now_ms: Millis) {
        let others = self.peers.iter_mut().filter(|(_, peer)| !peer.is_replica());
        for (id, peer) in others {
            if peer.is_learner() && peer.has_stuck_snapshot(now_ms) {
                peer.excluded_until_ms = now_ms + SLOW_REPLICA_EXCLUSION_MS;
            }
            if learners.contains(id) {
                peer.role = PeerRole::Learner;
            } else {
                peer.role = PeerRole::Witness;
                peer.snapshot = None;
            }
        }
    }

    /// Records that a record is about to be proposed, from when on it may be decided.
    pub(crate) fn on_record_proposed(&mut self, record: &EpochRecord, own_id: DiskId) {
        self.proposed_replicas
            .extend(record.replicas.iter().copied());
        self.is_stepping_down |= record.primary != Some(own_id);
    }

    /// Handles a decided record with the same primary: no earlier proposal of this primary can be decided any
    /// more.
    pub(crate) fn on_record_decided(&mut self, core: &CoordinatorCore) {
        self.proposed_replicas.clear();
        self.is_stepping_down = false;
        self.update_peers(core);
    }

    /// Handles a stall of this process for `gap_ms`.
    pub(crate) fn on_process_stalled(&mut self, now_ms: Millis, gap_ms: Millis) {
        for peer in self.peers.values_mut() {
            peer.on_process_stalled(now_ms, gap_ms);
        }
    }

    /// Status of the other members.
    pub(crate) fn peer_statuses(&self, now_ms: Millis) -> Vec<PeerStatus> {
        let status = |(id, peer): (&DiskId, &Peer)| PeerStatus {
            id: *id,
            position: peer.position.unwrap_or_default(),
            silent_ms: now_ms.saturating_sub(peer.last_ack_ms),
        };
        self.peers.iter().map(status).collect()
    }
}
