//! Usage metrics, their values, and the key of the rows that hold them.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A usage metric. The order of the variants is the order of the values on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum UsageMetric {
    /// Requests answered with a worker's result.
    Served,
    /// Requests rejected because of overload.
    Refused,
    /// Requests that failed.
    Failed,
    /// Requests whose client disconnected before the answer.
    Gone,
    /// Attempts sent to workers.
    Attempts,
    /// Worker time of the attempts that produced the answers, in microseconds.
    UsedUs,
    /// Worker time of all other attempts, in microseconds.
    WastedUs,
    /// Served answers written to the client completely.
    Written,
    /// Served answers that could not be written because the client had disconnected.
    Unwritten,
    /// Answers released before the required number of other members held their count.
    Unreplicated,
}

/// Number of metrics.
pub const METRIC_COUNT: usize = 10;
/// Names of the metrics in the JSON for operators, in the order of [`UsageMetric`].
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

/// One value per metric, in the order of [`UsageMetric`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageValues(pub [u64; METRIC_COUNT]);

impl UsageValues {
    /// The value of one metric, with zero for all others.
    pub fn single(metric: UsageMetric, value: u64) -> UsageValues {
        let mut values = UsageValues::default();
        values.0[metric as usize] = value;
        values
    }

    /// The value of one metric.
    pub fn get(&self, metric: UsageMetric) -> u64 {
        self.0[metric as usize]
    }

    /// Adds the values of each metric. Sums saturate, so that a member that sends wrong values cannot make
    /// one wrap around.
    pub fn add(&mut self, other: &UsageValues) {
        for (value, added) in self.0.iter_mut().zip(other.0) {
            *value = value.saturating_add(added);
        }
    }

    /// The lattice join: the larger value of each metric. Returns whether any value changed.
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
    /// Number of the usage period: Unix time divided by the period's length.
    pub period: u32,
    /// The tenant's name.
    pub tenant: Arc<str>,
}

/// Usage values by period and tenant.
pub type UsageRows = BTreeMap<UsageKey, UsageValues>;
