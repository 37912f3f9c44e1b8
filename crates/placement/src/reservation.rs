//! Reservations: capacity of a worker that is kept for a pending unit.

use crate::index::QueueKey;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::Millis;

/// Capacity of a worker that is kept for a pending unit.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    /// The unit.
    pub(crate) unit: QueueKey,
    pub(crate) resources: Resources,
    /// When the capacity is expected to be free: what ends before may use it.
    pub(crate) available_at: Millis,
    /// From then on it does not count any more.
    pub(crate) expires_at: Millis,
    /// Runs were preempted for it.
    pub(crate) by_preemption: bool,
}

/// What a unit may take beyond free capacity that is kept for nobody. The longer it has waited, the more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum HeadroomAccess {
    /// Nothing.
    Denied,
    /// Headroom, and reservations for which nothing was preempted.
    ExceptPreempted,
    /// Also reservations for which runs were preempted.
    Full,
}

impl Reservation {
    /// Whether it keeps its capacity from a unit.
    pub(crate) fn blocks(&self, now: Millis, unit: QueueKey, access: HeadroomAccess) -> bool {
        let yields = match access {
            HeadroomAccess::Denied => false,
            HeadroomAccess::ExceptPreempted => !self.by_preemption,
            HeadroomAccess::Full => true,
        };
        self.unit < unit && self.expires_at > now && !yields
    }
}
