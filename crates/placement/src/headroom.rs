//! Headroom: capacity kept free of deferrable work, so that work that cannot wait starts without preemption.
//!
//! How long the units of a queue can wait is estimated as the mean of their slack. Queues are grouped into
//! slack classes, each with twice the slack of the previous one. The combined demand of all classes up to a
//! given one, mean plus bursts, is kept free of the classes with more slack. See `docs/design/placement.md`.

use crate::resource_vector::ResourceVector;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use streamusher_protocol::Millis;

/// Time constant of the moving mean and deviation of a demand: a few cycles of bursts.
const TIME_CONSTANT_MS: f64 = 6_000.0;
/// Size of the burst that the headroom covers, in mean deviations above the mean demand, as it applies to a
/// unit that was just enqueued: wide steps arrive in bursts, and a step ends with its slowest task.
const MAX_DEVIATIONS: f64 = 3.0;
/// Size of the burst that the headroom covers, in mean deviations above the mean demand, as it applies to a
/// unit that has used up the share of its slack that it may wait.
const MIN_DEVIATIONS: f64 = 1.0;
/// Upper bound of the share of a service that is reserved as headroom. Headroom is needed because a
/// preemption takes longer than work with little slack can wait. Units that have waited long in a service
/// with much free capacity may use the headroom regardless.
const MAX_RESERVED_SHARE: f64 = 0.6;
/// Weight of the newest unit in the mean slack of its queue; the mean covers about the tasks of a few wide
/// steps.
const NEWEST_SLACK_WEIGHT: f64 = 0.01;
/// Distance between a queue's mean slack and its class, in classes, above which the queue changes class. It
/// is greater than one half, so that a queue does not alternate between two classes.
const CLASS_CHANGE_DISTANCE: f64 = 0.75;
/// Maximum number of queues with recorded slack. When it is reached, all records are cleared and learned
/// again, so that queues that no longer exist do not accumulate.
const MAX_QUEUES: usize = 4_096;
/// Distance between classes from which the headroom counts in full; for nearer classes it counts in part.
const FULL_HEADROOM_DISTANCE: f64 = 2.0;

/// Class of how long units can wait: the binary logarithm of their queue's mean slack in milliseconds,
/// rounded.
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

    /// Number of classes between an earlier class and this one.
    fn distance_from(self, earlier: SlackClass) -> f64 {
        f64::from(self.0 - earlier.0)
    }
}

/// Whether a unit starts or stops counting as demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DemandChange {
    Added,
    Removed,
}

/// Total resources of running and pending tasks, over time.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    current: ResourceVector,
    mean: ResourceVector,
    /// Mean absolute deviation from the mean.
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

    /// Updates mean and deviation to `now`, using the demand that has held since the last update.
    fn advance(&mut self, now: Millis) {
        let elapsed_ms = now.saturating_sub(self.updated_at) as f64;
        let weight = 1.0 - (-elapsed_ms / TIME_CONSTANT_MS).exp();
        self.updated_at = self.updated_at.max(now);
        let difference = self
            .current
            .zip_with(self.mean, |current, mean| current - mean);
        self.mean = self
            .mean
            .zip_with(difference, |mean, difference| mean + weight * difference);
        self.deviation = self
            .deviation
            .zip_with(difference, |deviation, difference| {
                deviation + weight * (difference.abs() - deviation)
            });
    }

    fn change(&mut self, resources: ResourceVector, change: DemandChange) {
        match change {
            DemandChange::Added => self.current.add_non_negative(resources),
            DemandChange::Removed => self.current.subtract_non_negative(resources),
        }
    }
}

/// Observed slack of a queue.
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

/// Headroom for the classes up to one, as it applies to a unit of a class with more slack.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeadroomShare {
    /// Last class that the headroom is for.
    pub(crate) up_to: SlackClass,
    /// Most urgent priority among the queues of these classes.
    pub(crate) most_urgent_priority: u32,
    /// Share of the capacity to keep free, for each kind of resource.
    pub(crate) shares: ResourceVector,
}

/// Demand of the classes up to one, as shares of the service's capacity.
#[derive(Clone, Copy, Debug)]
struct DemandShare {
    up_to: SlackClass,
    most_urgent_priority: u32,
    mean: ResourceVector,
    deviation: ResourceVector,
}

impl DemandShare {
    fn headroom_against(&self, class: SlackClass, deviations: f64) -> HeadroomShare {
        let fraction = (class.distance_from(self.up_to) / FULL_HEADROOM_DISTANCE).min(1.0);
        let shares = self.mean.zip_with(self.deviation, |mean, deviation| {
            fraction * (mean + deviations * deviation).min(MAX_RESERVED_SHARE)
        });
        HeadroomShare {
            up_to: self.up_to,
            most_urgent_priority: self.most_urgent_priority,
            shares,
        }
    }
}

/// Demand for one service by slack class, and the headroom derived from it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Headroom {
    queues: HashMap<Arc<str>, QueueSlack>,
    /// Cumulative demand by class: each entry covers all classes up to its key.
    demands: BTreeMap<SlackClass, Demand>,
    /// Demand shares as of the last [`Headroom::refresh`], in class order.
    demand_shares: Vec<DemandShare>,
}

impl Headroom {
    /// Records the slack of a unit of a queue. Returns the class of the queue.
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
        let slack = self
            .queues
            .entry(queue.clone())
            .or_insert_with(|| QueueSlack::new(log2_of_slack, priority));
        slack.priority = priority;
        slack.observe(log2_of_slack);
        slack.class
    }

    /// Adds or removes a task's resources in the demand of its class, and so of all classes with more slack.
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

    /// Adds a missing class. It starts with the demand of the previous class, which so far is the cumulative
    /// demand up to the new class.
    fn ensure_class(&mut self, now: Millis, class: SlackClass) {
        if self.demands.contains_key(&class) {
            return;
        }
        let previous = self.demands.range(..class).next_back();
        let demand = previous.map_or(Demand::starting_at(now), |(_, demand)| *demand);
        self.demands.insert(class, demand);
    }

    /// Updates the headroom to `now`, given the capacity of the service's schedulable workers.
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

    /// Returns the headroom that applies to a unit of a class: one share for each class with less slack.
    /// `waited_share` is the unit's waiting time divided by the time that it may wait; the longer the unit
    /// has waited, the less headroom applies to it.
    pub(crate) fn shares_against(
        &self,
        class: SlackClass,
        waited_share: f64,
    ) -> impl Iterator<Item = HeadroomShare> + '_ {
        let deviations =
            MAX_DEVIATIONS - (MAX_DEVIATIONS - MIN_DEVIATIONS) * waited_share.clamp(0.0, 1.0);
        self.demand_shares
            .iter()
            .take_while(move |demand| demand.up_to < class)
            .map(move |demand| demand.headroom_against(class, deviations))
    }
}
