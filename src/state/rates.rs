//! Recent rates of this dispatcher: arrivals by tenant, and work sent.

use crate::interface::Micros;

/// Time constant of the rates: many jobs even at one per second.
pub(crate) const RATE_TIME_CONSTANT_US: f64 = 10e6;

/// What this dispatcher has recently received from each tenant, in requests, and sent out, in work; both decay.
pub(crate) struct RecentRates {
    /// Requests by tenant.
    pub(crate) tenants: Vec<f64>,
    /// Work sent, in microseconds on a standard core.
    pub(crate) work: f64,
    updated_at: Micros,
}

impl RecentRates {
    pub(crate) fn new(tenants: usize, now: Micros) -> RecentRates {
        RecentRates {
            tenants: vec![0.0; tenants],
            work: 0.0,
            updated_at: now,
        }
    }

    /// Lets the rates decay until now.
    pub(crate) fn decay(&mut self, now: Micros) {
        let age_us = now.saturating_sub(self.updated_at) as f64;
        let kept = (-age_us / RATE_TIME_CONSTANT_US).exp();
        for requests in &mut self.tenants {
            *requests *= kept;
        }
        self.work *= kept;
        self.updated_at = now;
    }
}
