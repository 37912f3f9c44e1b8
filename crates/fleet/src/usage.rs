//! The metrics of usage, their values, and the rows by tenant and period in which they are counted.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A metric of usage. The order is that of the values on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum UsageMetric {
    /// Requests answered with a worker's result.
    Served,
    /// Requests rejected because of overload.
    Refused,
    /// Requests that failed.
    Failed,
    /// Requests whose clients left before the answer.
    Gone,
    /// Attempts at workers.
    Attempts,
    /// Worker time of the attempts that gave the answers, in microseconds.
    UsedUs,
    /// Worker time of all other attempts, in microseconds.
    WastedUs,
    /// Served answers written to the last byte.
    Written,
    /// Served answers that could not be written, as their clients had left.
    Unwritten,
    /// Answers that were sent before enough other members held their count.
    Unreplicated,
}

/// How many metrics there are.
pub const METRIC_COUNT: usize = 10;
/// The metrics' names in the operators' JSON, in the order of [`UsageMetric`].
pub const METRIC_NAMES: [&str; METRIC_COUNT] = [
    "served",
    "refused",
    "failed",
    "gone",
    "attempts",
    "used_us",
    "wasted_us",
    "written",
    "unwritten",
    "unsure",
];

/// A value for each metric, in the order of [`UsageMetric`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageValues(pub [u64; METRIC_COUNT]);

impl UsageValues {
    /// A value of one metric, and zero for all others.
    pub fn single(metric: UsageMetric, value: u64) -> UsageValues {
        let mut values = UsageValues::default();
        values.0[metric as usize] = value;
        values
    }

    /// The value of a metric.
    pub fn get(&self, metric: UsageMetric) -> u64 {
        self.0[metric as usize]
    }

    /// Adds metric by metric. It saturates, so that a member that sends false values cannot make a sum wrap around.
    pub fn add(&mut self, other: &UsageValues) {
        for (value, added) in self.0.iter_mut().zip(other.0) {
            *value = value.saturating_add(added);
        }
    }

    /// The lattice join: the larger value of each metric. Returns whether that changed anything.
    pub(crate) fn join(&mut self, other: &UsageValues) -> bool {
        let before = *self;
        for (value, joined) in self.0.iter_mut().zip(other.0) {
            *value = (*value).max(joined);
        }
        *self != before
    }
}

/// The key of a usage row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UsageKey {
    /// The period's number: Unix time divided by the period's length.
    pub period: u32,
    /// The tenant.
    pub tenant: Arc<str>,
}

/// Usage by tenant and period.
pub type UsageRows = BTreeMap<UsageKey, UsageValues>;
