//! The tree that every process computes alike from the same roster.
//!
//! Members stand in the order of a hash of their address; the first [`FAN_OUT`] are the root's children, and so on.

use super::message::RelayPeer;
use super::FAN_OUT;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The live processes of the data plane, as the core knows them by their leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayMembership {
    /// Rises with each change.
    pub version: u64,
    /// Their addresses, in any order.
    pub members: Vec<Arc<str>>,
}

/// The members in the agreed order.
#[derive(Clone, Debug, Default)]
pub struct Tree {
    order: Vec<(u64, Arc<str>)>,
}

impl Tree {
    /// The tree of a roster.
    pub fn new(roster: &RelayMembership) -> Tree {
        let mut order: Vec<_> = roster
            .members
            .iter()
            .map(|member| (hash(member), member.clone()))
            .collect();
        order.sort();
        order.dedup();
        Tree { order }
    }

    /// The members that the root tells.
    pub fn children_of_root(&self) -> Vec<Arc<str>> {
        self.places(0)
    }

    /// The members that this one tells; none for one that is not in the roster.
    pub fn children(&self, address: &str) -> Vec<Arc<str>> {
        match self.place(address) {
            Ok(place) => self.places(FAN_OUT * (place + 1)),
            Err(_) => Vec::new(),
        }
    }

    /// Whom a member asks, in this order: parent, grandparent and so on, the core last.
    ///
    /// One that is not in the roster yet stands where it would if it were. An ancestor thus always comes before in the
    /// agreed order, and members with different rosters never ask in a circle.
    pub fn ancestors(&self, address: &str) -> Vec<RelayPeer> {
        let mut ancestors = Vec::new();
        let mut place = self.place(address).unwrap_or_else(|place| place);
        while place >= FAN_OUT {
            place = place / FAN_OUT - 1;
            ancestors.extend(
                self.order
                    .get(place)
                    .map(|(_, member)| RelayPeer::Member(member.clone())),
            );
        }
        ancestors.push(RelayPeer::Core);
        ancestors
    }

    fn place(&self, address: &str) -> Result<usize, usize> {
        let wanted = (hash(address), address);
        self.order
            .binary_search_by(|(hash, member)| (*hash, &**member).cmp(&wanted))
    }

    fn places(&self, first: usize) -> Vec<Arc<str>> {
        let members = self.order.iter().skip(first).take(FAN_OUT);
        members.map(|(_, member)| member.clone()).collect()
    }
}

/// A hash that is the same on all machines and for ever: FNV-1a, spread by the finalizer of MurmurHash3.
pub(super) fn hash(text: &str) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    }
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
