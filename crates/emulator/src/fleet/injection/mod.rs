//! Injects faults into a fleet.
//!
//! - `outage`, `degradation`: faults of control machines.
//! - `data_plane`: faults of gates, agents, and all processes at once.
//! - `worker`: faults of workers.
//! - `machine`: operations that several kinds of faults share.

mod data_plane;
mod degradation;
mod machine;
mod outage;
mod worker;

use super::event::{ClientEvent, Event, OperatorEvent, RollingRestart};
use super::state::FleetState;
use crate::faults::{ClientAction, Fault, OperatorAction};
use crate::network::MachineId;
use streamusher_protocol::Millis;

/// Time between two jobs of a burst.
const BURST_GAP_MS: Millis = 10;

/// The action that the caller must take after an injection.
#[must_use]
pub(crate) enum FollowUp {
    /// No further action.
    None,
    /// Injects this fault after the next acknowledged change.
    Arm(Fault),
    /// Begins a rolling restart at once.
    BeginRollingRestart(RollingRestart),
}

/// Injects a fault now. `acknowledged_by` is the machine that has just acknowledged a change, if the fault
/// was deferred until then; `ControlTarget::Primary` then refers to this machine.
pub(crate) fn inject(
    state: &mut FleetState,
    fault: Fault,
    acknowledged_by: Option<MachineId>,
) -> FollowUp {
    match fault {
        Fault::Outage(fault) => return outage::inject(state, fault, acknowledged_by),
        Fault::Degradation(fault) => {
            degradation::inject(&mut state.environment, fault, acknowledged_by);
        }
        Fault::DataPlane(fault) => data_plane::inject(state, fault),
        Fault::Worker(fault) => worker::inject(state, fault),
        Fault::Client(action) => act_as_client(state, action),
        Fault::Operator(action) => act_as_operator(state, action),
        Fault::AfterAcknowledgement(fault) => return FollowUp::Arm(*fault),
    }
    FollowUp::None
}

fn act_as_client(state: &mut FleetState, action: ClientAction) {
    match action {
        ClientAction::SubmitBurst { jobs } => plan_jobs(state, jobs, false),
        ClientAction::SubmitHopeless { jobs } => plan_jobs(state, jobs, true),
        ClientAction::Cancel { jobs } => state.clients.cancel_newest(&mut state.environment, jobs),
    }
}

fn plan_jobs(state: &mut FleetState, jobs: usize, hopeless: bool) {
    for index in 0..jobs {
        let event = ClientEvent::NewJob { hopeless };
        let delay_ms = BURST_GAP_MS * index as Millis;
        state
            .environment
            .schedule_in(delay_ms, Event::Client(event));
    }
}

fn act_as_operator(state: &mut FleetState, action: OperatorAction) {
    let env = &mut state.environment;
    match action {
        OperatorAction::Change => state.operators.change(env, None),
        OperatorAction::Race => state.operators.race(env),
        OperatorAction::ChangeSeries { count, gap_ms } => {
            for index in 0..count {
                let delay_ms = gap_ms * index as Millis;
                env.schedule_in(delay_ms, Event::Operator(OperatorEvent::Change));
            }
        }
        OperatorAction::ChangeChain => state.operators.change_chain(env),
        OperatorAction::DelayRequestCopies {
            max_delay_ms,
            for_ms,
        } => {
            state.operators.delay_copies(env.now, max_delay_ms, for_ms);
        }
        OperatorAction::InvalidChange => state.operators.invalid_change(env),
        OperatorAction::LoseResponses { for_ms } => {
            env.operator_responses_lost_until = env.now + for_ms;
        }
    }
}
