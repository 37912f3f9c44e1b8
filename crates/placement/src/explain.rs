//! Why a unit waits, for operators.

use crate::placement::Placement;
use crate::queue::Waiting;
use serde::{Deserialize, Serialize};
use streamusher_protocol::unit::UnitId;
use streamusher_protocol::Millis;

/// Why a unit waits: the first of these that holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// No worker of its service takes work.
    #[serde(rename = "no_worker_takes_work")]
    NoSchedulableWorker,
    /// None of those has the label that it asks for.
    #[serde(rename = "no_worker_has_its_label")]
    NoMatchingLabel,
    /// None of those is large enough, however empty.
    #[serde(rename = "no_worker_is_large_enough")]
    NoWorkerLargeEnough,
    /// Room is kept for it at workers where it comes free soon.
    #[serde(rename = "room_is_kept")]
    CapacityReserved,
    /// No worker that could run it has the room free.
    #[serde(rename = "no_room_is_free")]
    NoFreeCapacity,
    /// There is room, but it is kept for others, or the workers with room are avoided for failures.
    #[serde(rename = "room_is_kept_for_others")]
    CapacityReservedForOthers,
}

/// How a unit waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitExplanation {
    /// Why.
    pub reason: WaitReason,
    /// For how long, in milliseconds.
    pub waited_ms: Millis,
    /// Units of all services that come before it.
    #[serde(rename = "ahead")]
    pub units_ahead: usize,
    /// Workers of its service that take work.
    #[serde(rename = "open_workers")]
    pub schedulable_workers: usize,
    /// Those that could run it if they were empty.
    pub eligible_workers: usize,
    /// Those of them with the room free.
    #[serde(rename = "workers_with_room")]
    pub workers_with_free_capacity: usize,
    /// Workers in whose queues a copy of it waits.
    pub copies: usize,
}

impl Placement {
    /// How a unit waits; none where it does not. Looks at every worker of the service and every unit before it.
    pub fn explain(&self, now: Millis, unit: &UnitId) -> Option<WaitExplanation> {
        let key = self.queue.key_of(unit)?;
        let waiting = self.queue.get(key)?;
        let wanted = &waiting.unit;
        let open: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.info.schedulable && worker.info.service == wanted.service)
            .collect();
        let is_labelled =
            |label: &std::sync::Arc<str>| open.iter().any(|(_, worker)| worker.has_label(label));
        let has_label = wanted.node_selector.as_ref().is_none_or(is_labelled);
        let eligible: Vec<_> = open
            .iter()
            .filter(|(slot, _)| self.is_eligible(wanted, *slot))
            .collect();
        let fits_now = |worker: &crate::room::Worker| worker.free().covers(&wanted.resources);
        let with_room = eligible
            .iter()
            .filter(|(_, worker)| fits_now(worker))
            .count();
        Some(WaitExplanation {
            reason: reason(waiting, open.len(), has_label, eligible.len(), with_room),
            waited_ms: waiting.waited(now),
            units_ahead: self.queue.before(key),
            schedulable_workers: open.len(),
            eligible_workers: eligible.len(),
            workers_with_free_capacity: with_room,
            copies: waiting.copies.len(),
        })
    }
}

fn reason(
    waiting: &Waiting,
    open: usize,
    has_label: bool,
    eligible: usize,
    with_room: usize,
) -> WaitReason {
    match () {
        () if open == 0 => WaitReason::NoSchedulableWorker,
        () if !has_label => WaitReason::NoMatchingLabel,
        () if eligible == 0 => WaitReason::NoWorkerLargeEnough,
        () if !waiting.reserved.is_empty() => WaitReason::CapacityReserved,
        () if with_room == 0 => WaitReason::NoFreeCapacity,
        () => WaitReason::CapacityReservedForOthers,
    }
}
