//! Handles sync requests of agents: each carries a report of the worker and is answered with commands.

use crate::agents::{DeferredSync, LeaseRenewal};
use crate::cluster_state::ClusterState;
use crate::commands;
use crate::event::RequestId;
use crate::worker_report;
use std::sync::Arc;
use streamusher_protocol::internal::AgentSync;
use streamusher_protocol::{Millis, Now};

/// Upper limit on the time for which an agent's request is deferred, whatever `wait_ms` it asks for.
const MAX_DEFERRAL_MS: Millis = 1_000;

/// Applies an agent's report, and defers the request until new commands exist or its deadline expires.
pub(crate) fn on_agent_sync(state: &mut ClusterState, now: Now, id: RequestId, sync: &AgentSync) {
    if state.agents.get_or_insert(&sync.agent).is_outdated(sync) {
        commands::respond(state, id, &sync.agent, LeaseRenewal::NotRenewed);
        return;
    }
    if let Some(former) = state.agents.take_deferred(&sync.agent) {
        commands::respond_to_deferred(state, &former, &sync.agent);
    }
    update_session(state, now.steady_ms, sync);
    let renewal = match &sync.worker {
        Some(report) => worker_report::on_worker_report(state, now, &sync.agent, report),
        None => LeaseRenewal::NotRenewed,
    };
    let deferred = DeferredSync {
        request: id,
        deadline: now.steady_ms + sync.wait_ms.min(MAX_DEFERRAL_MS),
        renewal,
    };
    state.agents.defer(&sync.agent, deferred);
}

fn update_session(state: &mut ClusterState, now: Millis, sync: &AgentSync) {
    let epoch = state.epoch;
    let session = state.agents.get_or_insert(&sync.agent);
    session.on_sync(now, epoch, sync);
    if session.worker.is_none() {
        assign_recorded_worker(state, &sync.agent);
    }
}

/// Assigns the recorded worker to an agent that has not reported one: the agent can then report that this
/// worker is gone.
fn assign_recorded_worker(state: &mut ClusterState, agent: &Arc<str>) {
    let recorded = state.workers.ids_of_agent(agent).next().cloned();
    if let (Some(worker), Some(session)) = (recorded, state.agents.get_mut(agent)) {
        session.assign_worker(worker);
    }
}
