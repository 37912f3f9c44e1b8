//! The order of units by one version of all users' usage.

use crate::decayed_usage::DecayedUsage;
use crate::settings::{FairShareSettings, DEFAULT_WEIGHT};
use crate::version::RankingVersion;
use std::sync::Arc;
use streamusher_protocol::Millis;

/// Usage of all users. Copies are cheap, because they share their structure.
pub(crate) type UsageByUser = im::OrdMap<Arc<str>, DecayedUsage>;

/// Number of bits of an order key that hold the time. The bits above them hold the priority.
const TIME_BITS: u32 = 48;
const MAX_TIME: u64 = (1 << TIME_BITS) - 1;
const MAX_PRIORITY: u32 = (1 << (u64::BITS - TIME_BITS)) - 1;
const MS_PER_SECOND: u64 = 1_000;

/// Orders units by one version. Nodes with the same version and settings produce the same order.
#[derive(Clone, Debug)]
pub struct FairShareRanking {
    settings: Arc<FairShareSettings>,
    version: RankingVersion,
    created_at: Millis,
    usage_by_user: UsageByUser,
}

impl FairShareRanking {
    pub(crate) fn new(
        settings: Arc<FairShareSettings>,
        version: RankingVersion,
        created_at: Millis,
        usage_by_user: UsageByUser,
    ) -> FairShareRanking {
        FairShareRanking {
            settings,
            version,
            created_at,
            usage_by_user,
        }
    }

    /// The version that defines the order.
    pub fn version(&self) -> RankingVersion {
        self.version
    }

    /// Cluster time at which the version was created.
    pub fn created_at(&self) -> Millis {
        self.created_at
    }

    /// A user's usage in this version, in core-milliseconds; 0 for an unknown user.
    pub fn usage_core_ms(&self, user: &str) -> u64 {
        self.usage_by_user.get(user).map_or(0, |usage| {
            usage.value_at(self.settings.half_life_ms, self.created_at)
        })
    }

    /// Delay of a user's units in the order, in milliseconds. Less than the largest delay.
    pub fn delay_ms(&self, user: &str) -> Millis {
        delay_ms(&self.settings, user, self.usage_core_ms(user))
    }

    /// Order key of a unit; units with smaller keys are ordered first.
    ///
    /// The priority is compared first; values of 65,535 and above are treated as equal. Units of equal
    /// priority are ordered by their submission time, delayed by the user's usage. While a unit is pending,
    /// its key changes only with its own user's usage. A unit that was submitted later by the largest delay
    /// or more is therefore never ordered first, whatever the usage.
    pub fn order_key(&self, user: &str, priority: u32, submitted_at: Millis) -> u64 {
        let time = submitted_at
            .saturating_add(self.delay_ms(user))
            .min(MAX_TIME);
        u64::from(priority.min(MAX_PRIORITY)) << TIME_BITS | time
    }

    /// Number of users with usage in this version.
    pub fn user_count(&self) -> usize {
        self.usage_by_user.len()
    }

    pub(crate) fn usage_by_user(&self) -> &UsageByUser {
        &self.usage_by_user
    }
}

/// Delay for a usage in core-milliseconds. It is half of the largest delay at `half_delay_core_s`, and its
/// slope decreases as usage grows.
#[expect(
    clippy::cast_possible_truncation,
    reason = "below the largest delay, which has 64 bits"
)]
pub(crate) fn delay_ms(settings: &FairShareSettings, user: &str, usage_core_ms: u64) -> Millis {
    let weight = u128::from(settings.weight_of(user));
    let usage = u128::from(usage_core_ms) * u128::from(DEFAULT_WEIGHT) / weight;
    let half_delay_usage = u128::from(settings.half_delay_core_s) * u128::from(MS_PER_SECOND);
    let max_delay = u128::from(settings.max_delay_ms);
    (max_delay * usage / (usage + half_delay_usage).max(1)) as Millis
}
