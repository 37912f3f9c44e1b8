//! When machines, workers and the control plane were last struck by faults.

use crate::network::MachineId;
use crate::workers::effect::WorkerIndex;
use std::collections::BTreeMap;
use streamusher_protocol::Millis;

/// The faults of one machine or worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FaultRecord {
    /// Faults that are not over.
    pub(crate) ongoing: u32,
    /// The last beginning or end of one.
    pub(crate) last_at: Millis,
}

/// The faults of a fleet so far.
#[derive(Debug, Default)]
pub(crate) struct FaultHistory {
    machines: BTreeMap<MachineId, FaultRecord>,
    workers: BTreeMap<WorkerIndex, FaultRecord>,
    /// The last beginning or end of a fault in the control plane.
    pub(crate) last_control_event_at: Millis,
    /// That event left the control plane without a connected majority.
    pub(crate) majority_lost: bool,
    /// More control machines than tolerated have been lost at once, and not all have been back for long since.
    pub(crate) overlapped: bool,
    /// Faults that slow the whole control plane and are not over.
    control_slowdowns: u32,
}

impl FaultHistory {
    pub(crate) fn machine(&self, machine: MachineId) -> FaultRecord {
        self.machines.get(&machine).copied().unwrap_or_default()
    }

    pub(crate) fn machine_mut(&mut self, machine: MachineId) -> &mut FaultRecord {
        self.machines.entry(machine).or_default()
    }

    /// The records of all workers that were ever struck.
    pub(crate) fn workers(&self) -> impl Iterator<Item = &FaultRecord> {
        self.workers.values()
    }

    /// Something happens to a worker and is over at once.
    pub(crate) fn on_worker_fault(&mut self, now: Millis, worker: WorkerIndex) {
        self.workers.entry(worker).or_default().last_at = now;
    }

    /// A fault of a worker begins.
    pub(crate) fn begin_worker_fault(&mut self, now: Millis, worker: WorkerIndex) {
        self.on_worker_fault(now, worker);
        self.workers.entry(worker).or_default().ongoing += 1;
    }

    /// A fault of a worker ends.
    pub(crate) fn end_worker_fault(&mut self, now: Millis, worker: WorkerIndex) {
        self.on_worker_fault(now, worker);
        let record = self.workers.entry(worker).or_default();
        record.ongoing = record.ongoing.saturating_sub(1);
    }

    /// A disk, a link or the network is slowed, which concerns all control machines.
    pub(crate) fn begin_control_slowdown(&mut self, now: Millis) {
        self.last_control_event_at = now;
        self.control_slowdowns += 1;
    }

    /// Such a fault ends.
    pub(crate) fn end_control_slowdown(&mut self, now: Millis) {
        self.last_control_event_at = now;
        self.control_slowdowns = self.control_slowdowns.saturating_sub(1);
    }

    /// Whether the whole control plane is slowed.
    pub(crate) fn is_control_slowed(&self) -> bool {
        self.control_slowdowns > 0
    }
}
