//! Merges the workers of all inventory sources and tracks which of them drain. Performs no I/O; the current
//! time is passed in.
//!
//! Sources have an order of precedence: the first source that lists a worker supplies its description. A
//! worker that no source lists any longer is drained, and removed after the drain time, when its jobs must
//! have ended.
//!
//! Invariants, the second of which is asserted after each update in debug builds:
//! - the generation increases with every change and only then;
//! - a worker is ready if and only if a source lists it;
//! - a draining worker that is listed again at the same address keeps its start time. At a new address it
//!   gets a new start time, and its caches are cold.

use crate::host::Host;
use imbl::OrdMap;
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// Hosts of one source, by name.
type HostsByName = BTreeMap<Arc<str>, Arc<Host>>;

/// Limits on a single update, and the drain time.
#[derive(Clone, Debug)]
pub struct MembershipPolicy {
    /// Time between the last update that listed a worker and the worker's removal: the longest deadline of a
    /// job.
    pub drain_us: Micros,
    /// Maximum fraction of a zone's ready workers that one update may drain. One worker per zone may always
    /// be drained.
    pub max_drained_fraction: f64,
    /// Whether an update without any worker is accepted.
    pub allow_empty: bool,
}

/// Whether a worker receives new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// The worker receives new work.
    Ready,
    /// The worker finishes its current work and receives no more. Holds the time at which the drain started.
    Draining(Micros),
}

/// A worker and its membership state.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerEntry {
    /// Description from the source with the highest precedence that lists the worker.
    pub host: Arc<Host>,
    /// Index of the source that supplied the description.
    pub source: usize,
    /// Whether the worker receives new work.
    pub state: WorkerState,
    /// Time at which the worker started, as far as known; 0 for workers listed in the first update.
    pub since: Micros,
}

/// An immutable snapshot of all workers. Cloning is cheap.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerSet {
    /// Version number; increases with every change.
    pub generation: u64,
    /// Workers by name.
    pub workers: OrdMap<Arc<str>, WorkerEntry>,
}

/// Reason why an update was rejected. A rejected update leaves the worker set unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UpdateRejected {
    /// The update lists no worker, and the policy does not allow an empty update.
    #[error("update lists no worker")]
    Empty,
    /// The update would drain more workers of a zone than the policy allows.
    #[error("update would drain {drained} of {ready} workers of {zone} at once")]
    TooManyDrained {
        /// Name of the zone.
        zone: String,
        /// Number of the zone's ready workers that the update would drain.
        drained: usize,
        /// Number of ready workers in the zone before the update.
        ready: usize,
    },
}

/// Whether the policy's limit on drained workers applies to an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainLimit {
    /// The limit of the policy applies.
    Enforced,
    /// The limit does not apply, because an operator confirmed the update.
    Overridden,
}

/// The last valid update of a source, and its status.
#[derive(Clone, Debug, Default)]
struct SourceState {
    /// Hosts of the last valid update.
    hosts: HostsByName,
    /// Reason why the latest update is not in effect; `None` if it is.
    stale_reason: Option<String>,
    has_reported: bool,
}

/// Number of ready workers in a zone, and how many of them an update would drain.
#[derive(Default)]
struct ZoneDrain {
    drained: usize,
    ready: usize,
}

/// Merges the inventories of several sources into one worker set.
#[derive(Clone, Debug)]
pub struct Membership {
    policy: MembershipPolicy,
    /// Sources in order of precedence, highest first.
    sources: Vec<SourceState>,
    set: WorkerSet,
}

impl Membership {
    /// Creates a membership for the given number of sources, none of which has reported yet. Sources with a
    /// lower index take precedence.
    pub fn new(policy: MembershipPolicy, source_count: usize) -> Membership {
        Membership {
            policy,
            sources: vec![SourceState::default(); source_count],
            set: WorkerSet::default(),
        }
    }

    /// Returns the current workers, both ready and draining.
    pub fn worker_set(&self) -> &WorkerSet {
        &self.set
    }

    /// Returns the reason why the latest update of a source is not in effect; `None` if it is.
    ///
    /// # Panics
    /// If there is no source with this index.
    pub fn stale_reason(&self, source: usize) -> Option<&str> {
        self.sources[source].stale_reason.as_deref()
    }

    /// Replaces the hosts of a source. The update is applied as a whole or rejected. Returns whether the
    /// worker set changed.
    ///
    /// # Errors
    /// If the update violates the policy.
    ///
    /// # Panics
    /// If there is no source with this index.
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
        // Workers of the first update were running before this process started, so that none of them is cold.
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

    /// Records that a source could not be read or was invalid. Its last valid update stays in effect.
    ///
    /// # Panics
    /// If there is no source with this index.
    pub fn on_source_failed(&mut self, source: usize, reason: impl Into<String>) {
        self.sources[source].stale_reason = Some(reason.into());
    }

    /// Removes workers whose drain time has passed. Returns whether the worker set changed.
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

    /// Returns the time at which the next drain ends; `None` if no worker is draining.
    pub fn next_due(&self) -> Option<Micros> {
        let workers = self.set.workers.values();
        workers
            .filter_map(|worker| drain_end(worker, self.policy.drain_us))
            .min()
    }

    /// Checks that each worker is ready if and only if a source lists it.
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

    /// Counts, per zone, the ready workers and those that the given hosts of a source would drain.
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

    /// Updates the named workers from the current sources. Returns whether any of them changed.
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
            "a worker is ready if and only if a source lists it"
        );
        has_changed
    }

    /// Computes the entry of a worker from the current sources; `None` if the entry does not change.
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

/// Returns the time at which a worker's drain ends; `None` if the worker is not draining.
fn drain_end(worker: &WorkerEntry, drain_us: Micros) -> Option<Micros> {
    match worker.state {
        WorkerState::Ready => None,
        WorkerState::Draining(since) => Some(since.saturating_add(drain_us)),
    }
}

/// Returns the names of hosts that were added, removed or changed, so that an update with few changes is
/// cheap.
fn differing_names(old: &HostsByName, new: &HostsByName) -> Vec<Arc<str>> {
    let added = new.keys().filter(|name| !old.contains_key(*name));
    old.keys()
        .chain(added)
        .filter(|name| old.get(*name) != new.get(*name))
        .cloned()
        .collect()
}
