//! Settings of the debts, and their check.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::Millis;

/// Shortest half-life: versions come a second apart, and a debt should outlast several.
pub const SHORTEST_HALF_LIFE_MS: Millis = 10_000;
/// Longest half-life, 30 days: spans within it have 32 bits, which the fixed point rests on.
pub const LONGEST_HALF_LIFE_MS: Millis = 30 * 24 * 3_600_000;
/// Versions come no more often: each is a batch of writes.
pub const SHORTEST_VERSION_MS: Millis = 1_000;
/// Longest delay by debt, 30 days; with the time of day it fits into the order key.
pub const LONGEST_DELAY_MS: Millis = LONGEST_HALF_LIFE_MS;
/// Most users that may be kept.
pub const MOST_USERS: usize = 1_000_000;
/// Weight of a user whose debt counts in full, in thousandths.
pub const USUAL_WEIGHT: u32 = 1_000;
/// A GPU counts as so many thousandths of a core by default: eight cores.
const GPU_MILLICORES: u64 = 8_000;
/// A gigabyte of memory by default: the usual machine has 4 GB for each core, so a task that takes all memory of a
/// machine pays half of what one that takes all its cores pays.
const GB_MILLICORES: u64 = 125;
/// Default delay: a user with so many cores at work without a pause gets half of the largest delay by its debt.
const HALF_DELAY_CORES: u64 = 10;
/// Default for the largest accrual of one user, in cores.
const LARGEST_RATE_CORES: u64 = 1_000;

/// Settings of the debts; the same on every node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FairShareSettings {
    /// A debt halves in this time, in milliseconds.
    pub half_life_ms: Millis,
    /// What a GPU counts, in thousandths of a core.
    pub gpu_millicores: u64,
    /// What a gigabyte of memory counts, in thousandths of a core.
    pub gb_millicores: u64,
    /// The largest delay that debt may cause, in milliseconds: no unit waits behind one that came so much later.
    pub most_delay_ms: Millis,
    /// The debt that causes half of the largest delay, in core-seconds.
    pub half_delay_core_s: u64,
    /// Between two versions at least, in milliseconds.
    pub version_every_ms: Millis,
    /// A node whose version is older says so, in milliseconds.
    pub most_age_ms: Millis,
    /// The largest accrual of one user that the bound on inversions allows for, in cores: the cluster's size.
    pub largest_rate_cores: u64,
    /// Most users kept; beyond it those with the least debt are dropped.
    pub most_users: usize,
    /// Thousandths by which users' debts are divided; others have 1,000.
    #[serde(default)]
    pub weights: BTreeMap<Arc<str>, u32>,
    /// The team or tenant of a queue; others are users of their own.
    #[serde(default)]
    pub user_of_queue: BTreeMap<Arc<str>, Arc<str>>,
}

/// A setting that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// Outside its range.
    #[error("share_debt: {key} is {value}: give {least} to {most}")]
    Range {
        /// The setting.
        key: &'static str,
        /// What it is.
        value: u64,
        /// Its least value.
        least: u64,
        /// Its largest value.
        most: u64,
    },
    /// A user's weight is zero.
    #[error("share_debt: the weight of {0:?} is 0: give 1 or more, 1000 is usual")]
    Weight(Arc<str>),
}

impl FairShareSettings {
    /// The defaults for a half-life, in milliseconds.
    pub fn with_half_life(half_life_ms: Millis) -> FairShareSettings {
        FairShareSettings {
            half_life_ms,
            gpu_millicores: GPU_MILLICORES,
            gb_millicores: GB_MILLICORES,
            most_delay_ms: half_life_ms,
            half_delay_core_s: (half_life_ms / 1_000)
                .saturating_mul(HALF_DELAY_CORES)
                .max(1),
            version_every_ms: SHORTEST_VERSION_MS,
            most_age_ms: 5 * SHORTEST_VERSION_MS,
            largest_rate_cores: LARGEST_RATE_CORES,
            most_users: 100_000,
            weights: BTreeMap::new(),
            user_of_queue: BTreeMap::new(),
        }
    }

    /// Checks every setting.
    ///
    /// # Errors
    /// The first setting outside its range.
    pub fn check(&self) -> Result<(), SettingsError> {
        let span = |key, value, least, most| in_range(key, value, least, most);
        span(
            "half_life_ms",
            self.half_life_ms,
            SHORTEST_HALF_LIFE_MS,
            LONGEST_HALF_LIFE_MS,
        )?;
        span("gpu_millicores", self.gpu_millicores, 0, 1_000_000)?;
        span("gb_millicores", self.gb_millicores, 0, 1_000_000)?;
        span("most_delay_ms", self.most_delay_ms, 1, LONGEST_DELAY_MS)?;
        span("half_delay_core_s", self.half_delay_core_s, 1, 1 << 40)?;
        span(
            "version_every_ms",
            self.version_every_ms,
            SHORTEST_VERSION_MS,
            self.half_life_ms,
        )?;
        span(
            "most_age_ms",
            self.most_age_ms,
            2 * self.version_every_ms.min(1 << 40),
            1 << 41,
        )?;
        span("largest_rate_cores", self.largest_rate_cores, 1, 1 << 30)?;
        span("most_users", self.most_users as u64, 1, MOST_USERS as u64)?;
        match self.weights.iter().find(|(_, weight)| **weight == 0) {
            Some((user, _)) => Err(SettingsError::Weight(user.clone())),
            None => Ok(()),
        }
    }

    /// With the times that arithmetic rests on brought into their ranges; unchanged where `check` finds no fault.
    pub(crate) fn clamped(mut self) -> FairShareSettings {
        self.half_life_ms = self
            .half_life_ms
            .clamp(SHORTEST_HALF_LIFE_MS, LONGEST_HALF_LIFE_MS);
        self.most_delay_ms = self.most_delay_ms.min(LONGEST_DELAY_MS);
        self
    }

    /// The user that a queue's work is charged to.
    pub fn user_of(&self, queue: &Arc<str>) -> Arc<str> {
        self.user_of_queue.get(queue).unwrap_or(queue).clone()
    }

    /// What a run's room costs, in thousandths of a core.
    pub fn rate_of(&self, resources: &Resources) -> u64 {
        /// Megabytes of a gigabyte.
        const MB: u64 = 1_024;
        let gpu = resources.gpu.saturating_mul(self.gpu_millicores);
        let memory = resources.mem_mb.saturating_mul(self.gb_millicores) / MB;
        resources.cpu.saturating_add(gpu).saturating_add(memory)
    }

    /// A user's weight, in thousandths.
    pub(crate) fn weight_of(&self, user: &str) -> u32 {
        self.weights
            .get(user)
            .copied()
            .unwrap_or(USUAL_WEIGHT)
            .max(1)
    }
}

fn in_range(key: &'static str, value: u64, least: u64, most: u64) -> Result<(), SettingsError> {
    if (least..=most).contains(&value) {
        Ok(())
    } else {
        Err(SettingsError::Range {
            key,
            value,
            least,
            most,
        })
    }
}
