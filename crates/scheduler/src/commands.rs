//! Commands to agents: recomputed after a change, sent as responses to the agents' requests.

use crate::agents::{CommandSet, DeferredSync, LeaseRenewal};
use crate::cluster_state::ClusterState;
use crate::event::{RequestId, SchedulerResponse};
use crate::runs::{RunPhase, RunTable};
use crate::workers::WorkerTable;
use std::sync::Arc;
use streamusher_protocol::heartbeat::{StartCommand, StopCommand};
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::Millis;

/// Answers the deferred requests of agents that lack the newest commands, and those whose deadline has
/// expired.
pub(crate) fn respond_to_due(state: &mut ClusterState, now: Millis) {
    for agent in state.agents.take_unreviewed(now) {
        refresh(state, &agent);
        if let Some(deferred) = state.agents.take_due_request(now, &agent) {
            respond_to_deferred(state, &deferred, &agent);
        }
    }
}

/// Answers a deferred request with the agent's current commands.
pub(crate) fn respond_to_deferred(
    state: &mut ClusterState,
    deferred: &DeferredSync,
    agent: &Arc<str>,
) {
    respond(state, deferred.request, agent, deferred.renewal);
}

/// Answers an agent's request with its current commands.
pub(crate) fn respond(
    state: &mut ClusterState,
    request: RequestId,
    agent: &Arc<str>,
    renewal: LeaseRenewal,
) {
    refresh(state, agent);
    if let Some(commands) = state.agents.commands(agent, renewal) {
        state.respond(request, SchedulerResponse::Agent(commands));
    }
}

/// Recomputes an agent's commands if they are stale.
fn refresh(state: &mut ClusterState, agent: &Arc<str>) {
    let Some(session) = state.agents.get_if_stale(agent) else {
        return;
    };
    let commands = match &session.worker {
        Some(worker) => commands_for(worker, &state.workers, &state.runs),
        None => CommandSet::default(),
    };
    state.agents.set_commands(agent, commands);
}

/// Builds the commands for a worker. Both lists are complete, not differences from earlier commands.
fn commands_for(id: &WorkerId, workers: &WorkerTable, runs: &RunTable) -> CommandSet {
    let mut commands = CommandSet {
        worker: Some(id.clone()),
        ..CommandSet::default()
    };
    let Some(worker) = workers.get(id) else {
        return commands;
    };
    commands.last_finished = worker.last_finished;
    commands.stop.clone_from(&worker.unknown_runs);
    for (run_id, run) in runs.at_worker(id) {
        let (task, number) = (run_id.task.clone(), run_id.run);
        match run.phase {
            _ if run.is_stopping() => commands.stop.push(StopCommand { task, run: number }),
            RunPhase::Starting => commands.start.push(StartCommand {
                task,
                run: number,
                spec: run.spec.clone(),
                checkpoint: run.checkpoint.clone(),
            }),
            RunPhase::Running => {}
        }
    }
    commands
}
