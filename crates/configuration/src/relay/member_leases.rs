//! Membership of the relay tree, determined by leases that each member renews at the primary.
//!
//! Leases are kept in memory only: members renew theirs at a new primary, which waits
//! [`MEMBERSHIP_WARM_UP_MS`] for the renewals.

use super::membership::RelayMembership;
use super::timing::{LEASE_MS, MEMBERSHIP_INTERVAL_MS, MEMBERSHIP_WARM_UP_MS};
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_protocol::Millis;

/// Bits of a membership's version below the epoch. A primary would need thirty years for that many changes.
const EPOCH_SHIFT: u32 = 32;

/// Leases held at one primary, and the resulting membership.
#[derive(Clone, Debug)]
pub struct MemberLeases {
    /// Expiry time of each lease, by the member's address.
    expirations: BTreeMap<Arc<str>, Millis>,
    membership: RelayMembership,
    /// Earliest time of the next change of the membership.
    next_membership_at: Millis,
}

impl MemberLeases {
    /// Creates the leases at a primary that was elected in `epoch`. Its memberships are newer than those of
    /// any earlier epoch.
    pub fn new(epoch: u64, now: Millis) -> MemberLeases {
        let version = epoch.saturating_add(1) << EPOCH_SHIFT;
        MemberLeases {
            expirations: BTreeMap::new(),
            membership: RelayMembership {
                version,
                members: Vec::new(),
            },
            next_membership_at: now + MEMBERSHIP_WARM_UP_MS,
        }
    }

    /// Renews the lease of a member, or grants one.
    pub fn renew(&mut self, now: Millis, address: &Arc<str>) {
        self.expirations.insert(address.clone(), now + LEASE_MS);
    }

    /// Returns the newest membership; `None` while it has no members.
    pub fn membership(&self) -> Option<&RelayMembership> {
        (!self.membership.members.is_empty()).then_some(&self.membership)
    }

    /// Removes expired leases; returns the membership if it has changed.
    pub fn tick(&mut self, now: Millis) -> Option<&RelayMembership> {
        if now < self.next_membership_at {
            return None;
        }
        self.expirations.retain(|_, expires_at| now < *expires_at);
        if self.expirations.keys().eq(&self.membership.members) {
            return None;
        }
        self.membership = RelayMembership {
            version: self.membership.version + 1,
            members: self.expirations.keys().cloned().collect(),
        };
        self.next_membership_at = now + MEMBERSHIP_INTERVAL_MS;
        Some(&self.membership)
    }
}
