//! Reservations: capacity of a worker that is kept for a pending unit.

use crate::index::QueueKey;
use streamusher_protocol::heartbeat::Resources;
use streamusher_protocol::Millis;

/// Capacity of a worker that is kept for a pending unit.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    /// Unit that the capacity is reserved for.
    pub(crate) unit: QueueKey,
    pub(crate) resources: Resources,
    /// When the capacity is expected to be free. Tasks that end earlier may use it.
    pub(crate) available_at: Millis,
    /// Time from which the reservation no longer applies.
    pub(crate) expires_at: Millis,
    /// Whether runs were preempted for it.
    pub(crate) by_preemption: bool,
}

/// Access of a unit to capacity that is kept for others, in addition to unreserved free capacity. It widens
/// with the unit's waiting time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum HeadroomAccess {
    /// No access.
    Denied,
    /// Headroom, and reservations for which nothing was preempted.
    ExceptPreempted,
    /// Also reservations for which runs were preempted.
    Full,
}

impl Reservation {
    /// Whether the reservation makes its capacity unavailable to a unit.
    pub(crate) fn blocks(&self, now: Millis, unit: QueueKey, access: HeadroomAccess) -> bool {
        let is_overridden = match access {
            HeadroomAccess::Denied => false,
            HeadroomAccess::ExceptPreempted => !self.by_preemption,
            HeadroomAccess::Full => true,
        };
        self.unit < unit && self.expires_at > now && !is_overridden
    }
}
