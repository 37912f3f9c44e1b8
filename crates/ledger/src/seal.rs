//! Seals: the hash over a closed period's content. Performs no I/O.

use crate::period::Period;
use std::collections::BTreeMap;

/// Position of a block in the ledger, and its number of entries.
#[derive(Clone, Copy, Debug)]
pub struct BlockPosition {
    /// Period in which the block is booked.
    pub period: Period,
    /// Epoch of the block's entries.
    pub epoch: u64,
    /// Sequence number of the first entry.
    pub first: u64,
    /// Sequence number of the last entry.
    pub last: u64,
    /// Number of entries in the block.
    pub entries: u64,
}

/// Hashes a block's bytes and position. The hash is truncated to 16 bytes.
pub fn block(position: &BlockPosition, body: &[u8]) -> [u8; 16] {
    let mut hash = blake3::Hasher::new();
    hash.update(b"streamusher block 1");
    hash.update(&position.period.start_s().to_le_bytes());
    for n in [
        position.epoch,
        position.first,
        position.last,
        position.entries,
    ] {
        hash.update(&n.to_le_bytes());
    }
    hash.update(body);
    let mut truncated = [0; 16];
    truncated.copy_from_slice(&hash.finalize().as_bytes()[..16]);
    truncated
}

/// Incremental computation of a seal. It covers the preceding seal, the blocks in order, the names that they
/// use, the delivery marks of their answers, and the corrections in order.
pub struct Chain(blake3::Hasher);

impl Chain {
    /// Starts with the seal of the preceding period, all zeros for the first one.
    pub fn new(before: &[u8], instance: &str, period: Period) -> Chain {
        let mut hash = blake3::Hasher::new();
        hash.update(b"streamusher seal 1");
        hash.update(before);
        hash.update(&(instance.len() as u64).to_le_bytes());
        hash.update(instance.as_bytes());
        hash.update(period.to_string().as_bytes());
        Chain(hash)
    }

    /// Adds a block by its position and hash.
    pub fn block(&mut self, epoch: u64, first: u64, hash: &[u8]) {
        self.0.update(b"b");
        self.0.update(&epoch.to_le_bytes());
        self.0.update(&first.to_le_bytes());
        self.0.update(hash);
    }

    /// Adds the names that the entries use, in the order of their ids.
    pub fn names(&mut self, names: &BTreeMap<u32, String>) {
        for (n, name) in names {
            self.0.update(b"n");
            self.0.update(&n.to_le_bytes());
            self.0.update(&(name.len() as u64).to_le_bytes());
            self.0.update(name.as_bytes());
        }
    }

    /// Adds the encoded delivery marks of the period's epochs.
    pub fn marks(&mut self, bytes: &[u8]) {
        self.0.update(b"m");
        self.0.update(&(bytes.len() as u64).to_le_bytes());
        self.0.update(bytes);
    }

    /// Adds an encoded correction with its number.
    pub fn correction(&mut self, number: u64, bytes: &[u8]) {
        self.0.update(b"c");
        self.0.update(&number.to_le_bytes());
        self.0.update(&(bytes.len() as u64).to_le_bytes());
        self.0.update(bytes);
    }

    /// Returns the finished seal.
    pub fn finish(self) -> [u8; 32] {
        *self.0.finalize().as_bytes()
    }
}
