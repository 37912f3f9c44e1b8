//! Applies worker reports, and determines which runs they prove to be over.

use crate::agents::{AgentSession, LeaseRenewal};
use crate::cluster_state::ClusterState;
use crate::runs::RunPhase;
use crate::workers::{Responsiveness, Worker};
use std::collections::BTreeSet;
use std::sync::Arc;
use streamusher_protocol::heartbeat::{RunningTask, StopCommand, WorkerState};
use streamusher_protocol::internal::WorkerReport;
use streamusher_protocol::task::{RunId, TaskId};
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::{Millis, Now};

/// Number of consecutive reports without a running run after which the run is lost.
const MAX_MISSED_REPORTS: u8 = 3;
/// Maximum number of finished runs in a worker's report. A list of this length may be truncated.
const MAX_REPORTED_FINISHED: usize = 500;
/// Time without a heartbeat from the worker to its agent after which the worker is unschedulable. Agents
/// defer its requests for at most 0.65 s and expect the next request within a fraction of a second.
const WORKER_UNRESPONSIVE_TIMEOUT_MS: Millis = 1_300;

/// Applies an agent's report of its worker, unless another worker has replaced it or may have done so.
pub(crate) fn on_worker_report(
    state: &mut ClusterState,
    now: Now,
    agent: &Arc<str>,
    report: &WorkerReport,
) -> LeaseRenewal {
    let worker = report.instance.clone();
    let session = state.agents.get(agent);
    let may_be_late = session.is_some_and(|session| may_precede_current_worker(session, &worker));
    if may_be_late || state.workers.is_superseded(&worker) {
        return LeaseRenewal::NotRenewed;
    }
    supersede_former_workers(state, now, agent, &worker);
    let update = ReportUpdate {
        state,
        now,
        agent,
        worker,
        report,
    };
    update.apply();
    LeaseRenewal::Renewed
}

/// Whether a report of `worker` may be older than the session's worker. A report ends the lease of the worker
/// that it replaces, and two instances have no order of their own: a request that was sent before the worker
/// restarted may reach a new primary after those that followed it, or before any other. A request that confirms
/// a revision was sent after the response with it.
fn may_precede_current_worker(session: &AgentSession, worker: &WorkerId) -> bool {
    let replaces_another = session
        .worker
        .as_ref()
        .is_some_and(|current| current != worker);
    replaces_another
        && !session.is_confirmed_by_current_process()
        && !cfg!(feature = "mutant-unconfirmed-report")
}

/// A machine has one worker at a time, so a report of another worker proves that the former one is lost.
fn supersede_former_workers(
    state: &mut ClusterState,
    now: Now,
    agent: &Arc<str>,
    worker: &WorkerId,
) {
    let Some(session) = state.agents.get_mut(agent) else {
        return;
    };
    if session.worker.as_ref() == Some(worker) {
        return;
    }
    session.assign_worker(worker.clone());
    let former: Vec<WorkerId> = state
        .workers
        .ids_of_agent(agent)
        .filter(|id| *id != worker)
        .cloned()
        .collect();
    for id in former {
        log::info!("worker {id} lost: replaced by worker {worker} at {agent}");
        state.remove_worker(now, &id);
        state.workers.mark_superseded(id);
    }
}

/// Whether a report is based on a newer heartbeat than the reports before it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Freshness {
    /// Based on a newer heartbeat.
    New,
    /// Based on the newest heartbeat that is already known.
    Repeated,
    /// Based on an earlier heartbeat.
    Outdated,
}

/// One report, and the state that it is applied to.
struct ReportUpdate<'a> {
    state: &'a mut ClusterState,
    now: Now,
    agent: &'a Arc<str>,
    worker: WorkerId,
    report: &'a WorkerReport,
}

impl ReportUpdate<'_> {
    fn apply(mut self) {
        let freshness = self.renew_lease();
        if freshness == Freshness::Outdated {
            self.apply_outdated();
            return;
        }
        self.update_worker();
        self.apply_finished();
        self.apply_running();
        self.apply_absent(freshness);
        if self.report.gone {
            self.state.lose_runs(self.now, &self.worker);
        }
    }

    fn renew_lease(&mut self) -> Freshness {
        let lease_expires_at = self.now.steady_ms + self.state.settings.limits.max_lease_ms;
        let worker = self
            .state
            .workers
            .get_or_insert(&self.worker, lease_expires_at);
        log_changes(self.agent, worker, self.report);
        if !cfg!(feature = "mutant-lease-renewal") {
            worker.lease_expires_at = lease_expires_at;
        }
        match self.report.sequence.cmp(&worker.heartbeat_sequence) {
            std::cmp::Ordering::Greater => Freshness::New,
            std::cmp::Ordering::Equal => Freshness::Repeated,
            std::cmp::Ordering::Less => Freshness::Outdated,
        }
    }

    /// Applies an outdated report. An agent that has received no heartbeat from its worker since it started
    /// may report that nothing can run there any more; such a report has neither a heartbeat sequence number
    /// nor a description. It is accepted only from the current process of the agent.
    fn apply_outdated(&mut self) {
        let session = self.state.agents.get(self.agent);
        if !self.report.gone || !session.is_some_and(AgentSession::is_confirmed_by_current_process)
        {
            return;
        }
        if let Some(worker) = self.state.workers.get_mut(&self.worker) {
            worker.terminated = true;
        }
        self.state
            .update_placement(self.now.steady_ms, &self.worker);
        self.state.lose_runs(self.now, &self.worker);
    }

    fn update_worker(&mut self) {
        let Some(worker) = self.state.workers.get_mut(&self.worker) else {
            return;
        };
        worker.heartbeat_sequence = self.report.sequence;
        worker.agent = Some(self.agent.clone());
        worker.responsiveness = if self.report.silent_ms > WORKER_UNRESPONSIVE_TIMEOUT_MS {
            Responsiveness::WorkerUnresponsive
        } else {
            Responsiveness::Responsive
        };
        worker.reported_heartbeat_age_ms = self.report.silent_ms;
        let changed = worker.update_description(self.now.steady_ms, self.report);
        if changed || worker.schedulable != worker.is_schedulable() {
            self.state
                .update_placement(self.now.steady_ms, &self.worker);
        }
    }

    /// Processes the finished runs that have not been processed before.
    fn apply_finished(&mut self) {
        let worker = self.state.workers.get(&self.worker);
        let processed = worker.map_or(0, |worker| worker.last_finished);
        let mut newest = processed;
        for finished in &self.report.finished {
            if finished.number <= processed {
                continue;
            }
            newest = newest.max(finished.number);
            let id = RunId {
                task: finished.task.clone(),
                run: finished.run,
            };
            self.state.finish_run(
                self.now,
                &self.worker,
                &id,
                finished.end,
                &finished.checkpoint,
            );
        }
        if let Some(worker) = self.state.workers.get_mut(&self.worker) {
            worker.last_finished = newest;
        }
        if newest > processed {
            self.state.invalidate_commands(&self.worker);
        }
    }

    /// Updates the runs that the worker reports as running. Runs that are not active are to be stopped.
    fn apply_running(&mut self) {
        let mut unknown_runs = Vec::new();
        for running in &self.report.running {
            if !self.update_running(running) {
                unknown_runs.push(StopCommand {
                    task: running.task.clone(),
                    run: running.run,
                });
            }
        }
        let Some(worker) = self.state.workers.get_mut(&self.worker) else {
            return;
        };
        if worker.unknown_runs != unknown_runs {
            worker.unknown_runs = unknown_runs;
            self.state.invalidate_commands(&self.worker);
        }
    }

    /// Updates a run. Returns false if it is not active at the worker.
    fn update_running(&mut self, running: &RunningTask) -> bool {
        let RunningTask {
            task,
            run: number,
            checkpoint,
            percent,
        } = running;
        let id = RunId {
            task: task.clone(),
            run: *number,
        };
        let now = self.now.steady_ms;
        let run = self.state.runs.get_mut(&id);
        let Some(run) = run.filter(|run| run.worker == self.worker) else {
            return false;
        };
        run.on_reported_running(now);
        if *percent > run.percent {
            run.percent = *percent;
            run.progressed_at = now;
            self.state
                .placement
                .update_progress(now, task, &self.worker, *percent);
        }
        if !checkpoint.is_empty() {
            self.state.jobs.on_checkpoint(&id, checkpoint);
        }
        true
    }

    /// Processes the active runs that the report does not contain: they were withdrawn before they started,
    /// or are over.
    fn apply_absent(&mut self, freshness: Freshness) {
        let reported = reported_runs(self.report);
        let session = self
            .state
            .workers
            .agent_of(&self.worker)
            .and_then(|agent| self.state.agents.get(agent));
        let confirmed_revision = session.map_or(0, AgentSession::confirmed_revision);
        let may_be_truncated = self.report.finished.len() >= MAX_REPORTED_FINISHED;
        for id in self.state.runs.ids_at_worker(&self.worker) {
            if reported.contains(&(&id.task, id.run)) {
                continue;
            }
            let Some(run) = self.state.runs.get_mut(&id) else {
                continue;
            };
            match run.phase {
                RunPhase::Starting => {
                    let stop_revision = run.stop_revision;
                    if stop_revision.is_some_and(|revision| confirmed_revision >= revision) {
                        self.state.withdraw_run(self.now, &id);
                    }
                }
                RunPhase::Running if freshness != Freshness::New || may_be_truncated => {}
                RunPhase::Running => {
                    run.missed_reports = run.missed_reports.saturating_add(1);
                    if run.missed_reports >= MAX_MISSED_REPORTS {
                        self.state.lose_run(self.now, &id);
                    }
                }
            }
        }
    }
}

/// Collects all runs that a report contains: running, finished, or offered in a response that is being sent
/// to the worker.
fn reported_runs(report: &WorkerReport) -> BTreeSet<(&TaskId, u32)> {
    let running = report.running.iter().map(|run| (&run.task, run.run));
    let finished = report.finished.iter().map(|run| (&run.task, run.run));
    let offered = report.offered.iter().map(|run| (&run.task, run.run));
    running.chain(finished).chain(offered).collect()
}

/// Logs a worker that is reported for the first time, and a worker that begins to drain.
fn log_changes(agent: &str, worker: &Worker, report: &WorkerReport) {
    let id = &report.instance;
    if worker.agent.is_none() {
        log::info!(
            "worker {id} of service {} is known, at {agent} in {}",
            report.service,
            report.zone
        );
    }
    if report.state == WorkerState::Draining && worker.state != WorkerState::Draining {
        let remaining_ms = report.remaining_ms.unwrap_or_default();
        log::info!(
            "worker {id} drains: it is given no more work, and may leave in {remaining_ms} ms"
        );
    }
}
