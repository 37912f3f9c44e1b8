//! Headroom: capacity that is kept free of work that can wait, so that work that cannot wait starts without preemption.
//!
//! How long the units of a queue can wait is observed, as the mean of their slack. Queues fall into slack classes, each
//! with twice the slack of the class before. What all classes up to one take together, on average and in bursts, is kept free
//! of the classes behind it. See `docs/design/placement.md`.

use crate::resource_vector::ResourceVector;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use streamusher_protocol::Millis;

/// Mean and deviation of a demand follow it with this time constant: some cycles of bursts.
const TIME_CONSTANT_MS: f64 = 6_000.0;
/// Mean deviations above the mean that are kept free of a unit that has just been enqueued: wide steps come in bursts, and
/// a step is over with its slowest task.
const MAX_DEVIATIONS: f64 = 3.0;
/// The same for a unit that has waited for its part of its slack.
const MIN_DEVIATIONS: f64 = 1.0;
/// At most this share of a service is kept free: a preemption takes longer than work that cannot wait has. What waits long
/// in a service with much free capacity takes it all the same.
const MAX_RESERVED_SHARE: f64 = 0.6;
/// The newest unit's weight in the mean slack of its queue: that of the tasks of some wide steps.
const NEWEST_SLACK_WEIGHT: f64 = 0.01;
/// A queue changes its class when its mean slack is this far from it, in classes: more than half, so that it does not
/// alternate between two.
const CLASS_CHANGE_DISTANCE: f64 = 0.75;
/// Queues that are remembered. Where there are more all are learnt anew, so that queues that are gone do not pile up.
const MAX_QUEUES: usize = 4_096;
/// From this distance between classes on the headroom counts in full, in part for nearer ones.
const FULL_HEADROOM_DISTANCE: f64 = 2.0;

/// How long units can wait: the binary logarithm of their queue's mean slack in milliseconds, rounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SlackClass(u32);

impl SlackClass {
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the logarithm of a 64-bit number is at most 64"
    )]
    fn nearest(log2_of_slack: f64) -> SlackClass {
        SlackClass(log2_of_slack.round() as u32)
    }

    fn as_f64(self) -> f64 {
        f64::from(self.0)
    }

    /// How many classes this one is behind an earlier one.
    fn distance_from(self, earlier: SlackClass) -> f64 {
        f64::from(self.0 - earlier.0)
    }
}

/// Whether a unit begins or ceases to count as demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DemandChange {
    Added,
    Removed,
}

/// What tasks that run or are pending take together, over time.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    present: ResourceVector,
    mean: ResourceVector,
    /// Mean distance from the mean.
    deviation: ResourceVector,
    updated_at: Millis,
}

impl Demand {
    fn starting_at(now: Millis) -> Demand {
        Demand {
            updated_at: now,
            ..Demand::default()
        }
    }

    /// Brings mean and deviation up to now, with the demand that has been present since the last update.
    fn advance(&mut self, now: Millis) {
        let elapsed_ms = now.saturating_sub(self.updated_at) as f64;
        let part = 1.0 - (-elapsed_ms / TIME_CONSTANT_MS).exp();
        self.updated_at = self.updated_at.max(now);
        let distance = self
            .present
            .zip_with(self.mean, |present, mean| present - mean);
        self.mean = self
            .mean
            .zip_with(distance, |mean, distance| mean + part * distance);
        self.deviation = self.deviation.zip_with(distance, |deviation, distance| {
            deviation + part * (distance.abs() - deviation)
        });
    }

    fn change(&mut self, resources: ResourceVector, change: DemandChange) {
        match change {
            DemandChange::Added => self.present.add_non_negative(resources),
            DemandChange::Removed => self.present.subtract_non_negative(resources),
        }
    }
}

/// What is known of a queue's slack.
#[derive(Clone, Copy, Debug)]
struct QueueSlack {
    /// Mean of the binary logarithm of the slack in milliseconds.
    mean_log2: f64,
    class: SlackClass,
    priority: u32,
}

impl QueueSlack {
    fn new(log2_of_slack: f64, priority: u32) -> QueueSlack {
        QueueSlack {
            mean_log2: log2_of_slack,
            class: SlackClass::nearest(log2_of_slack),
            priority,
        }
    }

    fn observe(&mut self, log2_of_slack: f64) {
        self.mean_log2 += NEWEST_SLACK_WEIGHT * (log2_of_slack - self.mean_log2);
        if (self.mean_log2 - self.class.as_f64()).abs() > CLASS_CHANGE_DISTANCE {
            self.class = SlackClass::nearest(self.mean_log2);
        }
    }
}

/// Headroom for the classes up to one, as it counts against a unit of a class behind them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeadroomShare {
    /// The last class that the headroom is for.
    pub(crate) up_to: SlackClass,
    /// The most urgent priority among the queues of these classes.
    pub(crate) most_urgent_priority: u32,
    /// The share of each kind of resource.
    pub(crate) shares: ResourceVector,
}

/// What the classes up to one take, as shares of the service's capacity.
#[derive(Clone, Copy, Debug)]
struct DemandShare {
    up_to: SlackClass,
    most_urgent_priority: u32,
    mean: ResourceVector,
    deviation: ResourceVector,
}

impl DemandShare {
    fn headroom_against(&self, class: SlackClass, deviations: f64) -> HeadroomShare {
        let part = (class.distance_from(self.up_to) / FULL_HEADROOM_DISTANCE).min(1.0);
        let shares = self.mean.zip_with(self.deviation, |mean, deviation| {
            part * (mean + deviations * deviation).min(MAX_RESERVED_SHARE)
        });
        HeadroomShare {
            up_to: self.up_to,
            most_urgent_priority: self.most_urgent_priority,
            shares,
        }
    }
}

/// The demand for one service by slack class, and the headroom that follows from it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Headroom {
    queues: HashMap<Arc<str>, QueueSlack>,
    /// For each class the demand of all classes up to it.
    demands: BTreeMap<SlackClass, Demand>,
    /// As of the last [`Headroom::refresh`], by class.
    demand_shares: Vec<DemandShare>,
}

impl Headroom {
    /// Learns the slack of a unit of a queue. Returns the class of the queue.
    pub(crate) fn observe_slack(
        &mut self,
        queue: &Arc<str>,
        priority: u32,
        slack_ms: Millis,
    ) -> SlackClass {
        let log2_of_slack = (slack_ms.max(1) as f64).log2();
        if self.queues.len() >= MAX_QUEUES && !self.queues.contains_key(queue) {
            self.queues.clear();
        }
        let known = self
            .queues
            .entry(queue.clone())
            .or_insert_with(|| QueueSlack::new(log2_of_slack, priority));
        known.priority = priority;
        known.observe(log2_of_slack);
        known.class
    }

    /// The demand of a class, and so of all behind it, rises or falls by what a task takes.
    pub(crate) fn change_demand(
        &mut self,
        now: Millis,
        class: SlackClass,
        resources: ResourceVector,
        change: DemandChange,
    ) {
        self.ensure_class(now, class);
        for demand in self.demands.range_mut(class..).map(|(_, demand)| demand) {
            demand.advance(now);
            demand.change(resources, change);
        }
    }

    /// A new class starts with the demand of the class before it: so far these were all classes up to the new one.
    fn ensure_class(&mut self, now: Millis, class: SlackClass) {
        if self.demands.contains_key(&class) {
            return;
        }
        let before = self.demands.range(..class).next_back();
        let demand = before.map_or(Demand::starting_at(now), |(_, demand)| *demand);
        self.demands.insert(class, demand);
    }

    /// Brings the headroom up to now, given the capacity of the service's schedulable workers.
    pub(crate) fn refresh(&mut self, now: Millis, capacity: ResourceVector) {
        self.demand_shares.clear();
        let share_of_capacity = |amounts: ResourceVector| {
            amounts.zip_with(capacity, |amount, capacity| amount / capacity.max(1.0))
        };
        for (&up_to, demand) in &mut self.demands {
            demand.advance(now);
            let queues = self.queues.values().filter(|queue| queue.class <= up_to);
            self.demand_shares.push(DemandShare {
                up_to,
                most_urgent_priority: queues.map(|queue| queue.priority).min().unwrap_or(0),
                mean: share_of_capacity(demand.mean),
                deviation: share_of_capacity(demand.deviation),
            });
        }
    }

    /// What must stay free of a unit of a class: one share for each class before its own. `waited` is the time that it has
    /// waited over the time that it may wait; the longer it has waited, the less is kept free of it.
    pub(crate) fn against(
        &self,
        class: SlackClass,
        waited: f64,
    ) -> impl Iterator<Item = HeadroomShare> + '_ {
        let deviations =
            MAX_DEVIATIONS - (MAX_DEVIATIONS - MIN_DEVIATIONS) * waited.clamp(0.0, 1.0);
        self.demand_shares
            .iter()
            .take_while(move |demand| demand.up_to < class)
            .map(move |demand| demand.headroom_against(class, deviations))
    }
}
