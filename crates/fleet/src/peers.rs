//! What a member knows of each other one beside its membership: when it was last heard, and how much of the own usage
//! counters it holds.

use crate::incarnation::Micros;
use crate::membership::Member;
use std::collections::BTreeMap;
use std::sync::Arc;

/// What is known of one other member.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peer {
    /// The number of its incarnation.
    pub(crate) incarnation: u64,
    /// When a datagram of it was last received; 0 if none ever was.
    pub(crate) last_heard: Micros,
    /// Up to which version it holds the own counters, as far as it has said.
    pub(crate) acknowledged_version: u64,
    /// Up to which version the own counters were sent to it.
    sent_version: u64,
    sent_at: Micros,
}

impl Peer {
    /// Takes what the peer says it holds.
    pub(crate) fn on_acknowledged(&mut self, version: u64) {
        self.acknowledged_version = self.acknowledged_version.max(version);
    }

    /// From which version the own counters are to be sent, if the peer lacks any. What was sent is not sent again before
    /// `answer_time` has passed, in which it could have been acknowledged.
    pub(crate) fn version_to_send_from(
        &mut self,
        now: Micros,
        answer_time: Micros,
        own_version: u64,
    ) -> Option<u64> {
        let awaits_answer = now.saturating_sub(self.sent_at) < answer_time;
        let from = if awaits_answer {
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

/// All other members that were heard of, by name.
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

    /// Notes that a datagram came; false if it is from an earlier incarnation than the one that is known.
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
        peer.last_heard = now;
        true
    }

    /// Notes a member that is up. A new incarnation begins from nothing: it holds no copy of the own counters, and what
    /// it lent before ends by itself.
    pub(crate) fn on_member_up(&mut self, now: Micros, member: &Member) {
        let peer = self.entry(&member.name);
        if member.number > peer.incarnation {
            *peer = Peer {
                incarnation: member.number,
                last_heard: now,
                ..Peer::default()
            };
        }
    }

    pub(crate) fn remove(&mut self, name: &str) {
        self.by_name.remove(name);
    }

    /// The names of members that were heard within this time.
    pub(crate) fn heard_within(&self, now: Micros, time: Micros) -> Vec<Arc<str>> {
        let heard = |peer: &Peer| now.saturating_sub(peer.last_heard) < time;
        self.by_name
            .iter()
            .filter(|(_, peer)| heard(peer))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// The highest version of the own counters that at least `copies` of the peers hold for which `is_alive` holds;
    /// `copies` is above 0.
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
