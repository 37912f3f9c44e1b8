//! The order of work by one version of the debts.

use crate::debt::DecayedUsage;
use crate::settings::{FairShareSettings, USUAL_WEIGHT};
use crate::version::RankingVersion;
use std::sync::Arc;
use streamusher_protocol::Millis;

/// All debts, cheap to copy.
pub(crate) type Debts = im::OrdMap<Arc<str>, DecayedUsage>;

/// Bits of an order key that hold the time; above them is the priority.
const TIME_BITS: u32 = 48;
const LAST_TIME: u64 = (1 << TIME_BITS) - 1;
const LAST_PRIORITY: u32 = (1 << (u64::BITS - TIME_BITS)) - 1;
/// Milliseconds of a second.
const SECOND: u64 = 1_000;

/// Orders work by one version, which it names. Nodes with the same version and settings give the same order.
#[derive(Clone, Debug)]
pub struct FairShareRanking {
    settings: Arc<FairShareSettings>,
    version: RankingVersion,
    time: Millis,
    debts: Debts,
}

impl FairShareRanking {
    pub(crate) fn new(
        settings: Arc<FairShareSettings>,
        version: RankingVersion,
        time: Millis,
        debts: Debts,
    ) -> FairShareRanking {
        FairShareRanking {
            settings,
            version,
            time,
            debts,
        }
    }

    /// The version by which it orders.
    pub fn version(&self) -> RankingVersion {
        self.version
    }

    /// The agreed time at which the version was made.
    pub fn time(&self) -> Millis {
        self.time
    }

    /// A user's debt in this version, in core-milliseconds; 0 for one that is not known.
    pub fn debt(&self, user: &str) -> u64 {
        self.debts
            .get(user)
            .map_or(0, |debt| debt.at(self.settings.half_life_ms, self.time))
    }

    /// How far a user's units are put back, in milliseconds; less than the largest delay.
    pub fn delay_ms(&self, user: &str) -> Millis {
        delay_ms(&self.settings, user, self.debt(user))
    }

    /// Where a unit stands: smaller first. Priority decides first, those from 65,535 on being one; within it the time at which the unit came, put back
    /// by its user's delay. The key does not change while the unit waits, so whoever came `most_delay_ms` later never
    /// goes before it, whatever the debts.
    pub fn order_key(&self, user: &str, priority: u32, submitted_at: Millis) -> u64 {
        let time = submitted_at
            .saturating_add(self.delay_ms(user))
            .min(LAST_TIME);
        u64::from(priority.min(LAST_PRIORITY)) << TIME_BITS | time
    }

    /// How many users owe something.
    pub fn users(&self) -> usize {
        self.debts.len()
    }

    pub(crate) fn debts(&self) -> &Debts {
        &self.debts
    }
}

/// The delay by a debt in core-milliseconds: half of the largest at `half_delay_core_s`, rising ever more slowly.
pub(crate) fn delay_ms(settings: &FairShareSettings, user: &str, debt: u64) -> Millis {
    let weight = u128::from(settings.weight_of(user));
    let debt = u128::from(debt) * u128::from(USUAL_WEIGHT) / weight;
    let half = u128::from(settings.half_delay_core_s) * u128::from(SECOND);
    let most = u128::from(settings.most_delay_ms);
    (most * debt / (debt + half).max(1)) as Millis
}
