//! The members of the relay tree, by leases that each renews at the primary.
//!
//! Kept in memory only: members renew at a new primary at once, which waits [`GATHERING`] for them.

use super::tree::RelayMembership;
use super::{GATHERING, LEASE, ROSTER_INTERVAL};
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_protocol::Millis;

/// Bits of a roster's version below the epoch: a primary would make that many changes in thirty years.
const EPOCH_SHIFT: u32 = 32;

/// The leases at one primary, and the roster that they make.
#[derive(Clone, Debug)]
pub struct MemberLeases {
    /// When each lease is over.
    until: BTreeMap<Arc<str>, Millis>,
    roster: RelayMembership,
    /// When the roster may change next.
    next_roster: Millis,
}

impl MemberLeases {
    /// The leases of a primary that begins now. Its rosters are newer than those of any earlier epoch.
    pub fn new(epoch: u64, now: Millis) -> MemberLeases {
        let version = epoch.saturating_add(1) << EPOCH_SHIFT;
        MemberLeases {
            until: BTreeMap::new(),
            roster: RelayMembership {
                version,
                members: Vec::new(),
            },
            next_roster: now + GATHERING,
        }
    }

    /// Renews a member's lease, or grants it one.
    pub fn renew(&mut self, now: Millis, address: &Arc<str>) {
        match self.until.get_mut(address) {
            Some(until) => *until = now + LEASE,
            None => {
                self.until.insert(address.clone(), now + LEASE);
            }
        }
    }

    /// The newest roster; none before the first one.
    pub fn roster(&self) -> Option<&RelayMembership> {
        (!self.roster.members.is_empty()).then_some(&self.roster)
    }

    /// Ends leases that are over; gives the roster where it has changed.
    pub fn tick(&mut self, now: Millis) -> Option<&RelayMembership> {
        if now < self.next_roster {
            return None;
        }
        self.until.retain(|_, until| now < *until);
        if self.until.keys().eq(&self.roster.members) {
            return None;
        }
        self.roster = RelayMembership {
            version: self.roster.version + 1,
            members: self.until.keys().cloned().collect(),
        };
        self.next_roster = now + ROSTER_INTERVAL;
        Some(&self.roster)
    }
}
