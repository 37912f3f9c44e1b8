//! Reasons why a unit waits, and the explanation that is returned to an operator.

use serde::{Deserialize, Serialize};
use streamusher_protocol::Millis;

/// Why a unit waits. If several reasons hold, the first in this order is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum WaitReason {
    /// The unit's service has no schedulable worker.
    #[serde(rename = "no_worker_takes_work")]
    NoSchedulableWorker,
    /// No schedulable worker has the label that the unit requires.
    #[serde(rename = "no_worker_has_its_label")]
    NoMatchingLabel,
    /// No schedulable worker with the label is large enough, even when empty.
    #[serde(rename = "no_worker_is_large_enough")]
    NoWorkerLargeEnough,
    /// Every eligible worker already has as many tasks of the unit's step as the step's `anti_affinity`
    /// allows.
    #[serde(rename = "no_worker_is_below_its_limit")]
    AntiAffinityLimitReached,
    /// Capacity is reserved for the unit and becomes free soon.
    #[serde(rename = "room_is_kept")]
    CapacityReserved,
    /// No eligible worker has enough free capacity.
    #[serde(rename = "no_room_is_free")]
    NoFreeCapacity,
    /// Capacity is free, but it is reserved for others or on workers that are avoided because of failures.
    #[serde(rename = "room_is_kept_for_others")]
    CapacityReservedForOthers,
}

/// Why a unit waits, with the counts that the reason is derived from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitExplanation {
    /// Reason for the wait.
    pub reason: WaitReason,
    /// How long the unit has waited, in milliseconds.
    pub waited_ms: Millis,
    /// Number of units, of all services, that come earlier in the queue.
    #[serde(rename = "ahead")]
    pub units_ahead: usize,
    /// Number of schedulable workers of the unit's service.
    #[serde(rename = "open_workers")]
    pub schedulable_workers: usize,
    /// Number of these workers that could run the unit if they were empty.
    pub eligible_workers: usize,
    /// Number of eligible workers on which the step's `anti_affinity` allows one more task.
    #[serde(rename = "workers_below_limit", default)]
    pub workers_below_limit: usize,
    /// Number of workers below the limit that have enough free capacity for one task of the unit.
    #[serde(rename = "workers_with_room")]
    pub workers_with_free_capacity: usize,
    /// Number of workers whose queue holds a copy of the unit.
    pub copies: usize,
}
