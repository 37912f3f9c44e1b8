//! Gates, which forward client requests to the primary.

use super::discovery;
use super::environment::Environment;
use super::rpc;
use super::rpc_message::{Caller, RpcOutcome, RpcRequest};
use crate::network::MachineId;
use streamusher_controlplane::driver::ControlRequest;
use streamusher_protocol::internal::{ClientRequest, ClientResponse};
use streamusher_protocol::Millis;

/// Time-out of a request that is forwarded to the primary.
const FORWARD_TIMEOUT_MS: Millis = 2_500;
/// Retry-after time sent to clients while no primary is known.
const RETRY_AFTER_MS: Millis = 300;

fn response(status: u16, retry_after_ms: Option<Millis>) -> ClientResponse {
    ClientResponse {
        status,
        body: "".into(),
        retry_after_ms,
    }
}

fn unavailable() -> ClientResponse {
    response(503, Some(RETRY_AFTER_MS))
}

/// Handles a request from a client.
pub(crate) fn on_client_request(
    env: &mut Environment,
    machine: MachineId,
    client_request: u64,
    request: ClientRequest,
) {
    let Some(gate) = env.machines.gate_mut(machine) else {
        return;
    };
    gate.open(client_request, request);
    forward(env, machine, client_request);
}

fn forward(env: &mut Environment, machine: MachineId, client_request: u64) {
    let primary = discovery::suspected_primary(env, machine);
    let boot = env.machines[machine].boot;
    let Some(gate) = env.machines.gate_mut(machine) else {
        return;
    };
    if !gate.is_open(client_request) {
        return;
    }
    let attempt = gate.next_attempt(client_request);
    let (Some(primary), Some(request)) = (primary, attempt) else {
        respond(env, machine, client_request, unavailable());
        return;
    };
    let caller = Caller::Gate {
        machine,
        boot,
        client_request,
    };
    let request = RpcRequest::primary(ControlRequest::Client(request));
    discovery::on_primary_call(env, machine);
    rpc::call(env, caller, primary, request, FORWARD_TIMEOUT_MS);
}

/// Handles the outcome of a forwarded request.
pub(crate) fn on_call_returned(
    env: &mut Environment,
    machine: MachineId,
    receiver: MachineId,
    client_request: u64,
    outcome: RpcOutcome,
) {
    discovery::on_primary_call_returned(env, machine, receiver, &outcome);
    match outcome {
        RpcOutcome::Client(response) => respond(env, machine, client_request, response),
        RpcOutcome::NotPrimary(_) => forward(env, machine, client_request),
        RpcOutcome::ConnectionRefused => respond(env, machine, client_request, unavailable()),
        RpcOutcome::TimedOut => respond(env, machine, client_request, response(504, None)),
        _ => respond(env, machine, client_request, response(502, None)),
    }
}

fn respond(
    env: &mut Environment,
    machine: MachineId,
    client_request: u64,
    response: ClientResponse,
) {
    let Some(gate) = env.machines.gate_mut(machine) else {
        return;
    };
    if gate.close(client_request) {
        env.respond_to_client(client_request, Some(response));
    }
}
