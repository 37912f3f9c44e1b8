//! Agents' calls: what they report of their workers, and which runs that proves to be over.

use crate::event::RequestId;
use crate::runs::Phase;
use crate::scheduler::Scheduler;
use crate::workers::{Agent, Parked, Worker};
use std::collections::BTreeSet;
use std::sync::Arc;
use streamusher_placement::ReleaseReason;
use streamusher_protocol::heartbeat::{RunningTask, StopCommand, WorkerState};
use streamusher_protocol::internal::{AgentSync, WorkerReport};
use streamusher_protocol::task::{RunEnd, RunId};
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::{Millis, Now};

/// The longest time for which an agent's call is kept, whatever it asks for.
const MOST_WAIT_MS: Millis = 1_000;
/// Successors of workers are remembered for so many.
const MOST_DEAD: usize = 1_000;
/// A run that so many reports in a row do not contain, though it was seen before, is over.
const MISSING_REPORTS: u8 = 3;
/// A list of ends this long may be cut.
const CUT_LIST: usize = 500;
/// A worker that its agent has not heard for so long is given no more work. Agents hold its calls for 0.65 s at most and
/// then want the next one within a fraction of a second.
const SILENT_WORKER_MS: Millis = 1_300;

impl Scheduler {
    /// An agent reports and waits for orders.
    pub(crate) fn agent(&mut self, now: Now, request: RequestId, sync: AgentSync) {
        let agent = self.agents.entry(sync.agent.clone()).or_default();
        if agent.is_late(&sync) {
            self.answer_now(request, &sync.agent);
            return;
        }
        self.end_former_call(&sync.agent);
        self.note_call(now.steady_ms, &sync);
        if let Some(report) = &sync.worker {
            self.report(now, &sync.agent, report);
        }
        let agent = self.agents.entry(sync.agent.clone()).or_default();
        let until = now.steady_ms + sync.wait_ms.min(MOST_WAIT_MS);
        agent.parked = Some(Parked { request, until });
        self.calls_by_end.insert((until, sync.agent.clone()));
        self.agents_to_look_at.insert(sync.agent);
    }

    fn end_former_call(&mut self, name: &Arc<str>) {
        let parked = self
            .agents
            .get_mut(name)
            .and_then(|agent| agent.parked.take());
        if let Some(parked) = parked {
            self.answer_now(parked.request, name);
        }
    }

    fn note_call(&mut self, now: Millis, sync: &AgentSync) {
        let epoch = self.epoch;
        let agent = self.agents.entry(sync.agent.clone()).or_default();
        if agent.boot != sync.boot {
            agent.restart(sync.boot);
        }
        agent.sequence = sync.sequence;
        agent.heard_at = now;
        agent.confirmed = if sync.epoch == epoch {
            sync.revision
        } else {
            0
        };
        if agent.worker.is_none() {
            self.name_recorded_worker(&sync.agent);
        }
    }

    /// The worker that the record names for an agent which has reported none: the agent can then tell that it is gone.
    fn name_recorded_worker(&mut self, name: &Arc<str>) {
        let of_agent = |(_, worker): &(&WorkerId, &Worker)| worker.agent.as_ref() == Some(name);
        let recorded = self.workers.iter().find(of_agent).map(|(id, _)| id.clone());
        if let (Some(id), Some(agent)) = (recorded, self.agents.get_mut(name)) {
            agent.worker = Some(id);
            agent.dirty = true;
        }
    }

    fn report(&mut self, now: Now, name: &Arc<str>, report: &WorkerReport) {
        let id: WorkerId = report.instance.clone();
        if self.dead.contains(&id) {
            return;
        }
        self.supersede(now, name, &id);
        let lease_until = now.steady_ms + self.settings.limits.hold_max_ms;
        let worker = self
            .workers
            .entry(id.clone())
            .or_insert_with(|| Worker::new(lease_until));
        log_changes(name, worker, report);
        worker.lease_until = lease_until;
        if report.sequence < worker.sequence {
            if report.gone && self.agents.get(name).is_some_and(Agent::is_at_work) {
                self.note_gone(now, &id);
            }
            return;
        }
        let is_newer = report.sequence > worker.sequence;
        worker.sequence = report.sequence;
        worker.agent = Some(name.clone());
        worker.silent = report.silent_ms > SILENT_WORKER_MS;
        worker.silent_ms = report.silent_ms;
        worker.agent_silent = false;
        let changed = worker.describe(now.steady_ms, report);
        if changed || worker.open != worker.takes_work() {
            self.tell_placement(now.steady_ms, &id);
        }
        self.note_ends(now, &id, report);
        self.note_running(now, &id, report);
        self.note_absent(now, &id, report, is_newer);
        if report.gone {
            self.lose_runs(now, &id);
        }
    }

    /// An agent that has heard no heartbeat of its worker since it started tells that nothing can run there any more: its
    /// report has no heartbeat's sequence and describes nothing. The caller knows that the agent's call is not a late one.
    fn note_gone(&mut self, now: Now, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.gone = true;
        }
        self.tell_placement(now.steady_ms, id);
        self.lose_runs(now, id);
    }

    /// A machine has one worker: another instance there proves that the former one is dead.
    fn supersede(&mut self, now: Now, name: &Arc<str>, id: &WorkerId) {
        let Some(agent) = self.agents.get_mut(name) else {
            return;
        };
        if agent.worker.as_ref() == Some(id) {
            return;
        }
        agent.worker = Some(id.clone());
        agent.dirty = true;
        let of_agent = |w: &Worker| w.agent.as_ref() == Some(name);
        let former = self
            .workers
            .iter()
            .filter(|(other, w)| *other != id && of_agent(w));
        let former: Vec<WorkerId> = former.map(|(other, _)| other.clone()).collect();
        for other in former {
            self.bury(now, &other);
        }
    }

    /// A worker is dead for good.
    pub(crate) fn bury(&mut self, now: Now, id: &WorkerId) {
        log::info!("worker {id} is dead: another one runs on its machine, or it left");
        self.drop_worker(now, id);
        self.dead.push(id.clone());
        if self.dead.len() > MOST_DEAD {
            self.dead.remove(0);
        }
    }

    fn note_ends(&mut self, now: Now, worker: &WorkerId, report: &WorkerReport) {
        let noted = self.workers.get(worker).map_or(0, |w| w.last_seen);
        let mut newest = noted;
        for end in report.finished.iter().filter(|end| end.number > noted) {
            newest = newest.max(end.number);
            let id = RunId {
                task: end.task.clone(),
                run: end.run,
            };
            self.note_end(now, worker, &id, end.end, &end.checkpoint);
        }
        if let Some(w) = self.workers.get_mut(worker) {
            w.last_seen = newest;
        }
        if newest > noted {
            self.touch(worker);
        }
    }

    fn note_end(&mut self, now: Now, worker: &WorkerId, id: &RunId, how: RunEnd, checkpoint: &str) {
        let known = self.runs.get(id).filter(|run| run.worker == *worker);
        let Some(run) = known else { return };
        let ran_ms = now.steady_ms.saturating_sub(run.since);
        self.debt_of_end(now.steady_ms, id, how, checkpoint);
        self.note_times(now.steady_ms, worker, id, ran_ms);
        self.jobs.on_run_finished(now, id, how, checkpoint);
        self.free(
            now.steady_ms,
            id,
            ReleaseReason::Finished {
                outcome: how,
                ran_ms,
            },
        );
    }

    fn note_running(&mut self, now: Now, worker: &WorkerId, report: &WorkerReport) {
        let mut strays = Vec::new();
        for RunningTask {
            task,
            run: number,
            checkpoint,
            percent,
        } in &report.running
        {
            let id = RunId {
                task: task.clone(),
                run: *number,
            };
            match self.runs.get_mut(&id).filter(|run| run.worker == *worker) {
                None => strays.push(StopCommand {
                    task: task.clone(),
                    run: *number,
                }),
                Some(run) => {
                    run.missing = 0;
                    if run.phase == Phase::Ordered {
                        run.phase = Phase::Running;
                        run.since = now.steady_ms;
                        run.moved_at = now.steady_ms;
                    }
                    if *percent > run.percent {
                        run.percent = *percent;
                        run.moved_at = now.steady_ms;
                        self.placement
                            .update_progress(now.steady_ms, task, worker, *percent);
                    }
                    if !checkpoint.is_empty() {
                        self.jobs.on_checkpoint(&id, checkpoint);
                    }
                }
            }
        }
        if let Some(w) = self.workers.get_mut(worker) {
            if w.strays != strays {
                w.strays = strays;
                self.touch(worker);
            }
        }
    }

    /// Runs that the report does not contain: withdrawn before they began, or over.
    fn note_absent(&mut self, now: Now, worker: &WorkerId, report: &WorkerReport, is_newer: bool) {
        let running = report.running.iter().map(|r| (&r.task, r.run));
        let finished = report.finished.iter().map(|f| (&f.task, f.run));
        let offered = report.offered.iter().map(|o| (&o.task, o.run));
        let present: BTreeSet<_> = running.chain(finished).chain(offered).collect();
        let agent = self.workers.get(worker).and_then(|w| w.agent.as_ref());
        let confirmed = agent
            .and_then(|a| self.agents.get(a))
            .map_or(0, |a| a.confirmed);
        for id in self.runs.ids_at(worker) {
            if present.contains(&(&id.task, id.run)) {
                continue;
            }
            let Some(run) = self.runs.get_mut(&id) else {
                continue;
            };
            match run.phase {
                Phase::Ordered if run.withdrawn.is_some_and(|revision| confirmed >= revision) => {
                    self.jobs.on_run_withdrawn(now, &id);
                    self.free(now.steady_ms, &id, ReleaseReason::Withdrawn);
                }
                Phase::Ordered => {}
                Phase::Running if !is_newer || report.finished.len() >= CUT_LIST => {}
                Phase::Running => {
                    run.missing = run.missing.saturating_add(1);
                    if run.missing >= MISSING_REPORTS {
                        self.jobs.on_run_lost(now, &id);
                        self.free(now.steady_ms, &id, ReleaseReason::Lost);
                    }
                }
            }
        }
    }
}

/// One line for a worker that is heard for the first time, and one when it begins to drain.
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
        let left = report.remaining_ms.unwrap_or_default();
        log::info!("worker {id} drains: it is given no more work, and may leave in {left} ms");
    }
}
