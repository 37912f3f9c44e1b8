//! Replication of the usage counters: the receivers of digests and deltas, and the version of the local
//! counters that other members hold.

use crate::incarnation::{Incarnation, Micros};
use crate::membership::{Member, Membership};
use crate::outbox::truncate_to_datagram;
use crate::peers::{Peer, Peers};
use crate::settings::FleetSettings;
use crate::usage::{UsageKey, UsageValues};
use crate::usage_counters::{Delta, UsageCounters, UsageDigest, VersionSummary};
use std::sync::Arc;

/// Maximum number of deltas sent in answer to one digest.
const DELTAS_PER_REPLY: usize = 32;
/// Maximum number of summaries in one digest.
const SUMMARIES_PER_DIGEST: usize = 64;
/// A reply to a digest has at most this many more summaries than the digest.
const EXTRA_SUMMARIES: usize = 8;
/// Gossip intervals after which a superseded incarnation may be compacted.
const COMPACTION_DELAY_INTERVALS: u64 = 100;

/// The answer to a digest, sent in the order of the fields.
pub(crate) struct DigestAnswer {
    /// Deltas that the sender of the digest lacks.
    pub(crate) deltas: Vec<Delta>,
    /// A digest of the same interval, if it is requested.
    pub(crate) reply: Option<UsageDigest>,
}

/// Deltas of the local counters that a member lacks.
pub(crate) struct OutboundDeltas {
    pub(crate) to: Member,
    pub(crate) deltas: Vec<Delta>,
}

/// The usage counters, and the versions of the local ones that other members hold.
pub(crate) struct UsageReplication {
    local: Incarnation,
    required_copies: usize,
    gossip_interval: Micros,
    forget_after: Micros,
    counters: UsageCounters,
    peers: Peers,
    /// The next digest starts after this name.
    digest_cursor: Option<Arc<str>>,
    handover_started: bool,
}

impl UsageReplication {
    pub(crate) fn new(settings: &FleetSettings) -> UsageReplication {
        UsageReplication {
            local: settings.local.clone(),
            required_copies: settings.required_copies,
            gossip_interval: settings.gossip_interval,
            forget_after: settings.forget_after,
            counters: UsageCounters::new(settings.local.clone()),
            peers: Peers::default(),
            digest_cursor: None,
            handover_started: false,
        }
    }

    pub(crate) fn counters(&self) -> &UsageCounters {
        &self.counters
    }

    pub(crate) fn peer(&self, name: &str) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Increments the local counters; returns the version that includes the increment.
    pub(crate) fn increment(&mut self, key: UsageKey, values: &UsageValues) -> u64 {
        self.counters.increment(key, values)
    }

    /// Records a received datagram; returns false if it is from an earlier incarnation than the known one.
    pub(crate) fn on_datagram(&mut self, now: Micros, sender: &Member) -> bool {
        self.peers.on_datagram(now, sender)
    }

    /// Records a member that is up.
    pub(crate) fn on_member_up(&mut self, now: Micros, member: &Member) {
        self.peers.on_member_up(now, member);
    }

    /// Treats a member as silent for longer than `forget_after`.
    pub(crate) fn forget_member(&mut self, name: &str) {
        self.peers.remove(name);
    }

    /// Records the version of the local counters that a peer acknowledged, capped at the current version.
    pub(crate) fn on_acknowledged(&mut self, peer: &Arc<str>, version: u64) {
        let version = version.min(self.counters.own_version());
        self.peers.entry(peer).on_acknowledged(version);
    }

    /// Handles a peer's digest.
    pub(crate) fn on_digest(&mut self, peer: &Arc<str>, digest: UsageDigest) -> DigestAnswer {
        let deltas = self.counters.deltas_for(peer, &digest, DELTAS_PER_REPLY);
        let reply = digest.reply_wanted.then(|| UsageDigest {
            summaries: self.summaries_within(&digest),
            reply_wanted: false,
            ..digest
        });
        DigestAnswer { deltas, reply }
    }

    /// Summaries of the local state for the names that a peer's digest covers.
    fn summaries_within(&self, digest: &UsageDigest) -> Vec<VersionSummary> {
        let limit = digest.summaries.len() + EXTRA_SUMMARIES;
        let mut summaries = self.counters.summaries(digest.after.as_ref(), limit);
        summaries.retain(|summary| digest.covers(&summary.name));
        truncate_to_datagram(&mut summaries);
        summaries
    }

    /// Merges deltas; returns the version to acknowledge if any of them belong to the sender's own counters.
    pub(crate) fn on_deltas(
        &mut self,
        sender: &Incarnation,
        deltas: &[Delta],
        newest_period: u32,
    ) -> Option<u64> {
        let mut has_rows_of_sender = false;
        for delta in deltas {
            self.counters.merge(delta, newest_period);
            if let Delta::Incarnation { incarnation, .. } = delta {
                has_rows_of_sender |= incarnation == sender;
            }
        }
        has_rows_of_sender.then(|| self.counters.version_of(sender))
    }

    /// Builds a digest of the names after the cursor, and advances the cursor.
    pub(crate) fn next_digest(&mut self) -> UsageDigest {
        let after = self.digest_cursor.take();
        let mut summaries = self
            .counters
            .summaries(after.as_ref(), SUMMARIES_PER_DIGEST);
        let reaches_end = summaries.len() < SUMMARIES_PER_DIGEST;
        let last = truncate_to_datagram(&mut summaries) && reaches_end;
        if !last {
            self.digest_cursor = summaries.last().map(|summary| summary.name.clone());
        }
        UsageDigest {
            after,
            last,
            summaries,
            reply_wanted: true,
        }
    }

    /// Deltas of the local counters for the ring successors that lack any.
    pub(crate) fn own_deltas_to_send(
        &mut self,
        now: Micros,
        membership: &Membership,
    ) -> Vec<OutboundDeltas> {
        let own_version = self.counters.own_version();
        let needs_copies = self.required_copies > 0 || self.handover_started;
        if own_version == 0 || !needs_copies {
            return Vec::new();
        }
        let ack_timeout = self.gossip_interval / 2;
        let mut outbound = Vec::new();
        for to in self.ring_successors(membership) {
            let peer = self.peers.entry(&to.name);
            if let Some(from) = peer.version_to_send_from(now, ack_timeout, own_version) {
                let deltas = self.counters.own_deltas_since(from);
                outbound.push(OutboundDeltas { to, deltas });
            }
        }
        outbound
    }

    /// The members that follow this one in the ring of names, one more than the required copies.
    fn ring_successors(&self, membership: &Membership) -> Vec<Member> {
        let mut alive: Vec<&Member> = membership.alive().collect();
        alive.sort_by(|a, b| a.name.cmp(&b.name));
        let position = alive.partition_point(|member| member.name <= self.local.name);
        let (before, behind) = alive.split_at(position);
        behind
            .iter()
            .chain(before)
            .take(self.required_copies + 1)
            .map(|member| (*member).clone())
            .collect()
    }

    /// The version of the local counters that the required number of other members hold, not counting members
    /// declared dead.
    pub(crate) fn replicated_version(&self, membership: &Membership) -> u64 {
        let copies = if cfg!(feature = "mutant-copies") {
            0
        } else {
            self.required_copies
        };
        if copies == 0 {
            return self.counters.own_version();
        }
        let is_alive = |name: &Arc<str>| membership.alive().any(|member| member.name == *name);
        self.peers.replicated_version(copies, is_alive)
    }

    /// Replicates the local counters to another member from now on, even if no copies are required.
    pub(crate) fn start_handover(&mut self) {
        self.handover_started = true;
    }

    /// Whether enough other members hold all local counters, or no other member is alive.
    pub(crate) fn handover_complete(&self, membership: &Membership) -> bool {
        let own_version = self.counters.own_version();
        if own_version == 0 {
            return true;
        }
        let mut alive = 0;
        let mut holders = 0;
        for member in membership.alive() {
            alive += 1;
            let peer = self.peers.get(&member.name);
            let holds_all = peer.is_some_and(|peer| peer.acknowledged_version >= own_version);
            holders += usize::from(holds_all);
        }
        alive == 0 || holders >= self.required_copies.max(1)
    }

    /// Compacts incarnations that have ended, and drops old periods.
    pub(crate) fn compact(&mut self, now: Micros) {
        let others = self.peers.received_within(now, self.forget_after);
        let delay = self.gossip_interval * COMPACTION_DELAY_INTERVALS;
        self.counters.compact(now, delay, &others);
        self.counters.drop_old_periods();
    }
}
