//! Recent rates of this dispatcher: requests by tenant, and work sent to workers.

use crate::interface::Micros;

/// Time constant of the rates: it covers many jobs even at one job per second.
pub(crate) const RATE_TIME_CONSTANT_US: f64 = 10e6;

/// Requests recently received from each tenant, and work recently sent to workers. Both decay exponentially.
pub(crate) struct RecentRates {
    /// Requests received, by tenant.
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

    /// Applies the decay up to the current time.
    pub(crate) fn decay(&mut self, now: Micros) {
        let age_us = now.saturating_sub(self.updated_at) as f64;
        let decay_factor = (-age_us / RATE_TIME_CONSTANT_US).exp();
        for requests in &mut self.tenants {
            *requests *= decay_factor;
        }
        self.work *= decay_factor;
        self.updated_at = now;
    }
}
