//! Room kept free of lower priorities, so that urgent tasks start without stopping others.

use crate::amounts::Amounts;
use std::collections::BTreeMap;
use streamusher_protocol::Millis;

/// The mean and the swing of demand follow it with this time constant: some cycles of bursts.
const TIME_CONSTANT_MS: f64 = 6_000.0;
/// Mean distances above the mean that are kept for the most urgent priority, and for the others: wide steps come in
/// bursts, and a step is over with its slowest task.
const SWINGS: [f64; 2] = [3.0, 1.0];
/// Part of the mean demand that is kept for priorities other than the most urgent.
const PART_FOR_OTHERS: f64 = 0.5;
/// At most this share of a service is kept, for all priorities together: a stop takes longer than an urgent task
/// may wait. What waits long in a service with much free room takes it all the same.
const MOST_KEPT: f64 = 0.6;
/// Priorities from here on are the least urgent: nothing is kept for them.
const FIRST_WITHOUT: u32 = 2;

/// What the tasks of one priority that run or wait take together, over time.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    present: Amounts,
    mean: Amounts,
    swing: Amounts,
    at: Millis,
}

impl Demand {
    /// Carries mean and swing forward to now, with the present demand since the last change.
    fn carry(&mut self, now: Millis) {
        let part = 1.0 - (-(now.saturating_sub(self.at) as f64) / TIME_CONSTANT_MS).exp();
        self.at = self.at.max(now);
        for kind in 0..3 {
            let distance = self.present[kind] - self.mean[kind];
            self.mean[kind] += part * distance;
            self.swing[kind] += part * (distance.abs() - self.swing[kind]);
        }
    }
}

/// The demand of the urgent priorities of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Headroom {
    demands: BTreeMap<u32, Demand>,
    /// Per priority: the share of each kind of room that it and the more urgent ones keep free together.
    kept: Vec<(u32, Amounts)>,
}

impl Headroom {
    /// Demand of a priority rises (1.0) or falls (-1.0) by what a task takes.
    pub fn change(&mut self, now: Millis, priority: u32, amounts: Amounts, sign: f64) {
        if priority >= FIRST_WITHOUT {
            return;
        }
        let demand = self.demands.entry(priority).or_insert(Demand { at: now, ..Demand::default() });
        demand.carry(now);
        for (present, part) in demand.present.iter_mut().zip(amounts) {
            *present = (*present + sign * part).max(0.0);
        }
    }

    /// Works out anew what is kept, given the room of the service's open workers.
    pub fn settle(&mut self, now: Millis, capacity: Amounts) {
        self.kept.clear();
        let mut sum = [0.0; 3];
        for (&priority, demand) in &mut self.demands {
            demand.carry(now);
            let (swings, part) = if priority == 0 { (SWINGS[0], 1.0) } else { (SWINGS[1], PART_FOR_OTHERS) };
            for kind in 0..3 {
                let wanted = part * demand.mean[kind] + swings * demand.swing[kind];
                sum[kind] = f64::min(sum[kind] + wanted / capacity[kind].max(1.0), MOST_KEPT);
            }
            self.kept.push((priority, sum));
        }
    }

    /// Per priority above the given one: the share that must stay free of all that is less urgent than it.
    pub fn against(&self, priority: u32) -> impl Iterator<Item = &(u32, Amounts)> {
        self.kept.iter().take_while(move |(kept_for, _)| *kept_for < priority)
    }
}
