//! Slow start: what one dispatcher may send a warming worker, from all it knows. Interface: `src/interface/mod.rs`.

use crate::interface::{Micros, Settings};

/// Part of the present capacity that the even shares of a fleet add up to; the rest allows for chance.
const EVEN_SHARES_SUM: f64 = 0.8;
/// Credit of a warming worker relative to the average load, as it also takes load that warm ones shed.
const AVERAGE_LOAD_MARGIN: f64 = 1.4;
/// Maximum unused credit: what the even share accrues in this multiple of the overload tolerance.
const MAX_UNUSED_TOLERANCES: f64 = 0.8;
/// Scale of both shares: the larger of the two is less than their sum, so each may be this much larger.
const SHARE_SCALE: f64 = 1.1;

/// A dispatcher's share of a warming worker.
#[derive(Clone, Copy)]
pub struct SlowStartShare {
    /// The worker's present part of its capacity, 0 to 1.
    capacity_share: f64,
    /// Work that accrues per unit of time once the worker is warm.
    warm_rate: f64,
    /// Maximum unused work.
    max_unused: f64,
    /// Work of a request.
    request_work: f64,
}

impl SlowStartShare {
    /// `capacity` is the work of a warm worker per unit of time, `recent_rate` what each recently received from this
    /// dispatcher; the fleet's sum is at most the capacity. Traffic is uneven: a dispatcher with little has its
    /// even share. Both, with the unused part, stay below the multiple of the capacity that overloads a worker.
    pub fn new(
        settings: &Settings,
        capacity: f64,
        capacity_share: f64,
        recent_rate: f64,
        request_work: f64,
    ) -> SlowStartShare {
        let tolerated = settings.overload_multiple * SHARE_SCALE
            / (EVEN_SHARES_SUM + AVERAGE_LOAD_MARGIN + EVEN_SHARES_SUM * MAX_UNUSED_TOLERANCES);
        let dispatchers = f64::from(settings.dispatchers.max(1));
        let even_share = capacity / dispatchers * EVEN_SHARES_SUM * tolerated;
        let tolerance_us = settings.overload_tolerance_us as f64;
        SlowStartShare {
            capacity_share,
            warm_rate: even_share.max(recent_rate * AVERAGE_LOAD_MARGIN * tolerated),
            max_unused: even_share * capacity_share * MAX_UNUSED_TOLERANCES * tolerance_us,
            request_work: request_work.max(1.0),
        }
    }
}

/// The credit of one dispatcher at one warming worker.
#[derive(Clone, Copy, Default)]
pub struct SlowStart {
    /// Work that may be sent; negative while in debt.
    credit: f64,
    updated_at: Micros,
    /// The worker's part of its capacity at `updated_at`.
    capacity_share: f64,
}

impl SlowStart {
    /// Starts with a debt of up to one request: `debt`, a random number from 0 to 1, times its work. This determines
    /// which dispatcher sends first, and when.
    pub fn begin(now: Micros, capacity_share: f64, debt: f64, request_work: f64) -> SlowStart {
        SlowStart {
            credit: -debt * request_work,
            updated_at: now,
            capacity_share,
        }
    }

    /// The current credit; a request may be sent while it is not negative. Excess over the maximum is dropped in whole
    /// requests: else all dispatchers of a quiet fleet, even with the least shares, would send a request at once.
    pub fn credit(&self, now: Micros, share: SlowStartShare) -> f64 {
        // The worker warms up linearly, so its mean part applies.
        let mean_capacity_share = f64::midpoint(self.capacity_share, share.capacity_share);
        let warm_time = mean_capacity_share * now.saturating_sub(self.updated_at) as f64;
        let credit = self.credit + share.warm_rate * warm_time;
        let excess = (credit - share.max_unused).max(0.0);
        credit - (excess / share.request_work).ceil() * share.request_work
    }

    /// Subtracts work that was sent.
    pub fn spend(&mut self, now: Micros, share: SlowStartShare, work: f64) {
        *self = SlowStart {
            credit: self.credit(now, share) - work,
            updated_at: now,
            capacity_share: share.capacity_share,
        };
    }
}
