//! Checks the liveness of workers: expired leases, and agents that have stopped calling.

use crate::agents::AgentTable;
use crate::cluster_state::ClusterState;
use crate::workers::{Responsiveness, WorkerTable};
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::{Millis, Now};

/// Safety margin after the end of a lease. Both sides round to milliseconds and advance their clocks in
/// steps.
const LEASE_MARGIN_MS: Millis = 60;
/// Time without a call from the agent after which its worker is unschedulable. An agent calls several times
/// per second.
const AGENT_UNRESPONSIVE_TIMEOUT_MS: Millis = 1_800;
/// Heartbeat age from which on the state of a worker's runs is unknown. Agents report at least three times
/// per second.
pub(crate) const HEARTBEAT_TIMEOUT_MS: Millis = 800;

/// Removes workers whose lease has expired, and marks workers with an unresponsive agent as unschedulable.
pub(crate) fn check_workers(state: &mut ClusterState, now: Now) {
    let expired = state
        .workers
        .ids_where(|worker| now.steady_ms > worker.lease_expires_at + LEASE_MARGIN_MS);
    for id in expired {
        on_lease_expired(state, now, &id);
    }
    let unresponsive = state.workers.ids_where(|worker| {
        worker.schedulable
            && is_agent_unresponsive(&state.agents, now.steady_ms, worker.agent.as_deref())
    });
    for id in unresponsive {
        if let Some(worker) = state.workers.get_mut(&id) {
            worker.responsiveness = Responsiveness::AgentUnresponsive;
        }
        state.update_placement(now.steady_ms, &id);
    }
}

/// Removes a worker whose agent has not called for a whole lease: nothing can be running there any more.
fn on_lease_expired(state: &mut ClusterState, now: Now, id: &WorkerId) {
    if state.runs.at_worker(id).next().is_some() {
        log::warn!("worker {id} lost: lease expired; rescheduling its runs");
    }
    state.remove_worker(now, id);
}

fn is_agent_unresponsive(agents: &AgentTable, now: Millis, agent: Option<&str>) -> bool {
    agent
        .and_then(|name| agents.get(name))
        .is_none_or(|session| {
            now.saturating_sub(session.last_sync_at) > AGENT_UNRESPONSIVE_TIMEOUT_MS
        })
}

/// Age of a worker's newest known heartbeat; `Millis::MAX` if none is known.
pub(crate) fn heartbeat_age_ms(
    workers: &WorkerTable,
    agents: &AgentTable,
    now: Millis,
    worker: &WorkerId,
) -> Millis {
    let Some(worker) = workers.get(worker) else {
        return Millis::MAX;
    };
    let session = worker.agent.as_ref().and_then(|name| agents.get(name));
    let report_age_ms = session.map_or(Millis::MAX, |session| {
        now.saturating_sub(session.last_sync_at)
    });
    report_age_ms.saturating_add(worker.reported_heartbeat_age_ms)
}
