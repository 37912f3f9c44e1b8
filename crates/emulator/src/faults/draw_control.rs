//! Severe faults of the control plane: partitions, long isolation, series of changes, and requests that
//! arrive late or out of order.

use super::draw::{draw_schedule, ScheduleDraw};
use super::kinds::{ControlDegradation, ControlOutage, OperatorAction};
use super::schedule::{Fault, FaultSchedule, ScheduleScope};
use crate::random::{Random, Stream};
use std::ops::RangeInclusive;
use streamusher_protocol::Millis;

/// Duration of a long isolation: far longer than any lease, hold or time-out.
const LONG_CUT_MS: RangeInclusive<Millis> = 12_000..=20_000;
/// Assumed duration of a fault that carries none of its own.
const DEFAULT_LENGTH_MS: Millis = 5_000;
const MAX_FAULTS: usize = 4;
/// Number of kinds from which a fault is drawn; one kind counts twice.
const KINDS: usize = 9;

/// Draws the faults of a seed, and further severe faults of the control plane, which may overlap beyond the
/// tolerance.
pub fn draw_schedule_with_control_faults(seed: u64, scope: ScheduleScope) -> FaultSchedule {
    let random = Random::new(seed, Stream::ControlFaults);
    let mut draw = ScheduleDraw::new(random, scope, draw_schedule(seed, scope));
    draw.add_severe_control_faults();
    draw.finish().with_overlaps()
}

impl ScheduleDraw {
    /// Adds one to four severe faults of the control plane.
    fn add_severe_control_faults(&mut self) {
        for _ in 0..=self.random.below(MAX_FAULTS) {
            let fault = self.draw_severe_control_fault();
            let due = self.draw_time(length_ms(&fault));
            self.add(due, fault);
        }
    }

    fn draw_severe_control_fault(&mut self) -> Fault {
        let target = self.draw_target();
        let for_ms = self.random.between(500, 5_000);
        let long_ms = self
            .random
            .between(*LONG_CUT_MS.start(), *LONG_CUT_MS.end());
        let down_ms = self.random.between(200, 1_500);
        let power_loss = ControlOutage::PowerLossEverywhere {
            down_ms,
            wipe: None,
        };
        match self.random.below(KINDS) {
            0 | 1 => ControlDegradation::Partition { for_ms }.into(),
            2 => ControlDegradation::Isolate {
                target,
                one_way: self.random.chance(0.3),
                for_ms: long_ms,
            }
            .into(),
            3 => ControlDegradation::IsolateFromAll {
                target,
                for_ms: long_ms,
            }
            .into(),
            4 => power_loss.into(),
            5 => OperatorAction::ChangeSeries {
                count: 50 + self.random.below(200),
                gap_ms: self.random.between(20, 60),
            }
            .into(),
            6 => OperatorAction::ChangeChain.into(),
            7 => OperatorAction::DelayRequestCopies {
                max_delay_ms: self.random.between(500, 5_000),
                for_ms: 6_000,
            }
            .into(),
            _ => Fault::from(power_loss).after_acknowledgement(),
        }
    }
}

fn length_ms(fault: &Fault) -> Millis {
    match fault {
        Fault::Degradation(
            ControlDegradation::Isolate { for_ms, .. }
            | ControlDegradation::IsolateFromAll { for_ms, .. },
        ) => *for_ms,
        _ => DEFAULT_LENGTH_MS,
    }
}
