//! Tree that every process computes from the membership.
//!
//! Members are ordered by a hash of their address. The first [`FAN_OUT`] members are the children of the
//! root, the next ones are the children of the first member, and so on.

use super::address_hash::stable_hash;
use super::membership::RelayMembership;
use super::message::RelayPeer;
use std::sync::Arc;

/// Maximum number of children of a member: four levels reach 4,680 members, and a member sends 40 heartbeats
/// per second.
pub const FAN_OUT: usize = 8;

/// Relay tree of one membership.
#[derive(Clone, Debug, Default)]
pub struct RelayTree {
    /// Sorted by hash, then by address.
    members: Vec<HashedMember>,
}

/// The field order is the order in which members are compared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HashedMember {
    hash: u64,
    address: Arc<str>,
}

impl RelayTree {
    /// Computes the tree of a membership. Duplicate addresses count once.
    pub fn new(membership: &RelayMembership) -> RelayTree {
        let mut members: Vec<HashedMember> = membership
            .members
            .iter()
            .map(|address| HashedMember {
                hash: stable_hash(address),
                address: address.clone(),
            })
            .collect();
        members.sort();
        members.dedup();
        RelayTree { members }
    }

    /// Returns the children of the root.
    pub fn children_of_root(&self) -> Vec<Arc<str>> {
        self.children_from(0)
    }

    /// Returns the children of a member; empty if the address does not belong to the membership.
    pub fn children(&self, address: &str) -> Vec<Arc<str>> {
        match self.search(address) {
            Ok(index) => self.children_from(FAN_OUT * (index + 1)),
            Err(_) => Vec::new(),
        }
    }

    /// Returns the peers to which a member sends its requests, in this order: parent, grandparent and so on,
    /// the primary last.
    ///
    /// An address that is not in the membership yet gets the ancestors that it would have as a member.
    /// Therefore an ancestor always has a lower hash, and requests between members with different memberships
    /// never form a cycle.
    pub fn ancestors(&self, address: &str) -> Vec<RelayPeer> {
        let mut ancestors = Vec::new();
        let mut index = self.search(address).unwrap_or_else(|insertion| insertion);
        while index >= FAN_OUT {
            index = index / FAN_OUT - 1;
            let ancestor = self.members.get(index);
            ancestors.extend(ancestor.map(|member| RelayPeer::Member(member.address.clone())));
        }
        ancestors.push(RelayPeer::Primary);
        ancestors
    }

    /// Returns the index of a member, or as an error the index at which it would be inserted.
    fn search(&self, address: &str) -> Result<usize, usize> {
        let wanted = (stable_hash(address), address);
        self.members
            .binary_search_by(|member| (member.hash, &*member.address).cmp(&wanted))
    }

    fn children_from(&self, first: usize) -> Vec<Arc<str>> {
        let children = self.members.iter().skip(first).take(FAN_OUT);
        children.map(|member| member.address.clone()).collect()
    }
}
