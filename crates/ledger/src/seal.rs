//! Seals: what a closed period's hash is made of. Pure.

use crate::period::Period;

/// The hash of a block's bytes and place, 16 bytes.
pub fn block(epoch: u64, first: u64, body: &[u8]) -> [u8; 16] {
    let mut hash = blake3::Hasher::new();
    hash.update(b"streamusher block 1");
    hash.update(&epoch.to_le_bytes());
    hash.update(&first.to_le_bytes());
    hash.update(body);
    let mut short = [0; 16];
    short.copy_from_slice(&hash.finalize().as_bytes()[..16]);
    short
}

/// A seal in the making: over the seal before it, the blocks in order, what is known of their answers, and the
/// corrections in order.
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
