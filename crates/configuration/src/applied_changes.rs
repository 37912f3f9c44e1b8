//! Stable names of orders, and the record of those that were taken: a repeated order is acknowledged again.

use crate::error::RecordError;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::sync::Arc;
use streamusher_protocol::store::Write;

/// Prefix of the keys of orders that were taken.
pub const ORDER_PREFIX: &str = "order/";

/// Orders kept; the oldest are dropped. A day has hundreds of changes, and repeats follow within minutes.
pub const MOST_ORDERS: usize = 4_096;

/// Bytes of the digest in a name: 128 bits never collide by chance, and keys stay short.
const NAME_BYTES: usize = 16;

/// The two kinds of change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// A whole configuration.
    Replace,
    /// A change of named items.
    Update,
}

/// The key of an order's record: the same for the same kind, base version and body, on every machine and for ever.
pub fn order_key(kind: ChangeKind, base: u64, body: &str) -> Arc<str> {
    let kind = match kind {
        ChangeKind::Replace => b"r",
        ChangeKind::Update => b"u",
    };
    let digest = Sha256::new()
        .chain_update(kind)
        .chain_update(base.to_be_bytes())
        .chain_update(body);
    let mut key = String::from(ORDER_PREFIX);
    for byte in &digest.finalize()[..NAME_BYTES] {
        // Writing to a text cannot fail.
        let _ = write!(key, "{byte:02x}");
    }
    key.into()
}

/// An order that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedChange {
    /// The version that it made.
    pub version: u64,
    /// The version on which it built.
    pub base: u64,
    /// Length of its body, in bytes.
    pub length: u64,
}

/// The orders that were taken, by key and by the version that they made.
#[derive(Clone, Debug, Default)]
pub struct AppliedChanges {
    by_key: HashMap<Arc<str>, AppliedChange>,
    by_version: BTreeMap<u64, Arc<str>>,
}

impl AppliedChanges {
    /// How many are kept.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// The newest of them.
    pub fn newest(&self) -> Option<(&Arc<str>, u64)> {
        self.by_version
            .last_key_value()
            .map(|(version, key)| (key, *version))
    }

    /// The version that this order has made, if it was taken.
    pub fn find(&self, key: &str, base: u64, body: &str) -> Option<u64> {
        let taken = self.by_key.get(key)?;
        let same = taken.base == base && taken.length == body.len() as u64;
        same.then_some(taken.version)
    }

    /// Whether an order that builds on `base` may have been taken and forgotten since. The orders that are kept build on
    /// rising versions, so it lies before all of them.
    pub fn may_have_forgotten(&self, base: u64) -> bool {
        let oldest = self
            .by_version
            .first_key_value()
            .and_then(|(_, key)| self.by_key.get(key));
        self.by_version.len() >= MOST_ORDERS && oldest.is_some_and(|oldest| base < oldest.base)
    }

    /// Keeps an order; returns what to write for it and for those that are dropped.
    pub fn take(&mut self, key: Arc<str>, order: AppliedChange) -> Vec<Write> {
        let AppliedChange {
            version,
            base,
            length,
        } = order;
        let value = format!(r#"{{"version":{version},"base":{base},"length":{length}}}"#);
        let mut writes = vec![Write::set(key.clone(), value)];
        self.insert(key, order);
        while self.by_version.len() > MOST_ORDERS {
            let Some((_, oldest)) = self.by_version.pop_first() else {
                break;
            };
            self.by_key.remove(&oldest);
            writes.push(Write::remove(oldest));
        }
        writes
    }

    /// Takes over a stored record.
    ///
    /// # Errors
    /// [`RecordError::Damaged`] where it cannot be read.
    pub fn recover(&mut self, key: Arc<str>, value: &str) -> Result<(), RecordError> {
        let order = serde_json::from_str(value).map_err(|error| RecordError::Damaged {
            key: key.to_string(),
            cause: error.to_string(),
        })?;
        self.insert(key, order);
        Ok(())
    }

    fn insert(&mut self, key: Arc<str>, order: AppliedChange) {
        self.by_version.insert(order.version, key.clone());
        self.by_key.insert(key, order);
    }
}
