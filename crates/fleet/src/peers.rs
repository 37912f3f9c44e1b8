//! Per-member state beside the membership protocol: when a datagram was last received, and which version of the
//! local usage counters it holds.

use crate::incarnation::Micros;
use crate::membership::Member;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Replication state of one other member.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peer {
    /// The number of the member's incarnation.
    pub(crate) incarnation: u64,
    /// When a datagram was last received from the member, or a new incarnation of it came up; 0 if neither happened.
    pub(crate) last_received_at: Micros,
    /// The highest version of the local counters that the member has acknowledged.
    pub(crate) acknowledged_version: u64,
    /// The version of the local counters up to which they were sent to the member.
    sent_version: u64,
    sent_at: Micros,
}

impl Peer {
    /// Records a version that the peer has acknowledged.
    pub(crate) fn on_acknowledged(&mut self, version: u64) {
        self.acknowledged_version = self.acknowledged_version.max(version);
    }

    /// The version after which the local counters must be sent, if the peer lacks any. Sent counters are not
    /// sent again until `ack_timeout` has passed without an acknowledgement.
    pub(crate) fn version_to_send_from(
        &mut self,
        now: Micros,
        ack_timeout: Micros,
        own_version: u64,
    ) -> Option<u64> {
        let awaits_ack = now.saturating_sub(self.sent_at) < ack_timeout;
        let from = if awaits_ack {
            self.acknowledged_version.max(self.sent_version)
        } else {
            self.acknowledged_version
        };
        if from >= own_version {
            return None;
        }
        self.sent_version = own_version;
        self.sent_at = now;
        Some(from)
    }
}

/// All other members that are known, by name.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_name: BTreeMap<Arc<str>, Peer>,
}

impl Peers {
    pub(crate) fn get(&self, name: &str) -> Option<&Peer> {
        self.by_name.get(name)
    }

    pub(crate) fn entry(&mut self, name: &Arc<str>) -> &mut Peer {
        self.by_name.entry(name.clone()).or_default()
    }

    /// Records a received datagram; returns false if it is from an earlier incarnation than the known one.
    pub(crate) fn on_datagram(&mut self, now: Micros, sender: &Member) -> bool {
        let peer = self.entry(&sender.name);
        if sender.number < peer.incarnation {
            return false;
        }
        if sender.number > peer.incarnation {
            *peer = Peer {
                incarnation: sender.number,
                ..Peer::default()
            };
        }
        peer.last_received_at = now;
        true
    }

    /// Records a member that is up. A new incarnation starts with empty state: it holds no copy of the local
    /// counters, and the loans of its predecessor expire by themselves.
    pub(crate) fn on_member_up(&mut self, now: Micros, member: &Member) {
        let peer = self.entry(&member.name);
        if member.number > peer.incarnation {
            *peer = Peer {
                incarnation: member.number,
                last_received_at: now,
                ..Peer::default()
            };
        }
    }

    pub(crate) fn remove(&mut self, name: &str) {
        self.by_name.remove(name);
    }

    /// The names of members from which a datagram was received, or of which a new incarnation came up, within
    /// the last `time`.
    pub(crate) fn received_within(&self, now: Micros, time: Micros) -> Vec<Arc<str>> {
        let is_recent = |peer: &Peer| now.saturating_sub(peer.last_received_at) < time;
        self.by_name
            .iter()
            .filter(|(_, peer)| is_recent(peer))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// The highest version of the local counters that at least `copies` of the peers selected by `is_alive`
    /// hold; `copies` is above 0.
    pub(crate) fn replicated_version(
        &self,
        copies: usize,
        is_alive: impl Fn(&Arc<str>) -> bool,
    ) -> u64 {
        let mut versions: Vec<u64> = self
            .by_name
            .iter()
            .filter(|(name, _)| is_alive(name))
            .map(|(_, peer)| peer.acknowledged_version)
            .collect();
        versions.sort_unstable_by(|a, b| b.cmp(a));
        versions.get(copies - 1).copied().unwrap_or(0)
    }
}
