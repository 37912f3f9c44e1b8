//! State machine of the discovery: determines the primary from the views that members send and from failed
//! requests.

use super::jitter::Jitter;
use super::probes::ProbeRotation;
use std::ops::Range;
use std::sync::Arc;
use streamusher_protocol::internal::{ClusterView, CoreAddress};
use streamusher_protocol::Millis;

/// Range of the pause between two rounds of probes while no primary is known. Each process draws random
/// pauses, so that processes do not probe in lockstep.
const PROBE_ROUND_INTERVAL_MS: Range<Millis> = 100..200;

/// A primary that has not responded for this long is probed, so that its failure is detected even without
/// requests. The interval exceeds the time for which the primary holds an agent's sync, since the response to
/// a sync also shows that the primary responds.
const PRIMARY_PROBE_INTERVAL_MS: Millis = 500;

/// Maximum number of members stored: more than any cluster has.
const MAX_MEMBERS: usize = 64;

/// Finds the primary and tracks how recently it responded.
///
/// A view is ignored if its epoch is older than the newest one seen. A primary that fails a request becomes
/// *suspected*: [`PrimaryDiscovery::primary`] then returns `None` until that primary itself responds or a
/// newer epoch names another. Views that other members send for the same epoch do not clear the suspicion.
///
/// ```
/// use streamusher_dataplane::control_plane::PrimaryDiscovery;
/// use streamusher_protocol::internal::{ClusterView, CoreAddress};
///
/// let seed = CoreAddress { internal: "10.0.0.1:7300".into(), control: "10.0.0.1:8144".into() };
/// let mut discovery = PrimaryDiscovery::new(vec![seed.clone()], 42);
/// assert_eq!(discovery.take_due_probes(0), [seed.internal.clone()]);
///
/// // The probe's response: the seed is the primary of epoch 1.
/// let view = ClusterView { epoch: 1, primary: Some(seed.clone()), members: vec![seed.clone()] };
/// discovery.on_view(5, &seed.internal, &view);
/// assert_eq!(discovery.primary(), Some(&seed));
///
/// discovery.on_request_failed(9, &seed.internal);
/// assert_eq!(discovery.primary(), None);
/// ```
#[derive(Debug)]
pub struct PrimaryDiscovery {
    seeds: Vec<CoreAddress>,
    members: Vec<CoreAddress>,
    epoch: u64,
    primary: Option<CoreAddress>,
    /// Internal address of the primary of `epoch`, if it is suspected.
    suspected: Option<Arc<str>>,
    last_response_at: Option<Millis>,
    probes: ProbeRotation,
    next_round_at: Millis,
    /// Selects the member to watch: an index, modulo their number, into the members other than the primary.
    watch_index: usize,
    jitter: Jitter,
}

impl PrimaryDiscovery {
    /// Creates a discovery that knows only the seeds. `jitter_seed` differs between processes.
    pub fn new(seeds: Vec<CoreAddress>, jitter_seed: u64) -> PrimaryDiscovery {
        let mut jitter = Jitter::new(jitter_seed);
        let watch_index = jitter.index(MAX_MEMBERS);
        let mut discovery = PrimaryDiscovery {
            seeds: Vec::new(),
            members: Vec::new(),
            epoch: 0,
            primary: None,
            suspected: None,
            last_response_at: None,
            probes: ProbeRotation::default(),
            next_round_at: 0,
            watch_index,
            jitter,
        };
        discovery.set_seeds(seeds);
        discovery
    }

    /// Replaces the seeds, for example after a reload of the settings.
    pub fn set_seeds(&mut self, seeds: Vec<CoreAddress>) {
        self.seeds = seeds;
        self.reset_probes();
    }

    /// The primary; `None` if none is known or the known one is suspected.
    pub fn primary(&self) -> Option<&CoreAddress> {
        self.primary
            .as_ref()
            .filter(|primary| self.suspected.as_ref() != Some(&primary.internal))
    }

    /// The newest epoch seen.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The members listed in the newest view.
    pub fn members(&self) -> &[CoreAddress] {
        &self.members
    }

    /// Whether a primary is known that responded within `max_age_ms` before `now`.
    pub fn is_fresh(&self, now: Millis, max_age_ms: Millis) -> bool {
        let responded = self
            .last_response_at
            .is_some_and(|at| now.saturating_sub(at) <= max_age_ms);
        responded && self.primary().is_some()
    }

    /// Handles the view sent by the member at the internal address `from`.
    pub fn on_view(&mut self, now: Millis, from: &str, view: &ClusterView) {
        self.probes.on_completed(from);
        let keeps_primary = cfg!(feature = "mutant-not-primary") && self.primary().is_some();
        if view.epoch < self.epoch || keeps_primary {
            return;
        }
        let is_newer = view.epoch > self.epoch;
        self.epoch = view.epoch;
        self.update_members(&view.members, is_newer);
        match &view.primary {
            Some(primary) => self.update_primary(now, from, primary, is_newer),
            None if is_newer => self.primary = None,
            None if self.is_current_primary(from) => self.suspected = Some(from.into()),
            // Another member no longer knows the primary. Failed requests of this process decide, not that
            // member's suspicion.
            None => {}
        }
    }

    /// Handles a response of the member at `address` to a request that only a primary accepts.
    pub fn on_response(&mut self, now: Millis, address: &str) {
        self.probes.on_completed(address);
        if self.is_current_primary(address) {
            self.suspected = None;
            self.last_response_at = Some(now);
        }
    }

    /// Handles the failure of a request or probe to `address`. If this is the primary's address, a round of
    /// probes is due immediately.
    pub fn on_request_failed(&mut self, now: Millis, address: &str) {
        self.probes.on_completed(address);
        if self.is_current_primary(address) && self.suspected.as_deref() != Some(address) {
            self.suspected = Some(address.into());
            self.next_round_at = now;
        }
    }

    /// Handles the rejection of a request by the member at `address`, which is not the primary. `view` is
    /// part of the rejection.
    pub fn on_not_primary(&mut self, now: Millis, address: &str, view: &ClusterView) {
        if cfg!(feature = "mutant-not-primary") {
            return;
        }
        self.on_request_failed(now, address);
        self.on_view(now, address, view);
        let names_itself = self.is_current_primary(address);
        if names_itself {
            self.suspected = Some(address.into());
        }
    }

    /// Whether a request to `address` must be abandoned because another member is now the primary.
    pub fn is_superseded(&self, address: &str) -> bool {
        self.primary()
            .is_some_and(|primary| *primary.internal != *address)
    }

    /// The member to watch for the next epoch: not the primary, since a failed primary cannot announce its
    /// successor.
    pub fn watch_target(&self) -> Option<Arc<str>> {
        let candidates: Vec<&CoreAddress> = self
            .members
            .iter()
            .filter(|member| !self.is_current_primary(&member.internal))
            .collect();
        let index = self.watch_index.checked_rem(candidates.len())?;
        Some(Arc::clone(&candidates[index].internal))
    }

    /// Selects the next member to watch, because the current one does not respond or its epoch is older than
    /// [`Self::epoch`].
    pub fn advance_watch_target(&mut self) {
        self.watch_index = self.watch_index.wrapping_add(1);
    }

    /// Starts the probes that are due and returns their addresses. Each probe must be completed by
    /// [`Self::on_view`] or [`Self::on_request_failed`]; until then its address is not probed again.
    pub fn take_due_probes(&mut self, now: Millis) -> Vec<Arc<str>> {
        if now < self.next_probe_at() {
            return Vec::new();
        }
        let pause = self.jitter.duration_ms(&PROBE_ROUND_INTERVAL_MS);
        self.next_round_at = now.saturating_add(pause);
        match self.primary().map(|primary| Arc::clone(&primary.internal)) {
            Some(primary) => self.probes.begin(primary).into_iter().collect(),
            None => self.probes.begin_round(),
        }
    }

    /// Time at which the next round of [`Self::take_due_probes`] is due.
    pub fn next_probe_at(&self) -> Millis {
        match (self.primary(), self.last_response_at) {
            (Some(_), Some(at)) => {
                let probe_at = at.saturating_add(PRIMARY_PROBE_INTERVAL_MS);
                self.next_round_at.max(probe_at)
            }
            _ => self.next_round_at,
        }
    }

    /// Whether `address` is the internal address of a seed, a member or the primary.
    pub fn is_known(&self, address: &str) -> bool {
        let mut known = self.seeds.iter().chain(&self.members).chain(&self.primary);
        known.any(|member| *member.internal == *address)
    }

    fn update_primary(&mut self, now: Millis, from: &str, primary: &CoreAddress, is_newer: bool) {
        let names_itself = *primary.internal == *from;
        let has_changed = !self.is_current_primary(&primary.internal);
        if is_newer || names_itself {
            self.suspected = None;
        }
        if is_newer || has_changed {
            self.last_response_at = None;
        }
        if names_itself {
            self.last_response_at = Some(now);
        }
        self.primary = Some(primary.clone());
    }

    fn is_current_primary(&self, address: &str) -> bool {
        self.primary
            .as_ref()
            .is_some_and(|primary| *primary.internal == *address)
    }

    fn update_members(&mut self, members: &[CoreAddress], is_newer: bool) {
        let is_unchanged = !is_newer && self.members == members;
        if members.is_empty() || is_unchanged {
            return;
        }
        self.members = members.iter().take(MAX_MEMBERS).cloned().collect();
        self.reset_probes();
    }

    /// Resets the rotation to all known addresses, members before seeds, and starts at a random one.
    fn reset_probes(&mut self) {
        let known = self.members.iter().chain(&self.seeds);
        let addresses = known.map(|member| &member.internal);
        self.probes
            .reset(addresses, |count| self.jitter.index(count));
    }
}
