//! The terms common to all members: the quotas, the members that share them, and the durations of loans.

use crate::incarnation::Micros;
use std::sync::Arc;

/// The clocks of two members drift apart by at most one part in this many. Crystal clocks keep to one in
/// 10,000.
const CLOCK_DRIFT_DIVISOR: u64 = 1_000;

/// One quota: how many requests of a tenant may be in progress at once over the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Quota {
    /// The tenant's name.
    pub name: Arc<str>,
    /// Units over the whole fleet.
    pub units: u64,
}

/// The terms of all quotas, equal at all members.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaTerms {
    /// The members among which the quotas are divided; the order decides which of them get a remainder.
    pub member_names: Vec<Arc<str>>,
    /// The quotas; messages refer to them by index.
    pub quotas: Vec<Quota>,
    /// Units of each quota that a member never lends, at most its share.
    pub unlent_floor: u64,
    /// How long a loan lasts.
    pub lease: Micros,
    /// The longest time for which an acquired unit is in use.
    pub max_use: Micros,
    /// Allowance for delays within the lender's and the borrower's process.
    pub margin: Micros,
}

impl QuotaTerms {
    /// A member's share of a quota; 0 for a name that is not among the members.
    pub fn share(&self, name: &str, quota: usize) -> u64 {
        let position = self
            .member_names
            .iter()
            .position(|member| &**member == name);
        let Some(index) = position else {
            return 0;
        };
        let units = self.quotas[quota].units;
        let members = self.member_names.len() as u64;
        let has_remainder = (index as u64) < units % members;
        units / members + u64::from(has_remainder)
    }

    /// How long after granting a loan a lender must assume that the units are in use elsewhere.
    pub fn loan_recovery_time(&self) -> Micros {
        with_drift(self.lease) + with_drift(self.max_use) + self.margin
    }

    /// A fingerprint of these terms: members with different terms do not lend to each other.
    pub fn fingerprint(&self) -> u64 {
        let mut hash = blake3::Hasher::new();
        for name in &self.member_names {
            hash.update(name.as_bytes()).update(&[0]);
        }
        for quota in &self.quotas {
            hash.update(quota.name.as_bytes()).update(&[1]);
            hash.update(&quota.units.to_le_bytes());
        }
        for time in [self.lease, self.max_use, self.margin] {
            hash.update(&time.to_le_bytes());
        }
        let mut fingerprint = [0; 8];
        fingerprint.copy_from_slice(&hash.finalize().as_bytes()[..8]);
        u64::from_le_bytes(fingerprint)
    }
}

/// The longest that a duration on another member's clock can take on the local clock.
fn with_drift(time: Micros) -> Micros {
    time + time / CLOCK_DRIFT_DIVISOR
}
