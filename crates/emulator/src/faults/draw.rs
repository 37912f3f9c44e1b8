//! Draws a fault schedule from a seed. The order of the draws determines which schedule a seed gives.

use super::kinds::{
    ClientAction, ControlDegradation, ControlOutage, ControlTarget, DataPlaneFault, OperatorAction,
    WorkerFault,
};
use super::schedule::{Fault, FaultSchedule, PlannedFault, ScheduleScope};
use crate::random::{Random, Stream};
use streamusher_protocol::Millis;

/// Number of kinds from which a fault of the control plane is drawn; some kinds count twice.
const CONTROL_KINDS: usize = 15;
/// Number of kinds from which any other fault is drawn; some kinds count twice.
const OTHER_KINDS: usize = 16;
/// Number of kinds from which an action of clients or operators is drawn; one kind counts twice.
const ACTION_KINDS: usize = 8;
/// Size of the jump of a wall clock.
const CLOCK_STEP_MS: i64 = 4_000;

/// Draws the faults of a seed, within the fault tolerance of the fleet.
pub fn draw_schedule(seed: u64, scope: ScheduleScope) -> FaultSchedule {
    let random = Random::new(seed, Stream::Faults);
    let mut draw = ScheduleDraw::new(random, scope, FaultSchedule::default());
    draw.add_control_faults();
    draw.add_other_faults();
    draw.add_client_and_operator_actions();
    draw.finish()
}

/// Builder of a schedule that is drawn from random numbers.
pub(super) struct ScheduleDraw {
    pub(super) random: Random,
    scope: ScheduleScope,
    schedule: FaultSchedule,
}

impl ScheduleDraw {
    /// Creates a builder that adds faults to `schedule`.
    pub(super) fn new(
        random: Random,
        scope: ScheduleScope,
        schedule: FaultSchedule,
    ) -> ScheduleDraw {
        ScheduleDraw {
            random,
            scope,
            schedule,
        }
    }

    /// Returns the schedule sorted by time.
    pub(super) fn finish(mut self) -> FaultSchedule {
        self.schedule.sort();
        self.schedule
    }

    pub(super) fn add(&mut self, due: Millis, fault: Fault) {
        self.schedule.faults.push(PlannedFault { due, fault });
    }

    /// Draws a start time for a fault of this length.
    pub(super) fn draw_time(&mut self, length_ms: Millis) -> Millis {
        let latest = self.scope.ends_at.saturating_sub(length_ms);
        let latest = latest.max(self.scope.starts_at);
        self.random.between(self.scope.starts_at, latest)
    }

    fn draw_length_ms(&mut self) -> Millis {
        match self.random.below(3) {
            0 => self.random.between(100, 900),
            1 => self.random.between(900, 3_000),
            _ => self.random.between(3_000, 8_000),
        }
    }

    pub(super) fn draw_worker(&mut self) -> usize {
        self.random.below(self.scope.workers)
    }

    pub(super) fn draw_target(&mut self) -> ControlTarget {
        if self.random.chance(0.5) {
            return ControlTarget::Primary;
        }
        ControlTarget::Index(self.random.below(self.scope.control_machines))
    }

    /// Adds either several faults that preserve all disks and may overlap, or one that loses a disk and
    /// overlaps with no loss of another machine: the fleet does not tolerate more.
    fn add_control_faults(&mut self) {
        if self.random.chance(0.4) {
            self.add_disk_loss();
            return;
        }
        let count = self.random.below(4);
        for _ in 0..count {
            let fault = self.draw_control_fault();
            let due = self.draw_time(3_000);
            let fault = if self.random.chance(0.25) {
                after_acknowledgement_if_outage(fault)
            } else {
                fault
            };
            self.add(due, fault);
            if self.random.chance(0.5) {
                let overlapping = self.draw_control_fault();
                let later_ms = self.random.between(0, 2_500);
                self.add(due + later_ms, overlapping);
            }
        }
    }

    fn add_disk_loss(&mut self) {
        let due = self.draw_time(8_000);
        let down_ms = self.random.between(300, 2_500);
        let target = self.draw_target();
        let fault = match self.random.below(4) {
            0 => ControlOutage::Wipe { target, down_ms }.into(),
            1 => ControlOutage::PowerLossAll {
                down_ms,
                wipe: Some(target),
            }
            .into(),
            2 => ControlOutage::Replace {
                target,
                after_ms: down_ms,
            }
            .into(),
            _ => {
                let wipe = ControlOutage::PowerLossAll {
                    down_ms,
                    wipe: Some(ControlTarget::Primary),
                };
                Fault::from(wipe).after_acknowledgement()
            }
        };
        let wipes_fixed_machine = matches!(
            fault,
            Fault::Outage(ControlOutage::Wipe {
                target: ControlTarget::Index(_),
                ..
            })
        );
        if wipes_fixed_machine && self.random.chance(0.4) {
            let soon_ms = self.random.between(100, 2_000);
            self.add(due + down_ms + soon_ms, fault.clone());
        }
        self.add(due, fault);
        // Injects a fault of another machine only after the first machine has caught up.
        let caught_up_at = due + 2 * (down_ms + 2_000) + self.scope.catch_up_ms + 3_000;
        if caught_up_at < self.scope.ends_at && self.random.chance(0.5) {
            let fault = self.draw_control_fault();
            self.add(caught_up_at, fault);
        }
    }

    fn draw_control_fault(&mut self) -> Fault {
        let target = self.draw_target();
        let for_ms = self.draw_length_ms();
        let down_ms = self.random.between(200, 3_000);
        match self.random.below(CONTROL_KINDS) {
            0 | 1 => ControlOutage::Kill { target, down_ms }.into(),
            2 => ControlOutage::PowerLoss { target, down_ms }.into(),
            3 => {
                let down_ms = self.random.between(200, 1_000);
                ControlOutage::KillAll { down_ms }.into()
            }
            4 => {
                let wipe = None;
                ControlOutage::PowerLossAll { down_ms, wipe }.into()
            }
            5 => {
                let gap_ms = self.random.between(200, 1_500);
                ControlOutage::RollingRestart { gap_ms }.into()
            }
            kind => self.draw_degradation(kind, target, for_ms).into(),
        }
    }

    fn draw_degradation(
        &mut self,
        kind: usize,
        target: ControlTarget,
        for_ms: Millis,
    ) -> ControlDegradation {
        match kind {
            6 | 7 => ControlDegradation::Freeze { target, for_ms },
            8 => ControlDegradation::Isolate {
                target,
                one_way: self.random.chance(0.5),
                for_ms,
            },
            9 => ControlDegradation::IsolateFromAll { target, for_ms },
            10 => ControlDegradation::SlowDisk {
                target,
                by_ms: self.random.between(20, 400),
                for_ms,
            },
            11 => ControlDegradation::StallDisk { target, for_ms },
            12 => ControlDegradation::FullDisk { target, for_ms },
            13 => ControlDegradation::DropMessages { share: 0.2, for_ms },
            _ => ControlDegradation::SlowLinks {
                target,
                by_ms: self.random.between(50, 600),
                for_ms,
            },
        }
    }

    /// Adds faults of gates, agents and workers, of all processes, and of the primary's clock.
    fn add_other_faults(&mut self) {
        for _ in 0..self.random.below(5) {
            let due = self.draw_time(2_000);
            let fault = self.draw_other_fault();
            self.add(due, fault);
        }
    }

    fn draw_other_fault(&mut self) -> Fault {
        let worker = self.draw_worker();
        let gate = self.random.below(self.scope.gates);
        let for_ms = self.draw_length_ms();
        let down_ms = self.random.between(100, 2_000);
        match self.random.below(OTHER_KINDS) {
            0 => DataPlaneFault::KillGate { gate, down_ms }.into(),
            1 => DataPlaneFault::FreezeGate { gate, for_ms }.into(),
            2 => DataPlaneFault::IsolateGate { gate, for_ms }.into(),
            3 | 4 => DataPlaneFault::KillAgent { worker, down_ms }.into(),
            5 => DataPlaneFault::FreezeAgent { worker, for_ms }.into(),
            6 => DataPlaneFault::IsolateAgent {
                worker,
                one_way: true,
                for_ms,
            }
            .into(),
            7 | 8 => DataPlaneFault::IsolateAgent {
                worker,
                one_way: false,
                for_ms: for_ms + 4_000,
            }
            .into(),
            9 => {
                let down_ms = self.random.between(100, 1_000);
                DataPlaneFault::KillEverything { down_ms }.into()
            }
            14 => {
                let is_ahead = self.random.chance(0.5);
                ControlDegradation::StepClock {
                    target: ControlTarget::Primary,
                    by_ms: if is_ahead {
                        CLOCK_STEP_MS
                    } else {
                        -CLOCK_STEP_MS
                    },
                    for_ms,
                }
                .into()
            }
            kind => self.draw_worker_fault(kind, worker, for_ms, down_ms).into(),
        }
    }

    fn draw_worker_fault(
        &mut self,
        kind: usize,
        worker: usize,
        for_ms: Millis,
        down_ms: Millis,
    ) -> WorkerFault {
        match kind {
            10 => WorkerFault::Crash {
                worker,
                back_ms: Some(down_ms),
            },
            11 => WorkerFault::Crash {
                worker,
                back_ms: None,
            },
            12 => WorkerFault::Slow {
                worker,
                speed: if self.random.chance(0.5) { 0.0 } else { 0.25 },
                for_ms,
            },
            13 => WorkerFault::FailRuns {
                worker,
                share: if self.random.chance(0.5) { 1.0 } else { 0.4 },
                for_ms,
            },
            _ => WorkerFault::Drain {
                worker,
                after_ms: self.random.between(2_500, 6_000),
                back_ms: 1_000,
            },
        }
    }

    /// Adds actions of clients and operators in addition to the regular traffic.
    fn add_client_and_operator_actions(&mut self) {
        for _ in 0..self.random.below(6) {
            let due = self.draw_time(1_000);
            let action = match self.random.below(ACTION_KINDS) {
                0 => ClientAction::SubmitBurst { jobs: 6 }.into(),
                1 => ClientAction::SubmitHopeless { jobs: 2 }.into(),
                2 => ClientAction::Cancel { jobs: 4 }.into(),
                3 | 4 => OperatorAction::Change.into(),
                5 => OperatorAction::Race.into(),
                6 => OperatorAction::InvalidChange.into(),
                _ => OperatorAction::LoseResponses { for_ms: 1_500 }.into(),
            };
            self.add(due, action);
        }
    }
}

fn after_acknowledgement_if_outage(fault: Fault) -> Fault {
    match fault {
        Fault::Outage(
            ControlOutage::Kill { .. }
            | ControlOutage::PowerLoss { .. }
            | ControlOutage::KillAll { .. },
        )
        | Fault::Degradation(ControlDegradation::Freeze { .. }) => fault.after_acknowledgement(),
        other => other,
    }
}
