//! A second fault at every step of the repair of a first one. The first fault takes a disk; from then on each
//! delivered message and each completed disk change is a step, and a separate run injects the second fault
//! after each step.
//!
//! The second fault erases disks only when the guarantee allows it: as many disks as the tolerance, from the
//! moment at which a primary acts by a record that does not depend on the first lost disk and whose members
//! then still have a majority; at the latest a fixed time after the first machine, or its replacement, has
//! started. Other faults may come at any moment, also on all machines at once.

mod cluster;

use cluster::{Cluster, CATCH_UP_MS};
use rstest::rstest;
use streamusher_coordination::Coordinator;
use streamusher_coordination::DiskId;
use streamusher_protocol::Millis;

/// Runs only every n-th step of the repair; `SECOND_LOSS_STRIDE=1` runs all steps.
fn stride() -> usize {
    const STRIDE: usize = 53;
    std::env::var("SECOND_LOSS_STRIDE")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(STRIDE)
}

/// Number of steps after the first fault in which a second one is injected: the repair is complete before
/// that in every shape below.
const MAX_STEPS: usize = 700;
/// Time until the first machine or its replacement starts.
const REPLACEMENT_DELAY_MS: Millis = 300;
/// Maximum time that a leaving machine may take.
const LEAVE_TIMEOUT_MS: Millis = 6_000;
/// Duration of the second fault.
const SECOND_FAULT_MS: Millis = 500;
/// Size of each value, so that snapshots take many parts.
const VALUE_BYTES: usize = 20_000;

#[derive(Clone, Copy, Debug)]
enum FirstFault {
    /// The primary's machine restarts without its disk.
    WipePrimary,
    /// A replica's machine restarts without its disk.
    WipeReplica,
    /// The primary's machine is removed for good; an empty machine starts at another address.
    ReplacePrimary,
    /// The primary is asked to leave, and its machine is then replaced.
    RetirePrimary,
    /// A replica is asked to leave, and its machine is then replaced.
    RetireReplica,
    /// A machine that is not a replica, if there is one, is removed for good; an empty machine starts at
    /// another address.
    ReplaceWitness,
    /// The replacement starts first; then the primary is asked to leave and does not return.
    PlannedLeaveOfPrimary,
    /// The replacement starts first; then the last machine is asked to leave and does not return.
    PlannedLeaveOfLast,
}

impl FirstFault {
    fn is_asked_to_leave(self) -> bool {
        matches!(
            self,
            FirstFault::RetirePrimary
                | FirstFault::RetireReplica
                | FirstFault::PlannedLeaveOfPrimary
                | FirstFault::PlannedLeaveOfLast
        )
    }

    /// Whether the replacement has time to catch up before the machine leaves.
    fn is_replaced_before_leaving(self) -> bool {
        matches!(
            self,
            FirstFault::PlannedLeaveOfPrimary | FirstFault::PlannedLeaveOfLast
        )
    }

    fn machine_returns(self) -> bool {
        matches!(self, FirstFault::WipePrimary | FirstFault::WipeReplica)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SecondFault {
    /// The acting primary, or otherwise a replica, loses its disk, and so do further replicas up to the
    /// tolerance.
    WipePrimary,
    /// Replicas other than the primary lose their disks, as many as the tolerance.
    WipeReplica,
    /// As `WipePrimary`, and all other machines lose power at the same moment.
    WipePrimaryAndPowerLoss,
    /// All machines lose power.
    PowerLoss,
    /// The acting primary's process is killed.
    KillPrimary,
    /// The acting primary is partitioned from the other machines.
    PartitionPrimary,
    /// The acting primary is asked to leave.
    LeavePrimary,
    /// The machines are partitioned into two halves.
    SplitInHalves,
}

const SECOND_FAULTS: [SecondFault; 8] = [
    SecondFault::WipePrimary,
    SecondFault::WipeReplica,
    SecondFault::WipePrimaryAndPowerLoss,
    SecondFault::PowerLoss,
    SecondFault::KillPrimary,
    SecondFault::PartitionPrimary,
    SecondFault::LeavePrimary,
    SecondFault::SplitInHalves,
];

impl SecondFault {
    fn erases_disks(self) -> bool {
        matches!(
            self,
            SecondFault::WipePrimary
                | SecondFault::WipeReplica
                | SecondFault::WipePrimaryAndPowerLoss
        )
    }
}

/// A cluster after the first fault.
struct Scenario {
    cluster: Cluster,
    lost_disk: DiskId,
    replacement: Option<usize>,
}

impl Scenario {
    fn new(size: usize, tolerance: usize, first: FirstFault) -> Scenario {
        let mut cluster = Cluster::stable(size, tolerance, 7);
        cluster.value_bytes = VALUE_BYTES;
        cluster.run(1_000);
        let replicas = cluster.replicas();
        let last = size - 1;
        let victim = match first {
            FirstFault::WipePrimary
            | FirstFault::ReplacePrimary
            | FirstFault::RetirePrimary
            | FirstFault::PlannedLeaveOfPrimary => replicas[0],
            FirstFault::WipeReplica | FirstFault::RetireReplica => replicas[1],
            FirstFault::ReplaceWitness => (0..size)
                .find(|index| !replicas.contains(index))
                .unwrap_or(last),
            FirstFault::PlannedLeaveOfLast => last,
        };
        let lost_disk = cluster.id(victim);
        let mut replacement = Some(victim);
        if !first.machine_returns() {
            replacement = Some(cluster.add_machine());
        }
        if let Some(successor) = replacement.take_if(|_| first.is_replaced_before_leaving()) {
            cluster.start(successor);
            cluster.run(CATCH_UP_MS);
        }
        if first.is_asked_to_leave() {
            cluster.leave(victim);
            let may_leave = |cluster: &Cluster| {
                cluster.nodes[victim]
                    .process
                    .as_ref()
                    .is_none_or(Coordinator::may_leave)
            };
            cluster.run_until(LEAVE_TIMEOUT_MS, may_leave);
        }
        cluster.wipe(victim);
        if !first.machine_returns() {
            cluster.remove(victim);
        }
        Scenario {
            cluster,
            lost_disk,
            replacement,
        }
    }

    /// Runs this many steps; the first machine or its replacement starts during them.
    fn run_steps(&mut self, steps: usize, start_ms: Millis) {
        for _ in 0..steps {
            self.cluster.run_steps(1, REPLACEMENT_DELAY_MS);
            let is_due = self.cluster.now >= start_ms + REPLACEMENT_DELAY_MS;
            if let Some(replacement) = self.replacement.take_if(|_| is_due) {
                self.cluster.start(replacement);
            }
        }
    }

    /// Whether as many disks as the tolerance may be lost again: the acting primary's record does not depend
    /// on the lost disk, enough of its members are left for a majority after the loss, and more machines than
    /// the tolerance have the record on disk.
    fn tolerates_disk_losses(&self) -> bool {
        let acting_primary = self.cluster.acting_primary();
        let Some(record) =
            acting_primary.and_then(|acting_primary| self.cluster.record(acting_primary))
        else {
            return false;
        };
        let remaining = record
            .members
            .iter()
            .filter(|member| member.id != self.lost_disk)
            .count();
        let is_majority = remaining >= record.majority() + self.cluster.tolerance;
        let disks = self
            .cluster
            .nodes
            .iter()
            .filter_map(|node| node.durable.witness.as_ref());
        let holders = disks
            .filter(|witness| witness.decided.epoch >= record.epoch)
            .count();
        is_majority && holders > self.cluster.tolerance && !record.is_replica(self.lost_disk)
    }

    /// The acting primary; otherwise a replica by the newest known record, which holds all committed data.
    fn primary_or_replica(&self) -> usize {
        let newest = (0..self.cluster.nodes.len()).filter_map(|index| self.cluster.record(index));
        let newest = newest.max_by_key(|record| record.epoch);
        let is_replica = |index: &usize| {
            newest
                .as_ref()
                .is_some_and(|record| record.is_replica(self.cluster.id(*index)))
        };
        let replica = || (0..self.cluster.nodes.len()).find(is_replica);
        self.cluster.acting_primary().or_else(replica).unwrap_or(0)
    }

    /// The replicas in order from an index on, as many as the tolerance.
    fn victims(&self, from: usize) -> Vec<usize> {
        let replicas = self.cluster.replicas();
        let max_count = self.cluster.tolerance;
        let victims: Vec<usize> = replicas.into_iter().skip(from).take(max_count).collect();
        if victims.is_empty() {
            vec![self.primary_or_replica()]
        } else {
            victims
        }
    }

    fn inject(&mut self, second: SecondFault) {
        let target = self.primary_or_replica();
        let victims = self.victims(usize::from(second == SecondFault::WipeReplica));
        let cluster = &mut self.cluster;
        match second {
            SecondFault::WipePrimary | SecondFault::WipeReplica => {
                for index in victims {
                    cluster.wipe(index);
                }
            }
            SecondFault::WipePrimaryAndPowerLoss => {
                for index in victims {
                    cluster.wipe(index);
                }
                cluster.power_loss(0);
            }
            SecondFault::PowerLoss => cluster.power_loss(0),
            SecondFault::KillPrimary => cluster.crash(target),
            SecondFault::PartitionPrimary => cluster.partition(&[target]),
            SecondFault::LeavePrimary => cluster.leave(target),
            SecondFault::SplitInHalves => {
                let half: Vec<usize> = (0..cluster.nodes.len() / 2).collect();
                cluster.partition(&half);
            }
        }
    }

    /// Ends the second fault, and checks that the cluster recovers and nothing is lost.
    fn finish(mut self) {
        self.cluster.run(SECOND_FAULT_MS);
        if let Some(replacement) = self.replacement {
            self.cluster.start(replacement);
        }
        self.cluster.recover_and_check();
    }
}

/// Runs one pair of faults at one step. Returns false if the second fault is not tolerated at this step.
fn run_pair(
    size: usize,
    tolerance: usize,
    first: FirstFault,
    second: SecondFault,
    step: usize,
) -> bool {
    let mut scenario = Scenario::new(size, tolerance, first);
    scenario.cluster.record_event(format!(
        "{size} machines, tolerance {tolerance}: {first:?}, {second:?} after {step} steps"
    ));
    let start_ms = scenario.cluster.now;
    scenario.run_steps(step, start_ms);
    if second.erases_disks() && !scenario.tolerates_disk_losses() {
        return false;
    }
    scenario.inject(second);
    scenario.finish();
    true
}

#[rstest]
fn second_fault_at_any_step_of_a_repair_loses_nothing(
    #[values((3, 1), (4, 1), (5, 1), (5, 2), (7, 2))] shape: (usize, usize),
    #[values(
        FirstFault::WipePrimary,
        FirstFault::WipeReplica,
        FirstFault::ReplacePrimary,
        FirstFault::RetirePrimary,
        FirstFault::RetireReplica,
        FirstFault::ReplaceWitness,
        FirstFault::PlannedLeaveOfPrimary,
        FirstFault::PlannedLeaveOfLast
    )]
    first: FirstFault,
) {
    let mut pair_count = 0;
    for second in SECOND_FAULTS {
        for step in (0..MAX_STEPS).step_by(stride()) {
            pair_count += usize::from(run_pair(shape.0, shape.1, first, second, step));
        }
    }
    println!("{shape:?} {first:?}: {pair_count} pairs of faults");
    assert!(
        pair_count > 5 * MAX_STEPS / stride(),
        "only {pair_count} pairs of faults were run"
    );
}

/// The guarantee that operators rely on: the second fault comes once the cluster has recovered from the
/// first.
#[rstest]
fn losing_tolerated_disks_after_a_repair_loses_nothing(
    #[values((3, 1), (4, 1), (5, 1), (5, 2), (6, 2), (7, 2), (9, 2))] shape: (usize, usize),
    #[values(
        FirstFault::WipePrimary,
        FirstFault::WipeReplica,
        FirstFault::ReplacePrimary,
        FirstFault::ReplaceWitness,
        FirstFault::PlannedLeaveOfPrimary,
        FirstFault::PlannedLeaveOfLast
    )]
    first: FirstFault,
) {
    for second in SECOND_FAULTS {
        let mut scenario = Scenario::new(shape.0, shape.1, first);
        scenario.cluster.record_event(format!(
            "{shape:?}: {first:?}, {second:?} once it has caught up"
        ));
        if let Some(replacement) = scenario.replacement.take() {
            scenario.cluster.run(REPLACEMENT_DELAY_MS);
            scenario.cluster.start(replacement);
            scenario.cluster.run(CATCH_UP_MS);
        }
        scenario.inject(second);
        scenario.finish();
    }
}
