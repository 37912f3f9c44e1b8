//! What all members have in common: the quotas, among whom they are divided, and the times of loans.

use crate::incarnation::Micros;
use std::sync::Arc;

/// Clocks of two members drift apart by no more than one part in so many. Crystal clocks keep to one in 10,000.
const CLOCK_DRIFT_DIVISOR: u64 = 1_000;

/// One quota: how many requests of a tenant may be in progress at once, over the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Quota {
    /// The tenant.
    pub name: Arc<str>,
    /// Units over the whole fleet.
    pub units: u64,
}

/// The terms of all quotas, the same at each member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaTerms {
    /// The members among whom the quotas are divided, in order.
    pub member_names: Vec<Arc<str>>,
    /// The quotas, in order; messages name them by their index.
    pub quotas: Vec<Quota>,
    /// So many units of each quota, at most its share, a member never lends.
    pub unlent_floor: u64,
    /// How long a loan lasts.
    pub lease: Micros,
    /// The longest time that an acquired unit is in use.
    pub max_use: Micros,
    /// Added for delays within the two processes.
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

    /// After granting a loan, how long a lender must take its units for in use elsewhere.
    pub fn loan_recovery_time(&self) -> Micros {
        with_drift(self.lease) + with_drift(self.max_use) + self.margin
    }

    /// A fingerprint of these terms: members of other terms neither lend to each other nor borrow.
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

/// A time on another member's clock, at its longest on this one's.
fn with_drift(time: Micros) -> Micros {
    time + time / CLOCK_DRIFT_DIVISOR
}
