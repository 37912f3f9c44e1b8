//! Seals: what a closed period's hash is made of. Pure.

use crate::period::Period;
use std::collections::BTreeMap;

/// Where a block stands and what it holds.
#[derive(Clone, Copy, Debug)]
pub struct BlockPosition {
    /// The period that it is booked in.
    pub period: Period,
    /// The epoch of its entries.
    pub epoch: u64,
    /// The number of its first entry.
    pub first: u64,
    /// The number of its last one.
    pub last: u64,
    /// How many it holds.
    pub entries: u64,
}

/// The hash of a block's bytes and place, 16 bytes.
pub fn block(at: &BlockPosition, body: &[u8]) -> [u8; 16] {
    let mut hash = blake3::Hasher::new();
    hash.update(b"streamusher block 1");
    hash.update(&at.period.start_s().to_le_bytes());
    for n in [at.epoch, at.first, at.last, at.entries] {
        hash.update(&n.to_le_bytes());
    }
    hash.update(body);
    let mut short = [0; 16];
    short.copy_from_slice(&hash.finalize().as_bytes()[..16]);
    short
}

/// A seal in the making: over the seal before it, the blocks in order, the names that they use, what is known of their
/// answers, and the corrections in order.
pub struct Chain(blake3::Hasher);

impl Chain {
    /// Begins with the seal before, zeros for the first.
    pub fn new(before: &[u8], instance: &str, period: Period) -> Chain {
        let mut hash = blake3::Hasher::new();
        hash.update(b"streamusher seal 1");
        hash.update(before);
        hash.update(&(instance.len() as u64).to_le_bytes());
        hash.update(instance.as_bytes());
        hash.update(period.to_string().as_bytes());
        Chain(hash)
    }

    /// Adds a block, by its hash.
    pub fn block(&mut self, epoch: u64, first: u64, hash: &[u8]) {
        self.0.update(b"b");
        self.0.update(&epoch.to_le_bytes());
        self.0.update(&first.to_le_bytes());
        self.0.update(hash);
    }

    /// Adds the names that the entries use, by their numbers.
    pub fn names(&mut self, names: &BTreeMap<u32, String>) {
        for (n, name) in names {
            self.0.update(b"n");
            self.0.update(&n.to_le_bytes());
            self.0.update(&(name.len() as u64).to_le_bytes());
            self.0.update(name.as_bytes());
        }
    }

    /// Adds what is known of the answers.
    pub fn marks(&mut self, bytes: &[u8]) {
        self.0.update(b"m");
        self.0.update(&(bytes.len() as u64).to_le_bytes());
        self.0.update(bytes);
    }

    /// Adds a correction.
    pub fn correction(&mut self, no: u64, bytes: &[u8]) {
        self.0.update(b"c");
        self.0.update(&no.to_le_bytes());
        self.0.update(&(bytes.len() as u64).to_le_bytes());
        self.0.update(bytes);
    }

    /// The seal.
    pub fn end(self) -> [u8; 32] {
        *self.0.finalize().as_bytes()
    }
}
