//! Selects the addresses to probe next and tracks the probes in flight.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// Maximum number of probes started in one round: more than one, since some members may be down; few, since
/// every gate and agent sends probes.
const MAX_PROBES_PER_ROUND: usize = 3;

/// A rotation over all known addresses.
///
/// Invariant: at most one probe per address is in flight. The caller reports the end of each probe with
/// [`ProbeRotation::on_completed`].
#[derive(Debug, Default)]
pub(super) struct ProbeRotation {
    rotation: VecDeque<Arc<str>>,
    in_flight: BTreeSet<Arc<str>>,
}

impl ProbeRotation {
    /// Replaces the addresses, without duplicates, and starts the rotation at the index that `first` returns
    /// for their number. Probes in flight are not affected.
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

    /// Starts probes to the next addresses that have none in flight, and returns these addresses.
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

    /// Starts a probe to `address` unless one is in flight; returns the address if the probe is started.
    pub(super) fn begin(&mut self, address: Arc<str>) -> Option<Arc<str>> {
        self.in_flight
            .insert(Arc::clone(&address))
            .then_some(address)
    }

    /// Records that the probe to `address` received a response or failed.
    pub(super) fn on_completed(&mut self, address: &str) {
        self.in_flight.remove(address);
    }
}
