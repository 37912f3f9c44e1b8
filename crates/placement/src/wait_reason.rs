//! Why a unit waits: the reasons, and the answer to an operator who asks.

use serde::{Deserialize, Serialize};
use streamusher_protocol::Millis;

/// Why a unit waits: the first of these that holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum WaitReason {
    /// Its service has no schedulable worker.
    #[serde(rename = "no_worker_takes_work")]
    NoSchedulableWorker,
    /// No schedulable worker has the label that it asks for.
    #[serde(rename = "no_worker_has_its_label")]
    NoMatchingLabel,
    /// No schedulable worker with the label is large enough, even when empty.
    #[serde(rename = "no_worker_is_large_enough")]
    NoWorkerLargeEnough,
    /// Every worker that could run it has as many tasks of its step as the step's `anti_affinity` allows.
    #[serde(rename = "no_worker_is_below_its_limit")]
    AntiAffinityLimitReached,
    /// Capacity is reserved for it and becomes free soon.
    #[serde(rename = "room_is_kept")]
    CapacityReserved,
    /// No eligible worker has the capacity free.
    #[serde(rename = "no_room_is_free")]
    NoFreeCapacity,
    /// Capacity is free, but reserved for others, or on workers that are avoided for their failures.
    #[serde(rename = "room_is_kept_for_others")]
    CapacityReservedForOthers,
}

/// Why a unit waits, with the counts that lead to the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitExplanation {
    /// Why it waits.
    pub reason: WaitReason,
    /// For how long it has waited, in milliseconds.
    pub waited_ms: Millis,
    /// Units of all services that come before it.
    #[serde(rename = "ahead")]
    pub units_ahead: usize,
    /// Schedulable workers of its service.
    #[serde(rename = "open_workers")]
    pub schedulable_workers: usize,
    /// Workers among them that could run it if they were empty.
    pub eligible_workers: usize,
    /// Eligible workers at which the step's `anti_affinity` allows one more of its tasks.
    #[serde(rename = "workers_below_limit", default)]
    pub workers_below_limit: usize,
    /// Workers among these that have the capacity free.
    #[serde(rename = "workers_with_room")]
    pub workers_with_free_capacity: usize,
    /// Workers in whose queues it has a copy.
    pub copies: usize,
}
