//! Settings of fair share, and their check.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::Millis;

/// Shortest half-life: versions come a second apart, and usage should outlast several.
pub const MIN_HALF_LIFE_MS: Millis = 10_000;
/// Longest half-life, 30 days: spans within it have 32 bits, which the fixed-point arithmetic requires.
pub const MAX_HALF_LIFE_MS: Millis = 30 * 24 * 3_600_000;
/// Shortest interval between versions: each is a batch of writes.
pub const MIN_VERSION_INTERVAL_MS: Millis = 1_000;
/// Longest delay by usage, 30 days; with the time of day it fits into the order key.
pub const MAX_DELAY_MS: Millis = MAX_HALF_LIFE_MS;
/// Largest number of users that may be kept.
pub const MAX_USERS: usize = 1_000_000;
/// Weight of a user whose usage counts in full, in thousandths.
pub const DEFAULT_WEIGHT: u32 = 1_000;
/// What a GPU counts by default, in thousandths of a core: eight cores.
const DEFAULT_GPU_MILLICORES: u64 = 8_000;
/// What a gigabyte of memory counts by default, in thousandths of a core: the usual machine has 4 GB for each core, so a
/// task that takes all memory of a machine is charged half of what one that takes all its cores is charged.
const DEFAULT_GB_MILLICORES: u64 = 125;
/// A user that takes so many cores without a pause gets half of the largest delay, by default.
const DEFAULT_HALF_DELAY_CORES: u64 = 10;
/// Default of the largest number of users kept.
const DEFAULT_MAX_USERS: usize = 100_000;
/// Default of the largest rate of one user, in cores.
const DEFAULT_MAX_RATE_CORES: u64 = 1_000;

/// Settings of fair share; the same on every node. The keys are those of the settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FairShareSettings {
    /// Usage decays to one half in this time, in milliseconds.
    pub half_life_ms: Millis,
    /// What a GPU counts, in thousandths of a core.
    pub gpu_millicores: u64,
    /// What a gigabyte of memory counts, in thousandths of a core.
    pub gb_millicores: u64,
    /// The largest delay that usage may cause, in milliseconds: no unit is ordered behind one that was submitted so much
    /// later.
    #[serde(rename = "most_delay_ms")]
    pub max_delay_ms: Millis,
    /// The usage that causes half of the largest delay, in core-seconds.
    pub half_delay_core_s: u64,
    /// Shortest interval between two versions, in milliseconds.
    #[serde(rename = "version_every_ms")]
    pub version_interval_ms: Millis,
    /// A node's version that is older counts as stale, in milliseconds.
    #[serde(rename = "most_age_ms")]
    pub max_age_ms: Millis,
    /// The largest rate of one user that the bound on inversions allows for, in cores: the cluster's size.
    #[serde(rename = "largest_rate_cores")]
    pub max_rate_cores: u64,
    /// Largest number of users kept; beyond it those with the least usage are dropped.
    #[serde(rename = "most_users")]
    pub max_users: usize,
    /// Users' weights, in thousandths: their usage counts divided by it. Others have 1,000.
    #[serde(default)]
    pub weights: BTreeMap<Arc<str>, u32>,
    /// The user, a team or tenant, of a queue; other queues are users of their own.
    #[serde(default)]
    pub user_of_queue: BTreeMap<Arc<str>, Arc<str>>,
}

/// A setting that is out of its range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// Out of its range.
    #[error("share_debt: {key} is {value}: give {min} to {max}")]
    Range {
        /// Its key.
        key: &'static str,
        /// Its value.
        value: u64,
        /// Its smallest value.
        min: u64,
        /// Its largest value.
        max: u64,
    },
    /// A user's weight is zero.
    #[error("share_debt: the weight of {0:?} is 0: give 1 or more, 1000 is usual")]
    Weight(Arc<str>),
}

impl FairShareSettings {
    /// The defaults for a half-life in milliseconds.
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

    /// Checks every setting.
    ///
    /// # Errors
    /// The first setting that is out of its range.
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

    /// With the times that the arithmetic requires brought into their ranges; unchanged where `check` finds no fault.
    pub(crate) fn clamped(mut self) -> FairShareSettings {
        self.half_life_ms = self.half_life_ms.clamp(MIN_HALF_LIFE_MS, MAX_HALF_LIFE_MS);
        self.max_delay_ms = self.max_delay_ms.min(MAX_DELAY_MS);
        self
    }

    /// The user that a queue's work is charged to.
    pub fn user_of(&self, queue: &Arc<str>) -> Arc<str> {
        self.user_of_queue.get(queue).unwrap_or(queue).clone()
    }

    /// The rate at which a run with these resources is charged, in thousandths of a core.
    pub fn rate_of(&self, resources: &Resources) -> u64 {
        const MB_PER_GB: u64 = 1_024;
        let gpu = resources.gpu.saturating_mul(self.gpu_millicores);
        let memory = resources.mem_mb.saturating_mul(self.gb_millicores) / MB_PER_GB;
        resources.cpu.saturating_add(gpu).saturating_add(memory)
    }

    /// A user's weight, in thousandths.
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
