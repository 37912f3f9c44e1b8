//! Orders that were refused because they build on a version to come. An order ends with its first final answer: when that
//! version becomes current, a repeat of the order that was held up on its way is refused again.

use crate::applied_changes::ORDER_PREFIX;
use crate::error::RecordError;
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_protocol::store::Write;

/// Prefix of the keys of refused orders.
pub const REFUSAL_PREFIX: &str = "refused/";

/// Refused orders kept at once. No more is refused above this: an operator has at most eight orders under way.
pub const MOST_REFUSALS: usize = 1_024;

/// The key of the refusal of an order, from the key of the order's record.
pub fn refusal_key(order: &str) -> Arc<str> {
    let name = order.strip_prefix(ORDER_PREFIX).unwrap_or(order);
    format!("{REFUSAL_PREFIX}{name}").into()
}

/// Refused orders that build on versions to come, by key, with the version on which each builds.
#[derive(Clone, Debug, Default)]
pub struct RejectedChanges {
    by_key: BTreeMap<Arc<str>, u64>,
}

impl RejectedChanges {
    /// Whether the order with this key was refused.
    pub fn contains(&self, order: &str) -> bool {
        !self.by_key.is_empty() && self.by_key.contains_key(&refusal_key(order))
    }

    /// Keeps a refusal; returns what to write for it, or none where too many are kept.
    pub fn refuse(&mut self, order: &str, base: u64) -> Option<Vec<Write>> {
        let key = refusal_key(order);
        if self.by_key.contains_key(&key) {
            return Some(Vec::new());
        }
        if self.by_key.len() >= MOST_REFUSALS {
            return None;
        }
        self.by_key.insert(key.clone(), base);
        Some(vec![Write::set(key, base.to_string())])
    }

    /// Forgets orders that build on versions before the current one, as these are refused for that; returns what to write.
    pub fn forget_below(&mut self, current: u64) -> Vec<Write> {
        let is_past = |base: &u64| *base < current;
        let past = self.by_key.iter().filter(|(_, base)| is_past(base));
        let writes = past.map(|(key, _)| Write::remove(key.clone())).collect();
        self.by_key.retain(|_, base| !is_past(base));
        writes
    }

    /// Takes over a stored record.
    ///
    /// # Errors
    /// [`RecordError::Damaged`] where it cannot be read.
    pub fn recover(&mut self, key: Arc<str>, value: &str) -> Result<(), RecordError> {
        let base =
            value
                .parse()
                .map_err(|error: std::num::ParseIntError| RecordError::Damaged {
                    key: key.to_string(),
                    cause: error.to_string(),
                })?;
        self.by_key.insert(key, base);
        Ok(())
    }
}
