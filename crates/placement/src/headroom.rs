//! Room kept free of work that can wait, so that work that cannot starts without stopping others.
//!
//! How long the units of a queue can wait is observed: the mean of their slack. Queues are put into classes by it, each with
//! twice the slack of the one before. Room is kept for what the classes up to one take together, against all that is behind it.

use crate::amounts::Amounts;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use streamusher_protocol::Millis;

/// The mean and the swing of demand follow it with this time constant: some cycles of bursts.
const TIME_CONSTANT_MS: f64 = 6_000.0;
/// Mean distances above the mean that are kept against work whose turn has just come, and against work that has waited for
/// its part of its slack: wide steps come in bursts, and a step is over with its slowest task.
const MOST_SWINGS: f64 = 3.0;
const LEAST_SWINGS: f64 = 1.0;
/// At most this share of a service is kept: a stop takes longer than work that cannot wait has. What waits long in a service
/// with much free room takes it all the same.
const MOST_KEPT: f64 = 0.6;
/// Newest unit's part in the mean slack of its queue: the tasks of some wide steps.
const PART_OF_NEWEST: f64 = 0.01;
/// A queue changes its class when its mean slack is so many classes away from it: more than half, lest it swings.
const CHANGED_CLASS: f64 = 0.75;
/// Queues that are remembered; where there are more, all are learnt anew, lest those that are gone pile up.
const MOST_QUEUES: usize = 4_096;
/// Room is kept whole against classes from this distance on, in part against nearer ones.
const WHOLE_DISTANCE: f64 = 2.0;

/// How long units can wait: the binary logarithm of their queue's mean slack in milliseconds, rounded.
pub(crate) type Patience = u32;

/// What tasks that run or wait take together, over time.
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

/// What is known of a queue.
#[derive(Clone, Copy, Debug)]
struct QueuePatience {
    /// Binary logarithm of the mean slack.
    mean: f64,
    class: Patience,
    priority: u32,
}

impl QueuePatience {
    fn learn(&mut self, observed: f64) {
        self.mean += PART_OF_NEWEST * (observed - self.mean);
        if (self.mean - f64::from(self.class)).abs() > CHANGED_CLASS {
            self.class = self.mean.round() as Patience;
        }
    }
}

/// Room kept for the classes up to one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kept {
    /// The last of the classes that it is kept for; it is kept free of all behind.
    pub up_to: Patience,
    /// The most urgent priority among their queues.
    pub most_urgent: u32,
    /// The share of each kind of room.
    pub shares: Amounts,
}

/// What the classes up to one take, as shares of each kind of room.
#[derive(Clone, Copy, Debug)]
struct Taken {
    up_to: Patience,
    most_urgent: u32,
    mean: Amounts,
    swing: Amounts,
}

impl Taken {
    fn kept_against(&self, class: Patience, swings: f64) -> Kept {
        let part = (f64::from(class - self.up_to) / WHOLE_DISTANCE).min(1.0);
        let share =
            |kind: usize| part * (self.mean[kind] + swings * self.swing[kind]).min(MOST_KEPT);
        Kept {
            up_to: self.up_to,
            most_urgent: self.most_urgent,
            shares: [0, 1, 2].map(share),
        }
    }
}

/// The demand for one service by how long its units can wait, and what is kept free for those that can wait less.
#[derive(Clone, Debug, Default)]
pub(crate) struct Headroom {
    queues: HashMap<Arc<str>, QueuePatience>,
    /// Per class: the demand of all classes up to it.
    demands: BTreeMap<Patience, Demand>,
    taken: Vec<Taken>,
}

impl Headroom {
    /// Learns how long a unit of a queue may wait; answers the class of the queue.
    pub fn learn_slack(&mut self, queue: &Arc<str>, priority: u32, slack_ms: Millis) -> Patience {
        let observed = (slack_ms.max(1) as f64).log2();
        if self.queues.len() >= MOST_QUEUES && !self.queues.contains_key(queue) {
            self.queues.clear();
        }
        let first = || QueuePatience {
            mean: observed,
            class: observed.round() as Patience,
            priority,
        };
        let known = self.queues.entry(queue.clone()).or_insert_with(first);
        known.priority = priority;
        known.learn(observed);
        known.class
    }

    /// Demand of a class rises (1.0) or falls (-1.0) by what a task takes.
    pub fn change(&mut self, now: Millis, class: Patience, amounts: Amounts, sign: f64) {
        if !self.demands.contains_key(&class) {
            // So far the classes up to this one were those up to the one before.
            let before = self
                .demands
                .range(..class)
                .next_back()
                .map(|(_, demand)| *demand);
            self.demands.insert(
                class,
                before.unwrap_or(Demand {
                    at: now,
                    ..Demand::default()
                }),
            );
        }
        for demand in self.demands.range_mut(class..).map(|(_, demand)| demand) {
            demand.carry(now);
            for (present, part) in demand.present.iter_mut().zip(amounts) {
                *present = (*present + sign * part).max(0.0);
            }
        }
    }

    /// Works out anew what is kept, given the room of the service's open workers.
    pub fn settle(&mut self, now: Millis, capacity: Amounts) {
        self.taken.clear();
        for (&up_to, demand) in &mut self.demands {
            demand.carry(now);
            let share =
                |amounts: Amounts| [0, 1, 2].map(|kind| amounts[kind] / capacity[kind].max(1.0));
            let queues = self.queues.values().filter(|queue| queue.class <= up_to);
            let most_urgent = queues.map(|queue| queue.priority).min().unwrap_or(0);
            let (mean, swing) = (share(demand.mean), share(demand.swing));
            self.taken.push(Taken {
                up_to,
                most_urgent,
                mean,
                swing,
            });
        }
    }

    /// What must stay free of a unit that has waited for this part of its patience, and of which classes.
    pub fn against(&self, class: Patience, waited: f64) -> impl Iterator<Item = Kept> + '_ {
        let swings = MOST_SWINGS - (MOST_SWINGS - LEAST_SWINGS) * waited.clamp(0.0, 1.0);
        let nearer = self
            .taken
            .iter()
            .take_while(move |taken| taken.up_to < class);
        nearer.map(move |taken| taken.kept_against(class, swings))
    }
}
