//! The workers of all sources together, and their drains. No I/O; takes the current time as an argument.
//!
//! Sources are merged by precedence: the first one that names a worker describes it. A worker that no source names any more
//! is drained, and removed once its jobs must have ended.
//!
//! Invariants, asserted after each change:
//! - the generation rises with every change and only then;
//! - a worker is ready exactly if a source names it;
//! - a draining worker that is named again at its address keeps its start time. One at a new address starts anew, and its
//!   caches are cold.

use crate::host::Host;
use imbl::OrdMap;
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// Microseconds, as a point in time or a span.
pub type Micros = u64;

/// Hosts of a source, by name.
type HostsByName = BTreeMap<Arc<str>, Arc<Host>>;

/// What one update may do, and how long a drain lasts.
#[derive(Clone, Debug)]
pub struct MembershipPolicy {
    /// Time from the last update that named a worker until it is removed: the longest deadline of a job.
    pub drain_us: Micros,
    /// Fraction of a zone's ready workers that one update may drain; it always may drain one.
    pub max_drained_fraction: f64,
    /// Whether an update may name no worker.
    pub allow_empty: bool,
}

/// Whether a worker gets work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// It gets work.
    Ready,
    /// It finishes its work, since this time.
    Draining(Micros),
}

/// A worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerEntry {
    /// Its description by its source.
    pub host: Arc<Host>,
    /// Index of the source that names it.
    pub source: usize,
    /// Whether it gets work.
    pub state: WorkerState,
    /// When it started, as far as known; 0 for those that were named at the start.
    pub since: Micros,
}

/// All workers at one time. A clone is cheap and never changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerSet {
    /// Rises with every change.
    pub generation: u64,
    /// The workers by name.
    pub workers: OrdMap<Arc<str>, WorkerEntry>,
}

/// Why an update was rejected. The worker set stays as it was.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UpdateRejected {
    /// It names no worker.
    #[error("it names nobody")]
    Empty,
    /// It would drain too many workers of a zone at once.
    #[error("it would drain {drained} of {ready} workers of {zone} at once")]
    TooManyDrained {
        /// The zone.
        zone: String,
        /// Workers that it would drain.
        drained: usize,
        /// Ready workers of the zone.
        ready: usize,
    },
}

/// Whether an update may drain any number of workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainLimit {
    /// No more than the policy allows.
    Enforced,
    /// Any number: an operator has confirmed it.
    Overridden,
}

/// What a source has said.
#[derive(Clone, Debug, Default)]
struct SourceState {
    /// The hosts of its last valid update.
    hosts: HostsByName,
    /// Why its newest update is not in force, if so.
    stale_reason: Option<String>,
    has_reported: bool,
}

/// Ready workers of a zone, and those of them that an update would drain.
#[derive(Default)]
struct ZoneDrain {
    drained: usize,
    ready: usize,
}

/// Merges the inventories of several sources.
#[derive(Clone, Debug)]
pub struct Membership {
    policy: MembershipPolicy,
    /// The one of highest precedence first.
    sources: Vec<SourceState>,
    set: WorkerSet,
}

impl Membership {
    /// A membership of this number of sources, none of which has reported yet. The first source takes precedence.
    pub fn new(policy: MembershipPolicy, source_count: usize) -> Membership {
        Membership {
            policy,
            sources: vec![SourceState::default(); source_count],
            set: WorkerSet::default(),
        }
    }

    /// The workers.
    pub fn worker_set(&self) -> &WorkerSet {
        &self.set
    }

    /// Why the newest update of a source is not in force; none if it is.
    ///
    /// # Panics
    /// Where there is no such source.
    pub fn stale_reason(&self, source: usize) -> Option<&str> {
        self.sources[source].stale_reason.as_deref()
    }

    /// Applies the hosts that a source names now, whole or not at all. Returns whether the workers have changed.
    ///
    /// # Errors
    /// Where the policy forbids it.
    ///
    /// # Panics
    /// Where there is no such source.
    pub fn update(
        &mut self,
        now: Micros,
        source: usize,
        hosts: Vec<Host>,
        drain_limit: DrainLimit,
    ) -> Result<bool, UpdateRejected> {
        let hosts: HostsByName = hosts
            .into_iter()
            .map(|host| (Arc::from(host.name.as_str()), Arc::new(host)))
            .collect();
        if let Err(rejected) = self.check(source, &hosts, drain_limit) {
            self.sources[source].stale_reason = Some(rejected.to_string());
            return Err(rejected);
        }
        // The workers of the first update were there before this process: none of them is cold.
        let has_any_reported = self.sources.iter().any(|source| source.has_reported);
        let started_at = if has_any_reported { now } else { 0 };
        let differing = differing_names(&self.sources[source].hosts, &hosts);
        self.sources[source] = SourceState {
            hosts,
            stale_reason: None,
            has_reported: true,
        };
        Ok(self.reconcile(now, started_at, &differing))
    }

    /// Takes note that a source could not be read or was invalid. Its last valid update stays in force.
    ///
    /// # Panics
    /// Where there is no such source.
    pub fn on_source_failed(&mut self, source: usize, reason: impl Into<String>) {
        self.sources[source].stale_reason = Some(reason.into());
    }

    /// Removes workers whose drain is over. Returns whether the workers have changed.
    pub fn tick(&mut self, now: Micros) -> bool {
        let drain_us = self.policy.drain_us;
        let is_over =
            |worker: &WorkerEntry| drain_end(worker, drain_us).is_some_and(|end| now >= end);
        let drained: Vec<Arc<str>> = self
            .set
            .workers
            .iter()
            .filter(|(_, worker)| is_over(worker))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &drained {
            self.set.workers.remove(name);
        }
        let has_changed = !drained.is_empty();
        self.set.generation += u64::from(has_changed);
        has_changed
    }

    /// When the next drain is over.
    pub fn next_due(&self) -> Option<Micros> {
        let workers = self.set.workers.values();
        workers
            .filter_map(|worker| drain_end(worker, self.policy.drain_us))
            .min()
    }

    /// Whether each worker is ready exactly if a source names it.
    pub fn is_consistent(&self) -> bool {
        let all_named = self.sources.iter().flat_map(|source| source.hosts.keys());
        let mut all_named = all_named.into_iter();
        let workers = &self.set.workers;
        workers
            .iter()
            .all(|(name, worker)| (worker.state == WorkerState::Ready) == self.is_named(name))
            && all_named.all(|name| workers.contains_key(name))
    }

    fn is_named(&self, name: &str) -> bool {
        self.sources
            .iter()
            .any(|source| source.hosts.contains_key(name))
    }

    fn is_named_by_another(&self, source: usize, name: &str) -> bool {
        self.sources
            .iter()
            .enumerate()
            .any(|(index, other)| index != source && other.hosts.contains_key(name))
    }

    fn check(
        &self,
        source: usize,
        hosts: &HostsByName,
        drain_limit: DrainLimit,
    ) -> Result<(), UpdateRejected> {
        if hosts.is_empty() && !self.policy.allow_empty {
            return Err(UpdateRejected::Empty);
        }
        if drain_limit == DrainLimit::Overridden {
            return Ok(());
        }
        for (zone, ZoneDrain { drained, ready }) in self.drains_by_zone(source, hosts) {
            if drained > self.max_drained(ready) {
                return Err(UpdateRejected::TooManyDrained {
                    zone: zone.to_owned(),
                    drained,
                    ready,
                });
            }
        }
        Ok(())
    }

    #[expect(
        clippy::cast_possible_truncation,
        reason = "a fraction of a number of workers, rounded down"
    )]
    fn max_drained(&self, ready: usize) -> usize {
        let fraction = (ready as f64 * self.policy.max_drained_fraction) as usize;
        fraction.max(1)
    }

    /// What an update of a source would drain.
    fn drains_by_zone(&self, source: usize, hosts: &HostsByName) -> BTreeMap<&str, ZoneDrain> {
        let mut zones: BTreeMap<&str, ZoneDrain> = BTreeMap::new();
        for (name, worker) in &self.set.workers {
            if worker.state != WorkerState::Ready {
                continue;
            }
            let zone = zones.entry(&worker.host.zone).or_default();
            zone.ready += 1;
            if !hosts.contains_key(name) && !self.is_named_by_another(source, name) {
                zone.drained += 1;
            }
        }
        zones
    }

    /// Brings these workers in line with what the sources say. Returns whether any of them has changed.
    fn reconcile(&mut self, now: Micros, started_at: Micros, names: &[Arc<str>]) -> bool {
        let mut has_changed = false;
        for name in names {
            let current = self.set.workers.get(name);
            let Some(next) = self.next_entry(now, started_at, name, current) else {
                continue;
            };
            if current != Some(&next) {
                has_changed = true;
                self.set.workers.insert(name.clone(), next);
            }
        }
        self.set.generation += u64::from(has_changed);
        debug_assert!(
            self.is_consistent(),
            "a worker is ready exactly if a source names it"
        );
        has_changed
    }

    /// A worker by what the sources say of it; none where it stays as it is.
    fn next_entry(
        &self,
        now: Micros,
        started_at: Micros,
        name: &str,
        current: Option<&WorkerEntry>,
    ) -> Option<WorkerEntry> {
        let named = self
            .sources
            .iter()
            .enumerate()
            .find_map(|(index, source)| Some((index, source.hosts.get(name)?)));
        if let Some((source, host)) = named {
            let since = match current {
                None => started_at,
                Some(current) if current.host.addr == host.addr => current.since,
                Some(_) => now,
            };
            return Some(WorkerEntry {
                host: host.clone(),
                source,
                state: WorkerState::Ready,
                since,
            });
        }
        let current = current.filter(|current| current.state == WorkerState::Ready)?;
        Some(WorkerEntry {
            state: WorkerState::Draining(now),
            ..current.clone()
        })
    }
}

/// When a worker's drain is over; none where it is not draining.
fn drain_end(worker: &WorkerEntry, drain_us: Micros) -> Option<Micros> {
    match worker.state {
        WorkerState::Ready => None,
        WorkerState::Draining(since) => Some(since.saturating_add(drain_us)),
    }
}

/// The names whose hosts differ: one change among thousands costs little.
fn differing_names(old: &HostsByName, new: &HostsByName) -> Vec<Arc<str>> {
    let added = new.keys().filter(|name| !old.contains_key(*name));
    old.keys()
        .chain(added)
        .filter(|name| old.get(*name) != new.get(*name))
        .cloned()
        .collect()
}
