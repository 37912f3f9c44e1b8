//! Identity of a change: equal for the same kind, base version and body, on every machine and in every
//! release.
//!
//! The keys of the stored records are derived from it, so neither the digest nor the prefixes may ever
//! change.

use sha2::{Digest, Sha256};
use std::fmt::Write as _;
use std::sync::Arc;

/// Prefix of the record keys of applied changes.
pub const APPLIED_KEY_PREFIX: &str = "order/";

/// Prefix of the record keys of rejected changes.
pub const REJECTED_KEY_PREFIX: &str = "refused/";

/// Number of digest bytes in an identity: 128 bits do not collide by chance, and the keys stay short.
const DIGEST_BYTES: usize = 16;

/// Kind of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// Replacement of the whole configuration.
    Replace,
    /// An update of named items.
    Update,
}

/// Identity of a change, from which the keys of its stored records are derived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeId {
    /// First [`DIGEST_BYTES`] bytes of a SHA-256 digest, in hexadecimal digits.
    hex: String,
}

impl ChangeId {
    /// Computes the identity of a change with this body, based on `base_version`.
    pub fn new(kind: ChangeKind, base_version: u64, body: &str) -> ChangeId {
        let kind = match kind {
            ChangeKind::Replace => b"r",
            ChangeKind::Update => b"u",
        };
        let digest = Sha256::new()
            .chain_update(kind)
            .chain_update(base_version.to_be_bytes())
            .chain_update(body)
            .finalize();
        let mut hex = String::with_capacity(2 * DIGEST_BYTES);
        for byte in &digest[..DIGEST_BYTES] {
            // Writing to a `String` cannot fail.
            let _ = write!(hex, "{byte:02x}");
        }
        ChangeId { hex }
    }

    /// Returns the key of the record that the change was applied.
    pub fn applied_key(&self) -> Arc<str> {
        format!("{APPLIED_KEY_PREFIX}{}", self.hex).into()
    }

    /// Returns the key of the record that the change was rejected.
    pub fn rejected_key(&self) -> Arc<str> {
        format!("{REJECTED_KEY_PREFIX}{}", self.hex).into()
    }
}
