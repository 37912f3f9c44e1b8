//! Slow start: what one dispatcher may send a worker that warms up, from all that it knows. See `src/interface/mod.rs`.

use crate::interface::{Micros, Settings};

/// Part of the present capacity that the even shares of a fleet add up to: room for chance.
const EVEN_SHARES_SUM: f64 = 0.8;
/// Room over a worker's usual load that one that warms up is credited, for the load that warm ones shed.
const USUAL_LOAD_MARGIN: f64 = 1.4;
/// A dispatcher keeps of its even share, unused, what accrues in this multiple of the overload tolerance.
const KEPT_TOLERANCES: f64 = 0.8;
/// The larger of an even share and the usual adds up to less than both: all shares may be so much larger.
const LARGER_OF_BOTH: f64 = 1.1;

/// A dispatcher's share of a worker that warms up.
#[derive(Clone, Copy)]
pub struct SlowStartShare {
    /// The worker's present part of its capacity, 0 to 1.
    capacity_share: f64,
    /// Work that accrues in a unit of time once the worker is warm.
    warm_rate: f64,
    /// Work that may stay unused.
    max_unused: f64,
    /// Work of a request.
    request_work: f64,
}

impl SlowStartShare {
    /// `capacity` is what a warm worker does in a unit of time; `usual` what each was recently sent from here: over the
    /// fleet no more than all can do. Traffic is uneven: a dispatcher with little still has its even share. Both,
    /// and what is unused, stay below the multiple of the capacity that overloads a worker.
    pub fn new(
        settings: &Settings,
        capacity: f64,
        capacity_share: f64,
        usual: f64,
        request_work: f64,
    ) -> SlowStartShare {
        let tolerated = settings.overload_multiple * LARGER_OF_BOTH
            / (EVEN_SHARES_SUM + USUAL_LOAD_MARGIN + EVEN_SHARES_SUM * KEPT_TOLERANCES);
        let dispatchers = f64::from(settings.dispatchers.max(1));
        let even = capacity / dispatchers * EVEN_SHARES_SUM * tolerated;
        let tolerance_us = settings.overload_tolerance_us as f64;
        SlowStartShare {
            capacity_share,
            warm_rate: even.max(usual * USUAL_LOAD_MARGIN * tolerated),
            max_unused: even * capacity_share * KEPT_TOLERANCES * tolerance_us,
            request_work: request_work.max(1.0),
        }
    }
}

/// The credit of one dispatcher at one worker that warms up.
#[derive(Clone, Copy, Default)]
pub struct SlowStart {
    /// Work that may be sent.
    credit: f64,
    updated_at: Micros,
    /// The worker's part of its capacity at that time.
    capacity_share: f64,
}

impl SlowStart {
    /// Begins with a debt of up to one request, by `chance` from 0 to 1: it decides which dispatcher sends the first,
    /// and when.
    pub fn begin(now: Micros, capacity_share: f64, chance: f64, request_work: f64) -> SlowStart {
        SlowStart {
            credit: -chance * request_work,
            updated_at: now,
            capacity_share,
        }
    }

    /// The credit now; a request may be sent while it is not negative. What exceeds the kept part is lost, a request
    /// at a time: otherwise a quiet fleet would send all that it kept at once, one request for each of the least shares.
    pub fn credit(&self, now: Micros, share: SlowStartShare) -> f64 {
        // The worker warms up evenly.
        let mean_capacity_share = f64::midpoint(self.capacity_share, share.capacity_share);
        let warm_time = mean_capacity_share * now.saturating_sub(self.updated_at) as f64;
        let credit = self.credit + share.warm_rate * warm_time;
        let excess = (credit - share.max_unused).max(0.0);
        credit - (excess / share.request_work).ceil() * share.request_work
    }

    /// Notes that work was sent.
    pub fn spend(&mut self, now: Micros, share: SlowStartShare, work: f64) {
        *self = SlowStart {
            credit: self.credit(now, share) - work,
            updated_at: now,
            capacity_share: share.capacity_share,
        };
    }
}
