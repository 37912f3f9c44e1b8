//! Primary discovery of gates and agents: the real implementation, over emulated calls.

use super::environment::Environment;
use super::rpc;
use super::rpc_message::{Caller, RpcOutcome, RpcRequest};
use crate::checker::{FencingToken, Matter};
use crate::network::MachineId;
use streamusher_dataplane::control_plane::PrimaryDiscovery;
use streamusher_protocol::internal::CoreAddress;
use streamusher_protocol::Millis;

/// Time-out of a probe.
const PROBE_TIMEOUT_MS: Millis = 500;
const MAX_SEEDS: usize = 3;

/// Addresses that processes use for their first contact with the control plane.
pub(crate) fn seeds(env: &Environment) -> Vec<CoreAddress> {
    let count = env.settings.control_machines.min(MAX_SEEDS);
    let machines = env.machines.iter().take(count);
    machines.map(|machine| machine.address.clone()).collect()
}

/// Creates the discovery of a process that is starting.
pub(crate) fn new_discovery(env: &mut Environment) -> PrimaryDiscovery {
    let random_seed = env.random.next_u64();
    PrimaryDiscovery::new(seeds(env), random_seed)
}

/// The machine that a gate or agent currently considers the primary.
pub(crate) fn suspected_primary(env: &mut Environment, machine: MachineId) -> Option<MachineId> {
    let discovery = env.machines.discovery_mut(machine)?;
    let address = discovery.primary()?.internal.clone();
    env.machines.at_address(&address)
}

/// Sends the probes that the discovery requests; they ask control machines for the current primary.
pub(crate) fn probe(env: &mut Environment, machine: MachineId) {
    let now = env.clocks(machine).steady_ms;
    let Some(discovery) = env.machines.discovery_mut(machine) else {
        return;
    };
    let addresses = discovery.take_due_probes(now);
    let boot = env.machines[machine].boot;
    for address in addresses {
        if let Some(receiver) = env.machines.at_address(&address) {
            let caller = Caller::Discovery { machine, boot };
            rpc::call(env, caller, receiver, RpcRequest::View, PROBE_TIMEOUT_MS);
        }
    }
}

/// Passes the outcome of a probe to the discovery.
pub(crate) fn on_probe_returned(
    env: &mut Environment,
    machine: MachineId,
    receiver: MachineId,
    outcome: &RpcOutcome,
) {
    let now = env.clocks(machine).steady_ms;
    let address = env.machines[receiver].address.internal.clone();
    let Some(discovery) = env.machines.discovery_mut(machine) else {
        return;
    };
    match outcome {
        RpcOutcome::View(view) => discovery.on_view(now, &address, view),
        _ => discovery.on_request_failed(now, &address),
    }
}

/// Reports to the checker that a process sends a request to the primary that it knows.
pub(crate) fn on_primary_call(env: &mut Environment, machine: MachineId) {
    let caller = env.fenced_caller(machine);
    let Some(discovery) = env.machines.discovery_mut(machine) else {
        return;
    };
    let token = FencingToken::Epoch(discovery.epoch());
    env.checker
        .on_fenced_call(env.now, caller, Matter::PrimaryRequest, token);
}

/// Updates the discovery from the outcome of a call to the suspected primary.
pub(crate) fn on_primary_call_returned(
    env: &mut Environment,
    machine: MachineId,
    receiver: MachineId,
    outcome: &RpcOutcome,
) {
    let now = env.clocks(machine).steady_ms;
    if let RpcOutcome::NotPrimary(view) = outcome {
        let caller = env.fenced_caller(machine);
        let token = FencingToken::Epoch(view.epoch);
        env.checker
            .on_token_refused(env.now, caller, Matter::PrimaryRequest, token);
    }
    let address = env.machines[receiver].address.internal.clone();
    let Some(discovery) = env.machines.discovery_mut(machine) else {
        return;
    };
    match outcome {
        RpcOutcome::NotPrimary(view) => discovery.on_not_primary(now, &address, view),
        RpcOutcome::Client(_) => discovery.on_response(now, &address),
        RpcOutcome::Agent(commands) => {
            discovery.on_response(now, &address);
            if let Some(view) = &commands.view {
                discovery.on_view(now, &address, view);
            }
        }
        _ => discovery.on_request_failed(now, &address),
    }
    probe(env, machine);
}
