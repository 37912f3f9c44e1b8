//! What one dispatcher may send a cold worker: its own part, all that it knows. See `src/interface.rs`.

use crate::interface::{Micros, Settings};

/// Part of the present capacity that a fleet's even parts come to: room for chance.
const TAKE_UP: f64 = 0.8;
/// Room over a worker's usual load that a cold one is credited, for the load that warm ones turn away.
const ROOM: f64 = 1.4;
/// Of its even part a dispatcher keeps unused what comes in this many times the time in which a worker falls.
const KEPT: f64 = 0.8;
/// The larger of an even part and the usual adds up to less than both: all parts may be so much larger.
const LARGER: f64 = 1.1;

/// A dispatcher's part of a cold worker: how much of its work that does now; what grows in a unit of time
/// once it is warm; what may stay unused; and the work of a call.
#[derive(Clone, Copy)]
pub struct Part(f64, f64, f64, f64);

impl Part {
    /// `capacity` is what a warm one does in a unit of time; `usual` what was served from here at each of
    /// late, over the fleet no more than all can do. Traffic is uneven: one with little still has its even
    /// part. Both, and what is unused, stay below the multiple of the capacity that tips a worker.
    pub fn of(set: &Settings, capacity: f64, share: f64, usual: f64, call: f64) -> Part {
        let bears = set.overload_multiple * LARGER / (TAKE_UP + ROOM + TAKE_UP * KEPT);
        let even = capacity / f64::from(set.dispatchers.max(1)) * TAKE_UP * bears;
        Part(
            share,
            even.max(usual * ROOM * bears),
            even * share * KEPT * set.overload_tolerance_us as f64,
            call.max(1.0),
        )
    }
}

/// Credit in work, when that was, and how much of its work the worker did then.
#[derive(Clone, Copy, Default)]
pub struct Ramp(f64, Micros, f64);

impl Ramp {
    /// Begins with a debt of up to a call, by `chance` from 0 to 1: it says who sends the first, and when.
    pub fn begin(now: Micros, share: f64, chance: f64, call: f64) -> Ramp {
        Ramp(-chance * call, now, share)
    }

    /// Credit left; a call may be sent while it is not below zero. What is over the kept part is lost, a call
    /// at a time: else a quiet fleet would send all that it kept at once, a call each for the least parts.
    pub fn left(&self, now: Micros, Part(share, rate, kept, call): Part) -> f64 {
        let warmed = (self.2 + share) / 2.0 * now.saturating_sub(self.1) as f64; // it warms evenly
        let left = self.0 + rate * warmed;
        left - ((left - kept).max(0.0) / call).ceil() * call
    }

    /// Notes that work was sent.
    pub fn spend(&mut self, now: Micros, part: Part, work: f64) {
        *self = Ramp(self.left(now, part) - work, now, part.0);
    }
}
