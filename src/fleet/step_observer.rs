//! Turns the outcomes of this dispatcher's route steps into observations for the other members: three faults
//! of one worker in a row make an observation, and a success retracts it.

use super::usage_recorder::{FleetUsageRecorder, StateUpdate};
use super::Shared;
use crate::core::{PoolMember, StepObserver, StepOutcome};
use crate::interface::Micros;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use streamusher_fleet::outlier::{WorkerFault, WorkerIncarnation, ZonedWorker};

/// Consecutive faults that make an observation: a single one may be chance.
const OBSERVATION_THRESHOLD: u32 = 3;
/// Confidence that each consecutive fault adds, out of 100.
const WEIGHT_PER_FAULT: u32 = 20;
/// Lifetime of an observation: about as long as the dispatch decisions keep their own observations.
pub(super) const OBSERVATION_LIFETIME: Micros = 10_000_000;
/// A worker without a preceding run of faults is reported as good once in this many successes.
const SUCCESSES_PER_REPORT: u32 = 50;

/// Recent outcomes at one worker incarnation.
#[derive(Default)]
struct RecentOutcomes {
    started_at: Micros,
    fault: Option<WorkerFault>,
    consecutive_faults: u32,
    successes: u32,
}

/// Receives the outcomes of route steps.
pub(super) struct WorkerObserver {
    recorder: Rc<FleetUsageRecorder>,
    shared: Arc<Shared>,
    outcomes_by_worker: RefCell<HashMap<String, RecentOutcomes>>,
}

impl WorkerObserver {
    pub(super) fn new(recorder: Rc<FleetUsageRecorder>, shared: Arc<Shared>) -> WorkerObserver {
        WorkerObserver {
            recorder,
            shared,
            outcomes_by_worker: RefCell::default(),
        }
    }
}

fn worker_incarnation(member: &PoolMember) -> WorkerIncarnation {
    WorkerIncarnation {
        name: Arc::from(member.name.as_str()),
        started_ms: member.started_at_us / 1_000,
    }
}

/// The worker's fault that an outcome indicates; `None` if it indicates no fault.
fn fault_of(outcome: &StepOutcome) -> Option<WorkerFault> {
    match outcome {
        StepOutcome::WorkerFailed
        | StepOutcome::Lost
        | StepOutcome::ConnectRefused
        | StepOutcome::ConnectTimedOut => Some(WorkerFault::Failing),
        StepOutcome::Rejected => Some(WorkerFault::Full),
        StepOutcome::TimedOut => Some(WorkerFault::Slow),
        StepOutcome::Served(_)
        | StepOutcome::ConnectionLostBeforeSend
        | StepOutcome::ConnectionLostAfterSend
        | StepOutcome::Cancelled
        | StepOutcome::NotSent => None,
    }
}

impl StepObserver for WorkerObserver {
    fn step_ended(&self, member: &PoolMember, outcome: &StepOutcome) {
        let mut outcomes_by_worker = self.outcomes_by_worker.borrow_mut();
        if !outcomes_by_worker.contains_key(&member.name) {
            outcomes_by_worker.insert(member.name.clone(), RecentOutcomes::default());
        }
        let outcomes = outcomes_by_worker
            .get_mut(&member.name)
            .expect("the entry was inserted above");
        if outcomes.started_at != member.started_at_us {
            *outcomes = RecentOutcomes {
                started_at: member.started_at_us,
                ..RecentOutcomes::default()
            }; // a new incarnation has no outcomes yet
        }
        match (fault_of(outcome), outcome) {
            (Some(fault), _) => {
                outcomes.consecutive_faults = if outcomes.fault == Some(fault) {
                    outcomes.consecutive_faults + 1
                } else {
                    1
                };
                (outcomes.fault, outcomes.successes) = (Some(fault), 0);
                if outcomes.consecutive_faults >= OBSERVATION_THRESHOLD {
                    let weight = (WEIGHT_PER_FAULT * outcomes.consecutive_faults).min(100) as u8;
                    self.recorder.send_observation(StateUpdate::WorkerObserved {
                        worker: worker_incarnation(member),
                        fault: Some(fault),
                        weight,
                    });
                }
            }
            (None, StepOutcome::Served(_)) => {
                if outcomes.consecutive_faults >= OBSERVATION_THRESHOLD
                    || outcomes.successes.is_multiple_of(SUCCESSES_PER_REPORT)
                {
                    self.recorder.send_observation(StateUpdate::WorkerObserved {
                        worker: worker_incarnation(member),
                        fault: None,
                        weight: 1,
                    });
                }
                (
                    outcomes.fault,
                    outcomes.consecutive_faults,
                    outcomes.successes,
                ) = (None, 0, outcomes.successes.wrapping_add(1));
            }
            (None, _) => {}
        }
    }

    fn workers_changed(&self, workers: &mut dyn Iterator<Item = &PoolMember>) {
        let roster = workers
            .map(|member| ZonedWorker {
                worker: worker_incarnation(member),
                zone: Arc::from(member.zone.as_str()),
            })
            .collect();
        self.shared.roster.store(Arc::new(roster));
    }
}
