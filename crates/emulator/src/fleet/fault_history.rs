//! Times of the latest faults of machines, workers and the control plane.

use crate::network::MachineId;
use crate::workers::effect::WorkerIndex;
use std::collections::BTreeMap;
use streamusher_protocol::Millis;

/// The faults of one machine or worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FaultRecord {
    /// Number of faults in progress.
    pub(crate) ongoing: u32,
    /// True time at which a fault last began or ended.
    pub(crate) last_at: Millis,
}

/// The faults of a fleet so far.
#[derive(Debug, Default)]
pub(crate) struct FaultHistory {
    machines: BTreeMap<MachineId, FaultRecord>,
    workers: BTreeMap<WorkerIndex, FaultRecord>,
    /// True time at which a fault of the control plane last began or ended.
    pub(crate) last_control_event_at: Millis,
    /// Whether the latest of these events left the control plane without a connected majority.
    pub(crate) majority_lost: bool,
    /// Whether more control machines than tolerated were lost at once. Cleared at the first event of a control
    /// machine that follows the previous one by at least the recovery time and does not exceed the tolerance again.
    pub(crate) overlapped: bool,
    /// Number of faults in progress that slow the whole control plane.
    control_slowdowns: u32,
}

impl FaultHistory {
    pub(crate) fn machine(&self, machine: MachineId) -> FaultRecord {
        self.machines.get(&machine).copied().unwrap_or_default()
    }

    pub(crate) fn machine_mut(&mut self, machine: MachineId) -> &mut FaultRecord {
        self.machines.entry(machine).or_default()
    }

    /// The records of all workers that have had a fault.
    pub(crate) fn workers(&self) -> impl Iterator<Item = &FaultRecord> {
        self.workers.values()
    }

    /// Records an instantaneous fault of a worker.
    pub(crate) fn on_worker_fault(&mut self, now: Millis, worker: WorkerIndex) {
        self.workers.entry(worker).or_default().last_at = now;
    }

    /// Records the start of a fault of a worker.
    pub(crate) fn begin_worker_fault(&mut self, now: Millis, worker: WorkerIndex) {
        self.on_worker_fault(now, worker);
        self.workers.entry(worker).or_default().ongoing += 1;
    }

    /// Records the end of a fault of a worker.
    pub(crate) fn end_worker_fault(&mut self, now: Millis, worker: WorkerIndex) {
        self.on_worker_fault(now, worker);
        let record = self.workers.entry(worker).or_default();
        record.ongoing = record.ongoing.saturating_sub(1);
    }

    /// Records the start of a fault that slows a disk, a link or the network, which affects all control
    /// machines.
    pub(crate) fn begin_control_slowdown(&mut self, now: Millis) {
        self.last_control_event_at = now;
        self.control_slowdowns += 1;
    }

    /// Records the end of a fault that slowed the control plane.
    pub(crate) fn end_control_slowdown(&mut self, now: Millis) {
        self.last_control_event_at = now;
        self.control_slowdowns = self.control_slowdowns.saturating_sub(1);
    }

    /// Whether any fault slows the whole control plane.
    pub(crate) fn is_control_slowed(&self) -> bool {
        self.control_slowdowns > 0
    }
}
