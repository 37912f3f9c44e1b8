//! What a member sends of itself: own counts to those that are to hold them, and in each period digests, words, and calls
//! for rights.

use crate::frame::Body;
use crate::life::Micros;
use crate::members::Member;
use crate::node::{fit, Node, Peer};
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::sync::Arc;

/// Gossip periods after which a superseded life may be folded.
const SETTLE: u64 = 100;
/// Gossip periods between two looks for lives to fold.
const FOLD: u64 = 10;
/// Observations sent along with a digest.
const WORDS: usize = 6;

impl Node {
    /// Sends own counts on, where others lack them.
    pub fn flush(&mut self, now: Micros) {
        let version = self.counts.version();
        if version == 0 || self.setup.copies == 0 && !self.ending {
            return;
        }
        for to in self.ring() {
            let peer = self.peers.entry(to.name.clone()).or_default();
            // What was sent is not sent again before it could have been answered.
            let waits = now.saturating_sub(peer.sent.1) < self.setup.gossip / 2;
            let from = if waits {
                peer.have.max(peer.sent.0)
            } else {
                peer.have
            };
            if from < version {
                peer.sent = (version, now);
                let rows = self.counts.own_since(from);
                self.send_rows(&to, rows);
            }
        }
    }

    /// The members behind this one in the ring of names, one more than the copies wanted.
    pub(crate) fn ring(&self) -> Vec<Member> {
        let mut alive: Vec<&Member> = self.members.alive().collect();
        alive.sort_by(|a, b| a.name.cmp(&b.name));
        let at = alive.partition_point(|m| m.name <= self.setup.me.name);
        alive[at..]
            .iter()
            .chain(&alive[..at])
            .take(self.setup.copies + 1)
            .map(|m| (*m).clone())
            .collect()
    }

    /// The version of own counts that enough other members hold, of those not thought dead.
    pub fn safe(&self) -> u64 {
        let copies = if cfg!(feature = "mutant-copies") {
            0
        } else {
            self.setup.copies
        };
        let Some(last) = copies.checked_sub(1) else {
            return self.counts.version();
        };
        let alive = |name: &Arc<str>| self.members.alive().any(|m| m.name == *name);
        let mut have: Vec<u64> = self
            .peers
            .iter()
            .filter(|(n, _)| alive(n))
            .map(|(_, p)| p.have)
            .collect();
        have.sort_unstable_by(|a, b| b.cmp(a));
        have.get(last).copied().unwrap_or(0)
    }

    pub(crate) fn round(&mut self, now: Micros) {
        self.rounds += 1;
        let alive: Vec<Member> = self.members.alive().cloned().collect();
        for to in alive.iter().sample(&mut self.rng, 2) {
            let mut holds = self.counts.digest(self.cursor.as_ref(), 64);
            let whole = holds.len() < 64;
            let last = fit(&mut holds) && whole;
            let next = if last {
                None
            } else {
                holds.last().map(|h| h.name.clone())
            };
            let from = std::mem::replace(&mut self.cursor, next);
            self.send(
                to,
                Body::Digest {
                    from,
                    last,
                    holds,
                    answer: true,
                },
            );
            let words = self.judge.words(now, WORDS);
            if !words.is_empty() {
                self.send(to, Body::Words(words));
            }
        }
        // Those that the file names and that are not there are called, one in each round.
        let known = |a: &SocketAddr| *a == self.setup.addr || alive.iter().any(|m| m.addr == *a);
        let missing = self
            .setup
            .join
            .iter()
            .filter(|a| !known(a))
            .choose(&mut self.rng)
            .copied();
        if let Some(addr) = missing.filter(|_| alive.is_empty() || self.rounds.is_multiple_of(4)) {
            self.send_to(addr, Body::Hello);
        }
        let names: Vec<Arc<str>> = alive.iter().map(|m| m.name.clone()).collect();
        for budget in 0..self.wants.len() {
            let pocket = &self.rights.pockets[budget];
            let ((own, borrowed), used, denied) =
                (pocket.rights(), pocket.used(), pocket.take_denied());
            let rights = own + borrowed;
            // What was denied is asked for, by half as much again at a time; what is not used goes slowly.
            self.wants[budget] = match denied {
                0 => used.max(self.wants[budget].saturating_sub(self.wants[budget].div_ceil(10))),
                n => (rights.max(used) + n.min(rights / 2 + 4))
                    .min(self.setup.terms.budgets[budget].units),
            };
            for (name, ask) in self.rights.want(now, budget, self.wants[budget], &names) {
                if let Some(to) = alive.iter().find(|m| m.name == name) {
                    self.send(to, Body::Ask(ask));
                }
            }
        }
        if self.rounds.is_multiple_of(FOLD) {
            let others = self.not_forgotten(now);
            self.counts.fold(now, self.setup.gossip * SETTLE, &others);
            self.counts.forget_old_periods();
        }
        self.flush(now);
    }

    pub(crate) fn not_forgotten(&self, now: Micros) -> Vec<Arc<str>> {
        let heard = |p: &Peer| now.saturating_sub(p.heard) < self.setup.forget;
        self.peers
            .iter()
            .filter(|(_, p)| heard(p))
            .map(|(n, _)| n.clone())
            .collect()
    }
}
