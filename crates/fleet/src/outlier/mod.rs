//! Outlier detection: observations of one worker by several members are merged so that no member counts
//! twice, a few members cannot have a worker ejected, and all of them together eject at most a fraction of a
//! zone.
//!
//! An observation expires unless its observer renews it. A member's own evidence takes precedence: a worker
//! that has recently served this member is not ejected here, whatever the others report.

mod observation;

pub use observation::{Observation, WorkerFault, WorkerIncarnation};

use crate::incarnation::{Incarnation, Micros};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The longest lifetime of an observation; longer ones are capped.
pub const MAX_OBSERVATION_LIFETIME: Micros = 30_000_000;
/// Maximum number of observations that are kept; when there are more, those that expire first are dropped.
pub const MAX_OBSERVATIONS: usize = 4_096;
/// The weight of the observation that retracts an earlier one.
const RETRACTION_WEIGHT: u8 = 1;

/// Conditions for an ejection.
#[derive(Clone, Copy, Debug)]
pub struct EjectionPolicy {
    /// The number of members that must observe the same fault.
    pub min_observers: usize,
    /// The largest fraction of a zone's workers that is ejected.
    pub max_ejected_fraction: f64,
}

/// A worker that accepts work, and its zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZonedWorker {
    /// The worker's current incarnation.
    pub worker: WorkerIncarnation,
    /// The worker's zone.
    pub zone: Arc<str>,
}

/// A worker that enough members have observed as faulty.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Ejection {
    /// The worker's name in discovery.
    pub worker: Arc<str>,
    /// The fault with the most weight.
    pub fault: WorkerFault,
    /// The sum of the weights of all observers of the fault.
    pub weight: u32,
    /// The number of members that observed the fault.
    #[serde(rename = "authors")]
    pub observers: usize,
}

#[derive(Clone, Debug)]
struct RecordedObservation {
    observer_number: u64,
    sequence: u64,
    fault: Option<WorkerFault>,
    weight: u8,
    expires_at: Micros,
}

/// The total weight and the number of the observers of one fault.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Support {
    weight: u32,
    observers: usize,
}

/// All observations that one member holds.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    local: Incarnation,
    sequence: u64,
    /// By worker, then by observer's name: no member counts twice, even with two incarnations.
    observations: BTreeMap<WorkerIncarnation, BTreeMap<Arc<str>, RecordedObservation>>,
    count: usize,
    /// Workers that have served this member, and until when that takes precedence over others' observations.
    exonerated_until: BTreeMap<WorkerIncarnation, Micros>,
    /// The last observation that was sent, from which the next selection continues.
    cursor: Option<(WorkerIncarnation, Arc<str>)>,
}

impl OutlierDetector {
    /// Creates a detector without observations.
    pub fn new(local: Incarnation) -> OutlierDetector {
        OutlierDetector {
            local,
            sequence: 0,
            observations: BTreeMap::new(),
            count: 0,
            exonerated_until: BTreeMap::new(),
            cursor: None,
        }
    }

    /// Records this member's own observation of a fault, which expires after `lifetime`.
    pub fn on_fault(
        &mut self,
        now: Micros,
        worker: WorkerIncarnation,
        fault: WorkerFault,
        weight: u8,
        lifetime: Micros,
    ) {
        self.exonerated_until.remove(&worker);
        self.record_own(now, worker, Some(fault), weight, lifetime);
    }

    /// Records that the worker has served this member: the member's own observation, if there is one, is
    /// retracted, and others' observations are ignored here for `lifetime`.
    pub fn on_success(&mut self, now: Micros, worker: WorkerIncarnation, lifetime: Micros) {
        let observers = self.observations.get(&worker);
        let own = observers.and_then(|by_observer| by_observer.get(&self.local.name));
        if own.is_some_and(|own| own.fault.is_some() && own.expires_at > now) {
            let retraction_lifetime = MAX_OBSERVATION_LIFETIME;
            self.record_own(
                now,
                worker.clone(),
                None,
                RETRACTION_WEIGHT,
                retraction_lifetime,
            );
        }
        self.exonerated_until
            .insert(worker, now.saturating_add(lifetime));
    }

    fn record_own(
        &mut self,
        now: Micros,
        worker: WorkerIncarnation,
        fault: Option<WorkerFault>,
        weight: u8,
        lifetime: Micros,
    ) {
        self.sequence += 1;
        let observation = RecordedObservation {
            observer_number: self.local.number,
            sequence: self.sequence,
            fault,
            weight: weight.clamp(1, 100),
            expires_at: now.saturating_add(lifetime.min(MAX_OBSERVATION_LIFETIME)),
        };
        self.record(worker, self.local.name.clone(), observation);
    }

    /// Records other members' observations. Those that name this member as the observer are ignored: a member
    /// makes its own.
    pub fn on_observations(&mut self, now: Micros, observations: &[Observation]) {
        let own_name = self.local.name.clone();
        for observation in observations {
            if observation.observer.name == own_name || observation.remaining_ms == 0 {
                continue;
            }
            let remaining = Micros::from(observation.remaining_ms) * 1_000;
            let recorded = RecordedObservation {
                observer_number: observation.observer.number,
                sequence: observation.sequence,
                fault: observation.fault,
                weight: observation.weight.clamp(1, 100),
                expires_at: now.saturating_add(remaining.min(MAX_OBSERVATION_LIFETIME)),
            };
            let observer = observation.observer.name.clone();
            self.record(observation.worker.clone(), observer, recorded);
        }
    }

    /// Keeps the newest observation of each observer; a repeated one does not extend the lifetime.
    fn record(&mut self, worker: WorkerIncarnation, observer: Arc<str>, new: RecordedObservation) {
        let by_observer = self.observations.entry(worker).or_default();
        let Some(old) = by_observer.get_mut(&observer) else {
            by_observer.insert(observer, new);
            self.count += 1;
            return;
        };
        if (old.observer_number, old.sequence) < (new.observer_number, new.sequence) {
            *old = new;
        }
    }

    /// Drops expired observations and, if more than [`MAX_OBSERVATIONS`] remain, those that expire first.
    pub fn tick(&mut self, now: Micros) {
        self.exonerated_until.retain(|_, until| *until > now);
        self.drop_expired(now);
        if self.count > MAX_OBSERVATIONS {
            let mut expiries: Vec<Micros> = self
                .observations
                .values()
                .flat_map(|by_observer| by_observer.values().map(|held| held.expires_at))
                .collect();
            expiries.sort_unstable_by(|a, b| b.cmp(a));
            self.drop_expired(expiries[MAX_OBSERVATIONS]);
        }
    }

    /// Drops observations that expire at or before this time.
    fn drop_expired(&mut self, time: Micros) {
        self.observations.retain(|_, by_observer| {
            by_observer.retain(|_, observation| observation.expires_at > time);
            !by_observer.is_empty()
        });
        self.count = self.observations.values().map(BTreeMap::len).sum();
    }

    /// Selects at most `limit` observations for another member; successive calls cycle through all of them.
    pub fn observations_to_share(&mut self, now: Micros, limit: usize) -> Vec<Observation> {
        let is_shared = |worker: &WorkerIncarnation, observer: &Arc<str>| {
            let cursor = self.cursor.as_ref();
            cursor.is_some_and(|(last_worker, last)| (worker, observer) <= (last_worker, last))
        };
        let all = || {
            self.observations.iter().flat_map(|(worker, by_observer)| {
                by_observer
                    .iter()
                    .map(move |(name, held)| (worker, name, held))
            })
        };
        let not_shared = all().filter(|(worker, name, _)| !is_shared(worker, name));
        let shared = all().filter(|(worker, name, _)| is_shared(worker, name));
        let chosen: Vec<Observation> = not_shared
            .chain(shared)
            .take(limit)
            .map(|(worker, name, held)| held.to_message(now, worker, name))
            .collect();
        self.cursor = chosen
            .last()
            .map(|last| (last.worker.clone(), last.observer.name.clone()));
        chosen
    }

    /// The workers to eject, out of those given: the worst first, and in each zone no more than the policy
    /// allows. A worker that has recently served this member is excluded; a member's own observation counts
    /// as much as any other's.
    pub fn ejections(
        &self,
        now: Micros,
        policy: EjectionPolicy,
        workers: &[ZonedWorker],
    ) -> Vec<Ejection> {
        let mut found: Vec<(Ejection, &Arc<str>)> = workers
            .iter()
            .filter(|listed| !self.is_exonerated(now, &listed.worker))
            .filter_map(|listed| {
                let ejection = self.ejection_of(now, policy, &listed.worker)?;
                Some((ejection, &listed.zone))
            })
            .collect();
        found.sort_by(|(a, _), (b, _)| {
            let by_weight = b.weight.cmp(&a.weight);
            by_weight.then_with(|| a.worker.cmp(&b.worker))
        });
        let allowed = allowed_ejections(policy, workers);
        let mut ejected: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
        found.retain(|(_, zone)| {
            let in_zone = ejected.entry(zone).or_default();
            *in_zone += 1;
            *in_zone <= allowed[zone]
        });
        found.into_iter().map(|(ejection, _)| ejection).collect()
    }

    fn is_exonerated(&self, now: Micros, worker: &WorkerIncarnation) -> bool {
        let until = self.exonerated_until.get(worker);
        until.is_some_and(|until| *until > now)
    }

    /// The worker's fault with the most weight, if enough members observe it.
    fn ejection_of(
        &self,
        now: Micros,
        policy: EjectionPolicy,
        worker: &WorkerIncarnation,
    ) -> Option<Ejection> {
        let mut support_by_fault: BTreeMap<WorkerFault, Support> = BTreeMap::new();
        for observation in self.observations.get(worker)?.values() {
            let Some(fault) = observation.fault else {
                continue;
            };
            if observation.expires_at > now {
                let support = support_by_fault.entry(fault).or_default();
                support.weight += u32::from(observation.weight);
                support.observers += 1;
            }
        }
        let worst = support_by_fault
            .into_iter()
            .max_by_key(|(_, support)| *support);
        let (fault, support) = worst?;
        (support.observers >= policy.min_observers.max(1)).then(|| Ejection {
            worker: worker.name.clone(),
            fault,
            weight: support.weight,
            observers: support.observers,
        })
    }

    /// Number of observations held.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether no observations are held.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}

/// The number of workers of each zone that may be ejected.
fn allowed_ejections(
    policy: EjectionPolicy,
    workers: &[ZonedWorker],
) -> BTreeMap<&Arc<str>, usize> {
    let mut sizes: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
    for listed in workers {
        *sizes.entry(&listed.zone).or_default() += 1;
    }
    for size in sizes.values_mut() {
        #[expect(
            clippy::cast_possible_truncation,
            reason = "a fraction of a count is rounded down"
        )]
        let allowed = (*size as f64 * policy.max_ejected_fraction) as usize;
        *size = allowed;
    }
    sizes
}

impl RecordedObservation {
    fn to_message(
        &self,
        now: Micros,
        worker: &WorkerIncarnation,
        observer: &Arc<str>,
    ) -> Observation {
        #[expect(
            clippy::cast_possible_truncation,
            reason = "MAX_OBSERVATION_LIFETIME is 30 seconds"
        )]
        let remaining_ms = (self.expires_at.saturating_sub(now) / 1_000) as u32;
        Observation {
            worker: worker.clone(),
            observer: Incarnation {
                name: observer.clone(),
                number: self.observer_number,
            },
            sequence: self.sequence,
            fault: self.fault,
            weight: self.weight,
            remaining_ms,
        }
    }
}
