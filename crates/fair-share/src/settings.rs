//! Settings of fair share, and their validation.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::Millis;

/// Minimum half-life. Versions are created at intervals of a second, and usage should last for several of
/// them.
pub const MIN_HALF_LIFE_MS: Millis = 10_000;
/// Maximum half-life, 30 days. Time spans within it fit into 32 bits, which the fixed-point arithmetic
/// requires.
pub const MAX_HALF_LIFE_MS: Millis = 30 * 24 * 3_600_000;
/// Minimum interval between versions. Each version causes a batch of writes.
pub const MIN_VERSION_INTERVAL_MS: Millis = 1_000;
/// Maximum delay caused by usage, 30 days. Together with the time of day it fits into the order key.
pub const MAX_DELAY_MS: Millis = MAX_HALF_LIFE_MS;
/// Maximum number of users that may be kept.
pub const MAX_USERS: usize = 1_000_000;
/// Weight of a user whose usage counts in full, in thousandths.
pub const DEFAULT_WEIGHT: u32 = 1_000;
/// Default charge for a GPU, in thousandths of a core: equivalent to eight cores.
const DEFAULT_GPU_MILLICORES: u64 = 8_000;
/// Default charge for a gigabyte of memory, in thousandths of a core. A typical machine has 4 GB per core, so
/// a task that takes all memory of a machine is charged half as much as a task that takes all of its cores.
const DEFAULT_GB_MILLICORES: u64 = 125;
/// A user that continuously uses this many cores gets half of the largest delay, by default.
const DEFAULT_HALF_DELAY_CORES: u64 = 10;
/// Default maximum number of users.
const DEFAULT_MAX_USERS: usize = 100_000;
/// Default maximum rate of one user, in cores.
const DEFAULT_MAX_RATE_CORES: u64 = 1_000;

/// Settings of fair share. All nodes must use the same settings. The keys are those of the settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FairShareSettings {
    /// Time in which usage decays to one half, in milliseconds.
    pub half_life_ms: Millis,
    /// Charge for a GPU, in thousandths of a core.
    pub gpu_millicores: u64,
    /// Charge for a gigabyte of memory, in thousandths of a core.
    pub gb_millicores: u64,
    /// Maximum delay that usage may cause, in milliseconds. No unit is ordered after one that was submitted
    /// later by more than this.
    #[serde(rename = "most_delay_ms")]
    pub max_delay_ms: Millis,
    /// Usage that causes half of the largest delay, in core-seconds.
    pub half_delay_core_s: u64,
    /// Minimum interval between two versions, in milliseconds.
    #[serde(rename = "version_every_ms")]
    pub version_interval_ms: Millis,
    /// Age above which a node's version counts as stale, in milliseconds.
    #[serde(rename = "most_age_ms")]
    pub max_age_ms: Millis,
    /// Maximum rate of one user that the bound on inversions assumes, in cores: the size of the cluster.
    #[serde(rename = "largest_rate_cores")]
    pub max_rate_cores: u64,
    /// Maximum number of users kept. The users with the least usage are dropped if there are more.
    #[serde(rename = "most_users")]
    pub max_users: usize,
    /// Weights of users, in thousandths. A user's usage is divided by its weight. The default is 1,000.
    #[serde(default)]
    pub weights: BTreeMap<Arc<str>, u32>,
    /// The user, such as a team or tenant, that a queue is charged to. Queues that are not listed are users
    /// of their own.
    #[serde(default)]
    pub user_of_queue: BTreeMap<Arc<str>, Arc<str>>,
}

/// A setting that is out of range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A numeric setting is out of its range.
    #[error("share_debt: {key} is {value}: give {min} to {max}")]
    Range {
        /// Key of the setting in the settings file.
        key: &'static str,
        /// The value that was given.
        value: u64,
        /// Minimum permitted value.
        min: u64,
        /// Maximum permitted value.
        max: u64,
    },
    /// The weight of the named user is zero.
    #[error("share_debt: the weight of {0:?} is 0: give 1 or more, 1000 is usual")]
    Weight(Arc<str>),
}

impl FairShareSettings {
    /// Creates the default settings for a half-life in milliseconds.
    pub fn with_half_life(half_life_ms: Millis) -> FairShareSettings {
        FairShareSettings {
            half_life_ms,
            gpu_millicores: DEFAULT_GPU_MILLICORES,
            gb_millicores: DEFAULT_GB_MILLICORES,
            max_delay_ms: half_life_ms,
            half_delay_core_s: (half_life_ms / 1_000)
                .saturating_mul(DEFAULT_HALF_DELAY_CORES)
                .max(1),
            version_interval_ms: MIN_VERSION_INTERVAL_MS,
            max_age_ms: 5 * MIN_VERSION_INTERVAL_MS,
            max_rate_cores: DEFAULT_MAX_RATE_CORES,
            max_users: DEFAULT_MAX_USERS,
            weights: BTreeMap::new(),
            user_of_queue: BTreeMap::new(),
        }
    }

    /// Validates every setting.
    ///
    /// # Errors
    /// The first setting that is out of range.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_range(
            "half_life_ms",
            self.half_life_ms,
            MIN_HALF_LIFE_MS,
            MAX_HALF_LIFE_MS,
        )?;
        check_range("gpu_millicores", self.gpu_millicores, 0, 1_000_000)?;
        check_range("gb_millicores", self.gb_millicores, 0, 1_000_000)?;
        check_range("most_delay_ms", self.max_delay_ms, 1, MAX_DELAY_MS)?;
        check_range("half_delay_core_s", self.half_delay_core_s, 1, 1 << 40)?;
        check_range(
            "version_every_ms",
            self.version_interval_ms,
            MIN_VERSION_INTERVAL_MS,
            self.half_life_ms,
        )?;
        check_range(
            "most_age_ms",
            self.max_age_ms,
            2 * self.version_interval_ms.min(1 << 40),
            1 << 41,
        )?;
        check_range("largest_rate_cores", self.max_rate_cores, 1, 1 << 30)?;
        check_range("most_users", self.max_users as u64, 1, MAX_USERS as u64)?;
        match self.weights.iter().find(|(_, weight)| **weight == 0) {
            Some((user, _)) => Err(SettingsError::Weight(user.clone())),
            None => Ok(()),
        }
    }

    /// Limits the times to the ranges that the arithmetic requires. Settings that pass `check` are unchanged.
    pub(crate) fn clamped(mut self) -> FairShareSettings {
        self.half_life_ms = self.half_life_ms.clamp(MIN_HALF_LIFE_MS, MAX_HALF_LIFE_MS);
        self.max_delay_ms = self.max_delay_ms.min(MAX_DELAY_MS);
        self
    }

    /// Returns the user that a queue's runs are charged to.
    pub fn user_of(&self, queue: &Arc<str>) -> Arc<str> {
        self.user_of_queue.get(queue).unwrap_or(queue).clone()
    }

    /// Returns the rate at which a run with these resources is charged, in thousandths of a core.
    pub fn rate_of(&self, resources: &Resources) -> u64 {
        const MB_PER_GB: u64 = 1_024;
        let gpu = resources.gpu.saturating_mul(self.gpu_millicores);
        let memory = resources.mem_mb.saturating_mul(self.gb_millicores) / MB_PER_GB;
        resources.cpu.saturating_add(gpu).saturating_add(memory)
    }

    /// Returns a user's weight, in thousandths.
    pub(crate) fn weight_of(&self, user: &str) -> u32 {
        self.weights
            .get(user)
            .copied()
            .unwrap_or(DEFAULT_WEIGHT)
            .max(1)
    }
}

fn check_range(key: &'static str, value: u64, min: u64, max: u64) -> Result<(), SettingsError> {
    if (min..=max).contains(&value) {
        Ok(())
    } else {
        Err(SettingsError::Range {
            key,
            value,
            min,
            max,
        })
    }
}
