//! Worker machines: the real agent between a simulated worker and the control plane.

use super::discovery;
use super::environment::Environment;
use super::event::Event;
use super::machine::TICK_MS;
use super::process::WorkerRequest;
use super::rpc;
use super::rpc_message::{Caller, RpcOutcome, RpcRequest};
use crate::network::MachineId;
use crate::workers::effect::WorkerIndex;
use crate::workers::worker::instance_id;
use std::sync::Arc;
use streamusher_controlplane::driver::ControlRequest;
use streamusher_dataplane::agent::{AgentAction, AgentEvent};
use streamusher_protocol::heartbeat::{Heartbeat, HeartbeatResponse};
use streamusher_protocol::internal::AgentSync;
use streamusher_protocol::Millis;

/// Time-out of a synchronization call; longer than the primary holds one.
const SYNC_TIMEOUT_MS: Millis = 1_200;
/// Latency of a message within a machine.
pub(crate) const LOCAL_DELAY_MS: Millis = 1;
/// Time from the response to a worker's deregistration until the worker ends.
const LEAVE_DELAY_MS: Millis = 50;

/// Runs the agent's periodic tick.
pub(crate) fn tick(env: &mut Environment, machine: MachineId) {
    discovery::probe(env, machine);
    handle(env, machine, AgentEvent::Tick);
}

/// Runs the agent at a wake-up that was scheduled between two ticks.
pub(crate) fn on_wakeup(env: &mut Environment, machine: MachineId, boot: u64) {
    if env.machines[machine].is_boot(boot) {
        handle(env, machine, AgentEvent::Tick);
    }
}

fn handle(env: &mut Environment, machine: MachineId, event: AgentEvent) {
    let now = env.clocks(machine).steady_ms;
    let Some(agent) = env.machines.agent_mut(machine) else {
        return;
    };
    let actions = agent.handle(now, event);
    for action in actions {
        perform(env, machine, action);
    }
    schedule_wakeup(env, machine, now);
}

fn schedule_wakeup(env: &mut Environment, machine: MachineId, now: Millis) {
    let true_now = env.now;
    let boot = env.machines[machine].boot;
    let Some(agent) = env.machines.agent_mut(machine) else {
        return;
    };
    if let Some(wakeup_at) = agent.plan_wakeup(now, true_now, true_now + TICK_MS) {
        env.schedule_at(wakeup_at, Event::AgentWakeup { machine, boot });
    }
}

fn perform(env: &mut Environment, machine: MachineId, action: AgentAction) {
    match action {
        AgentAction::Respond {
            request_id,
            response,
        } => respond(env, machine, request_id, response),
        AgentAction::AcknowledgeDeregistration { request_id } => {
            acknowledge_deregistration(env, machine, request_id);
        }
        AgentAction::SendSync(sync) => send_sync(env, machine, sync),
    }
}

fn close_request(env: &mut Environment, machine: MachineId, request: u64) -> Option<WorkerRequest> {
    env.machines.agent_mut(machine)?.close(request)
}

fn respond(env: &mut Environment, machine: MachineId, request: u64, response: HeartbeatResponse) {
    let Some(WorkerRequest::Heartbeat {
        worker,
        incarnation,
        sequence,
    }) = close_request(env, machine, request)
    else {
        return;
    };
    env.trace(|| format!("worker {worker}: response to heartbeat {sequence}: {response:?}"));
    let event = Event::HeartbeatResponse {
        worker,
        incarnation,
        sequence,
        response: Arc::new(response),
    };
    env.schedule_in(LOCAL_DELAY_MS, event);
}

fn acknowledge_deregistration(env: &mut Environment, machine: MachineId, request: u64) {
    let Some(WorkerRequest::Deregister {
        worker,
        incarnation,
    }) = close_request(env, machine, request)
    else {
        return;
    };
    let event = Event::WorkerLeaves {
        worker,
        incarnation,
    };
    env.schedule_in(LEAVE_DELAY_MS, event);
}

fn send_sync(env: &mut Environment, machine: MachineId, sync: AgentSync) {
    let sequence = sync.sequence;
    let Some(primary) = discovery::suspected_primary(env, machine) else {
        handle(env, machine, AgentEvent::SyncFailed { sequence });
        return;
    };
    let caller = Caller::Agent {
        machine,
        boot: env.machines[machine].boot,
        sequence,
    };
    let request = RpcRequest::primary(ControlRequest::Agent(sync));
    discovery::on_primary_call(env, machine);
    rpc::call(env, caller, primary, request, SYNC_TIMEOUT_MS);
}

/// Handles the outcome of a synchronization call to the primary.
pub(crate) fn on_call_returned(
    env: &mut Environment,
    machine: MachineId,
    receiver: MachineId,
    sequence: u64,
    outcome: RpcOutcome,
) {
    discovery::on_primary_call_returned(env, machine, receiver, &outcome);
    env.trace(|| {
        format!(
            "{} sync {sequence}: {outcome:?}",
            env.machines[machine].name
        )
    });
    let event = match outcome {
        RpcOutcome::Agent(commands) => AgentEvent::SyncResponse {
            sequence,
            commands: (*commands).clone(),
        },
        _ => AgentEvent::SyncFailed { sequence },
    };
    handle(env, machine, event);
}

/// Handles a heartbeat from a worker.
pub(crate) fn on_heartbeat(
    env: &mut Environment,
    machine: MachineId,
    worker: WorkerIndex,
    incarnation: u32,
    heartbeat: Heartbeat,
) {
    let sequence = heartbeat.sequence;
    let Some(agent) = env.machines.agent_mut(machine) else {
        let failed = Event::HeartbeatFailed {
            worker,
            incarnation,
            sequence,
        };
        env.schedule_in(LOCAL_DELAY_MS, failed);
        return;
    };
    let request_id = agent.open(WorkerRequest::Heartbeat {
        worker,
        incarnation,
        sequence,
    });
    let event = AgentEvent::Heartbeat {
        request_id,
        instance: instance_id(worker, incarnation),
        heartbeat,
    };
    handle(env, machine, event);
}

/// Handles a deregistration from a worker.
pub(crate) fn on_deregistration(
    env: &mut Environment,
    machine: MachineId,
    worker: WorkerIndex,
    incarnation: u32,
    instance: Arc<str>,
) {
    let Some(agent) = env.machines.agent_mut(machine) else {
        return;
    };
    let request_id = agent.open(WorkerRequest::Deregister {
        worker,
        incarnation,
    });
    handle(
        env,
        machine,
        AgentEvent::Deregister {
            request_id,
            instance,
        },
    );
}
