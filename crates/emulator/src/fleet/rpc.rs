//! Calls between processes, which can be delivered or lost, and end with a response, a broken connection or a
//! time-out.

use super::environment::Environment;
use super::event::Event;
use super::process::Process;
use super::rpc_message::{AcceptedCall, CallId, Caller, RpcOutcome, RpcRequest};
use crate::network::MachineId;
use streamusher_controlplane::driver::ControlRequest;
use streamusher_protocol::internal::ClusterView;
use streamusher_protocol::Millis;

/// Shortest and longest latency of an operator's message or of its response.
const OPERATOR_DELAY_MS: (Millis, Millis) = (1, 4);
/// Probability that a call is dropped if its caller no longer waits when it arrives; otherwise it is still read.
const DROPPED_CALL_PROBABILITY: f64 = 0.5;

/// A call that has ended for its caller.
pub(crate) struct ReturnedCall {
    pub(crate) caller: Caller,
    pub(crate) receiver: MachineId,
    pub(crate) outcome: RpcOutcome,
    /// Set if the called process is still handling the call.
    pub(crate) accepted: Option<AcceptedCall>,
}

/// Sends a call.
pub(crate) fn call(
    env: &mut Environment,
    caller: Caller,
    receiver: MachineId,
    request: RpcRequest,
    timeout_ms: Millis,
) {
    let call = env.open_calls.next_id();
    if let Some(delay_ms) = draw_delay_to_receiver(env, &caller, receiver) {
        let arrival = Event::CallArrives {
            call,
            receiver,
            request,
        };
        env.schedule_in(delay_ms, arrival);
    }
    env.schedule_in(timeout_ms, Event::CallTimeout { call });
    env.open_calls.insert(call, caller, receiver);
}

/// Sends another copy of a call that arrives after a delay. No caller waits for its response.
pub(crate) fn send_delayed_copy(
    env: &mut Environment,
    receiver: MachineId,
    request: RpcRequest,
    delay_ms: Millis,
) {
    let call = env.open_calls.next_id();
    let arrival = Event::CallCopyArrives {
        call,
        receiver,
        request,
    };
    env.schedule_in(delay_ms, arrival);
}

fn draw_delay_to_receiver(
    env: &mut Environment,
    caller: &Caller,
    receiver: MachineId,
) -> Option<Millis> {
    match caller.machine() {
        Some(machine) => env.network.draw_delay(machine, receiver),
        None => Some(draw_operator_delay(env)),
    }
}

fn draw_delay_to_caller(
    env: &mut Environment,
    caller: &Caller,
    receiver: MachineId,
) -> Option<Millis> {
    match caller.machine() {
        Some(machine) => env.network.draw_delay(receiver, machine),
        None => Some(draw_operator_delay(env)),
    }
}

fn draw_operator_delay(env: &mut Environment) -> Millis {
    env.random.between(OPERATOR_DELAY_MS.0, OPERATOR_DELAY_MS.1)
}

/// Handles the arrival of a call. Returns the request if the called process must handle it, which holds for
/// requests to the primary.
pub(crate) fn on_call_arrives(
    env: &mut Environment,
    call: CallId,
    receiver: MachineId,
    request: RpcRequest,
) -> Option<ControlRequest> {
    if let Some(wakes_at) = env.machines[receiver].wakes_at(env.now) {
        let arrival = Event::CallArrives {
            call,
            receiver,
            request,
        };
        env.schedule_at(wakes_at, arrival);
        return None;
    }
    let is_abandoned = env.open_calls.get(call).is_none();
    if is_abandoned && env.random.chance(DROPPED_CALL_PROBABILITY) {
        return None;
    }
    let machine = &env.machines[receiver];
    if machine.process.is_none() {
        // The address of a removed machine sends no response.
        if !machine.removed {
            respond(env, call, RpcOutcome::ConnectionRefused);
        }
        return None;
    }
    match request {
        RpcRequest::View => {
            let view = view_of(env, receiver);
            respond(env, call, RpcOutcome::View(view));
            None
        }
        RpcRequest::Primary(request) => Some(*request),
    }
}

/// Handles the arrival of a delayed copy of a call. Returns the request if the called process must handle it.
pub(crate) fn on_copy_arrives(
    env: &Environment,
    receiver: MachineId,
    request: RpcRequest,
) -> Option<ControlRequest> {
    match request {
        RpcRequest::Primary(request) if env.machines[receiver].is_running() => Some(*request),
        _ => None,
    }
}

fn view_of(env: &Environment, machine: MachineId) -> ClusterView {
    let process = env.machines[machine].process.as_ref();
    let control = process.and_then(Process::control);
    control
        .map(|control| control.view(env.clocks(machine)))
        .unwrap_or_default()
}

/// Records the request number that the called process assigned to a call.
pub(crate) fn on_accepted(env: &mut Environment, call: CallId, boot: u64, request: u64) {
    if let Some(open) = env.open_calls.get_mut(call) {
        open.accepted = Some(AcceptedCall { boot, request });
    }
}

/// Sends a response back to the caller.
pub(crate) fn respond(env: &mut Environment, call: CallId, outcome: RpcOutcome) {
    let Some(open) = env.open_calls.get_mut(call) else {
        return;
    };
    open.accepted = None;
    let caller = open.caller.clone();
    let receiver = open.receiver;
    let is_operator = matches!(caller, Caller::Operator { .. });
    if is_operator && env.operator_responses_lost_until > env.now {
        return;
    }
    if let Some(delay_ms) = draw_delay_to_caller(env, &caller, receiver) {
        env.schedule_in(delay_ms, Event::CallReturns { call, outcome });
    }
}

/// Handles the arrival of a response at its caller. Returns the call that has ended; while the caller's
/// machine is frozen, the response is delayed until the machine resumes.
pub(crate) fn on_call_returns(
    env: &mut Environment,
    call: CallId,
    outcome: RpcOutcome,
) -> Option<ReturnedCall> {
    if let Some(wakes_at) = caller_wakes_at(env, call) {
        env.schedule_at(wakes_at, Event::CallReturns { call, outcome });
        return None;
    }
    take_returned(env, call, outcome)
}

/// Handles the time-out of a call. Returns the call that has ended.
pub(crate) fn on_call_timeout(env: &mut Environment, call: CallId) -> Option<ReturnedCall> {
    if let Some(wakes_at) = caller_wakes_at(env, call) {
        env.schedule_at(wakes_at, Event::CallTimeout { call });
        return None;
    }
    take_returned(env, call, RpcOutcome::TimedOut)
}

fn caller_wakes_at(env: &Environment, call: CallId) -> Option<Millis> {
    let machine = env.open_calls.get(call)?.caller.machine()?;
    env.machines[machine].wakes_at(env.now)
}

fn take_returned(env: &mut Environment, call: CallId, outcome: RpcOutcome) -> Option<ReturnedCall> {
    let open = env.open_calls.remove(call)?;
    Some(ReturnedCall {
        caller: open.caller,
        receiver: open.receiver,
        outcome,
        accepted: open.accepted,
    })
}

/// Notifies the called process that the caller no longer waits.
pub(crate) fn abandon(
    env: &mut Environment,
    caller: &Caller,
    receiver: MachineId,
    accepted: Option<AcceptedCall>,
) {
    let delay_ms = draw_delay_to_receiver(env, caller, receiver);
    schedule_abandonment(env, receiver, accepted, delay_ms);
}

fn schedule_abandonment(
    env: &mut Environment,
    receiver: MachineId,
    accepted: Option<AcceptedCall>,
    delay_ms: Option<Millis>,
) {
    if let (Some(accepted), Some(delay_ms)) = (accepted, delay_ms) {
        let abandoned = Event::CallAbandoned {
            machine: receiver,
            boot: accepted.boot,
            request: accepted.request,
        };
        env.schedule_in(delay_ms, abandoned);
    }
}

/// Notifies the called processes that a caller's process has ended.
pub(crate) fn abandon_calls_of(env: &mut Environment, machine: MachineId) {
    for call in env.open_calls.made_by(machine) {
        let Some(open) = env.open_calls.remove(call) else {
            continue;
        };
        let delay_ms = env.network.draw_delay(machine, open.receiver);
        schedule_abandonment(env, open.receiver, open.accepted, delay_ms);
    }
}

/// Breaks the connections of the calls that a killed process was handling.
pub(crate) fn break_calls_to(env: &mut Environment, machine: MachineId) {
    for call in env.open_calls.accepted_by(machine) {
        respond(env, call, RpcOutcome::ConnectionBroken);
    }
}
