//! The tree that every process computes from the membership.
//!
//! Members are ordered by a hash of their address. The first [`FAN_OUT`] are the children of the root, the next ones are the
//! children of the first member, and so on.

use super::address_hash::stable_hash;
use super::membership::RelayMembership;
use super::message::RelayPeer;
use std::sync::Arc;

/// Children of a member: four levels reach 4,680 members, and a member sends 40 heartbeats a second.
pub const FAN_OUT: usize = 8;

/// The tree of one membership.
#[derive(Clone, Debug, Default)]
pub struct RelayTree {
    /// Sorted by hash, then by address.
    members: Vec<HashedMember>,
}

/// The order of the fields is that in which members are compared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HashedMember {
    hash: u64,
    address: Arc<str>,
}

impl RelayTree {
    /// The tree of a membership. Addresses that occur twice count once.
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

    /// The children of the root.
    pub fn children_of_root(&self) -> Vec<Arc<str>> {
        self.children_from(0)
    }

    /// The children of a member; none where the address is not a member's.
    pub fn children(&self, address: &str) -> Vec<Arc<str>> {
        match self.search(address) {
            Ok(index) => self.children_from(FAN_OUT * (index + 1)),
            Err(_) => Vec::new(),
        }
    }

    /// The peers to which a member sends its requests, in this order: parent, grandparent and so on, the primary last.
    ///
    /// One that is not in the membership yet gets the ancestors that it would have if it were. An ancestor therefore always
    /// has a lower hash, and members with different memberships never send their requests in a circle.
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

    /// The index of a member, or that at which it would be inserted.
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
