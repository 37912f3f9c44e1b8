//! Which addresses are probed next, and which probes are in flight.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// Probes sent in one round: more than one, as some members may be down; few, as every gate and agent probes.
const MAX_PROBES_PER_ROUND: usize = 3;

/// A rotation over all known addresses.
///
/// Invariant: at most one probe to an address is in flight. The owner reports the end of each by
/// [`ProbeRotation::on_completed`].
#[derive(Debug, Default)]
pub(super) struct ProbeRotation {
    rotation: VecDeque<Arc<str>>,
    in_flight: BTreeSet<Arc<str>>,
}

impl ProbeRotation {
    /// Replaces the addresses, each kept once, and begins at the one that `first` chooses for their number. Probes in
    /// flight stay so.
    pub(super) fn reset<'a>(
        &mut self,
        addresses: impl Iterator<Item = &'a Arc<str>>,
        first: impl FnOnce(usize) -> usize,
    ) {
        self.rotation.clear();
        for address in addresses {
            if !self.rotation.contains(address) {
                self.rotation.push_back(Arc::clone(address));
            }
        }
        self.rotation.rotate_left(first(self.rotation.len()));
    }

    /// Begins probes to the next addresses that have none in flight.
    pub(super) fn begin_round(&mut self) -> Vec<Arc<str>> {
        let mut begun = Vec::new();
        for _ in 0..self.rotation.len() {
            let Some(address) = self.rotation.pop_front() else {
                break;
            };
            self.rotation.push_back(Arc::clone(&address));
            begun.extend(self.begin(address));
            if begun.len() == MAX_PROBES_PER_ROUND {
                break;
            }
        }
        begun
    }

    /// Begins a probe to `address` unless one is in flight there.
    pub(super) fn begin(&mut self, address: Arc<str>) -> Option<Arc<str>> {
        self.in_flight
            .insert(Arc::clone(&address))
            .then_some(address)
    }

    /// The probe to `address` got a response or failed.
    pub(super) fn on_completed(&mut self, address: &str) {
        self.in_flight.remove(address);
    }
}
