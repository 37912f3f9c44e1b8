//! Starts, paces, stops and ends the runs of all workers, including gangs.

use super::effect::{WorkerEffect, WorkerIndex, WorkerTimer};
use super::gang::Gangs;
use super::heartbeat::PROMPT_HEARTBEAT_MS;
use super::run::{ActiveRun, RunPlan};
use super::worker::Worker;
use crate::limits::DeploymentLimits;
use crate::random::Random;
use crate::submitted_jobs::SubmittedJobs;
use std::sync::Arc;
use streamusher_protocol::task::{RunEnd, RunId};
use streamusher_protocol::Millis;

/// Current time and the jobs submitted so far.
#[derive(Clone, Copy)]
pub(crate) struct Moment<'a> {
    /// Current time, in true time.
    pub(crate) now: Millis,
    /// Jobs submitted so far, which define the tasks of the runs.
    pub(crate) submitted_jobs: &'a SubmittedJobs,
}

/// Command of the control plane to start a run.
#[derive(Clone, Copy)]
pub(crate) struct RunStart<'a> {
    /// Id of the run.
    pub(crate) run: &'a RunId,
    /// Specification of the job, as submitted by the client.
    pub(crate) spec: &'a Arc<str>,
    /// Checkpoint to restore; empty if the run starts from the beginning.
    pub(crate) checkpoint: &'a Arc<str>,
}

/// All workers and their runs. Effects are collected until they are taken.
pub(crate) struct Executor {
    pub(super) workers: Vec<Worker>,
    gangs: Gangs,
    pub(super) limits: DeploymentLimits,
    pub(super) random: Random,
    pub(super) effects: Vec<WorkerEffect>,
    /// Whether a repeated start of a run that has ended is reported as rejected; otherwise it is ignored.
    pub(super) reports_repeated_starts: bool,
}

impl Executor {
    pub(super) fn new(workers: Vec<Worker>, limits: DeploymentLimits, random: Random) -> Executor {
        Executor {
            workers,
            gangs: Gangs::default(),
            limits,
            random,
            effects: Vec::new(),
            reports_repeated_starts: false,
        }
    }

    pub(super) fn set_timer(&mut self, due: Millis, worker: WorkerIndex, timer: WorkerTimer) {
        self.effects.push(WorkerEffect::SetTimer {
            due,
            worker,
            incarnation: self.workers[worker].incarnation,
            timer,
        });
    }

    pub(super) fn plan_heartbeat(&mut self, worker: WorkerIndex, due: Millis) {
        let plan = self.workers[worker].heartbeats.plan(due);
        self.set_timer(due, worker, WorkerTimer::HeartbeatDue { plan });
    }

    /// Starts a run or reports it as rejected.
    pub(super) fn start(&mut self, moment: Moment<'_>, worker: WorkerIndex, start: RunStart<'_>) {
        let run = start.run;
        let state = &self.workers[worker];
        if state.running.contains_key(run) {
            return;
        }
        if let Some(watermark) = state.history.watermark_against(run) {
            let was_stopped = watermark.stopped_before_start && watermark.run == run.run;
            if was_stopped || self.reports_repeated_starts {
                self.report_end(moment.now, worker, run, RunEnd::Rejected, "".into());
            }
            return;
        }
        let step = moment.submitted_jobs.step(&run.task);
        let resources = step.map(|step| step.resources).unwrap_or_default();
        if state.kind.rejects_overload && !state.fits(&resources) {
            self.report_end(moment.now, worker, run, RunEnd::Rejected, "".into());
            return;
        }
        let active = self.new_run(moment, worker, start);
        let in_gang = active.in_gang;
        self.workers[worker].running.insert(run.clone(), active);
        self.effects.push(WorkerEffect::RunStarted {
            worker,
            run: run.clone(),
            spec: start.spec.clone(),
            checkpoint: start.checkpoint.clone(),
            used: self.workers[worker].used(),
        });
        if in_gang {
            self.join_gang(moment, worker, run);
        } else {
            let rate = self.own_rate(moment, worker, run);
            self.set_rate(moment.now, worker, run, rate);
        }
    }

    fn new_run(
        &mut self,
        moment: Moment<'_>,
        worker: WorkerIndex,
        start: RunStart<'_>,
    ) -> ActiveRun {
        let restore_ms = if start.checkpoint.is_empty() {
            0
        } else {
            self.limits.restore_ms
        };
        let failure_rate = self.workers[worker].health.failure_rate;
        let fails = moment.submitted_jobs.fails(&start.run.task, start.run.run)
            || self.random.chance(failure_rate);
        let plan = RunPlan {
            checkpoint: start.checkpoint.clone(),
            restore_ms,
            fails,
        };
        ActiveRun::new(moment.now, moment.submitted_jobs, start.run, plan)
    }

    /// Starts to stop a run. If its start has not arrived yet, the run will not be started.
    pub(super) fn stop(&mut self, now: Millis, worker: WorkerIndex, run: &RunId) {
        let state = &mut self.workers[worker];
        let Some(active) = state.running.get_mut(run) else {
            state.history.record_early_stop(run);
            return;
        };
        if active.is_stopping() {
            return;
        }
        active.begin_stop(now);
        let due = now + self.random.between(1, self.limits.stop_ms);
        self.set_timer(due, worker, WorkerTimer::StopCompleted { run: run.clone() });
    }

    /// Ends a run and reports its end. The end of a gang member also ends the other members.
    pub(super) fn end(
        &mut self,
        moment: Moment<'_>,
        worker: WorkerIndex,
        run: &RunId,
        outcome: RunEnd,
    ) {
        let Some(active) = self.workers[worker].running.remove(run) else {
            return;
        };
        let Moment {
            now,
            submitted_jobs,
        } = moment;
        let checkpoint = match outcome {
            RunEnd::Done => "".into(),
            RunEnd::Stopped => active.checkpoint_at_stop(now, submitted_jobs, &run.task),
            _ => active.last_checkpoint(now, submitted_jobs, &run.task, self.limits.save_ms),
        };
        self.report_end(now, worker, run, outcome, checkpoint);
        if active.in_gang {
            self.leave_gang(moment, worker, run, outcome);
        }
    }

    fn report_end(
        &mut self,
        now: Millis,
        worker: WorkerIndex,
        run: &RunId,
        outcome: RunEnd,
        checkpoint: Arc<str>,
    ) {
        let number = self.workers[worker]
            .history
            .record_end(run, outcome, checkpoint);
        self.effects.push(WorkerEffect::RunEnded {
            worker,
            run: run.clone(),
            outcome,
            number,
        });
        let soon = now + PROMPT_HEARTBEAT_MS;
        let heartbeats = &mut self.workers[worker].heartbeats;
        if !heartbeats.report_after_response() && heartbeats.is_later_than(soon) {
            self.plan_heartbeat(worker, soon);
        }
    }

    /// Completes or fails a run, if the plan of its end is still current.
    pub(super) fn on_run_outcome(
        &mut self,
        moment: Moment<'_>,
        worker: WorkerIndex,
        run: &RunId,
        plan: u64,
    ) {
        let active = self.workers[worker].running.get(run);
        let Some(active) = active.filter(|active| active.follows_plan(plan)) else {
            return;
        };
        let fails = active.expected_end().is_some_and(|end| end.fails);
        if fails {
            self.end(moment, worker, run, RunEnd::Failed);
        } else if active.in_gang {
            for member in self.gangs.finish(run) {
                self.end(moment, member.worker, &member.run, RunEnd::Done);
            }
        } else {
            self.end(moment, worker, run, RunEnd::Done);
        }
    }

    /// Rate of a run by itself, without regard to its gang. Away from its data, a task takes `far_x` times as
    /// long.
    fn own_rate(&self, moment: Moment<'_>, worker: WorkerIndex, run: &RunId) -> f64 {
        let worker = &self.workers[worker];
        let step = moment.submitted_jobs.step(&run.task);
        let data_rack = step.and_then(|step| step.affinity.as_ref());
        let is_remote = data_rack.is_some_and(|rack| *rack != worker.kind.rack);
        let factor = if is_remote { self.limits.far_x } else { 1.0 };
        worker.kind.speed * worker.health.speed / factor
    }

    /// Sets the rate of a run and plans its end.
    fn set_rate(&mut self, now: Millis, worker: WorkerIndex, run: &RunId, rate: f64) {
        let Some(active) = self.workers[worker].running.get_mut(run) else {
            return;
        };
        let Some(plan) = active.set_rate(now, rate) else {
            return;
        };
        if let Some(end) = active.expected_end() {
            let run = run.clone();
            self.set_timer(end.due, worker, WorkerTimer::RunOutcome { run, plan });
        }
    }

    /// Changes the speed of a worker and the rate of its runs.
    pub(super) fn set_speed(&mut self, moment: Moment<'_>, worker: WorkerIndex, speed: f64) {
        let state = &mut self.workers[worker];
        state.health.speed = speed;
        let running = state.running.iter();
        let runs: Vec<(RunId, bool)> = running.map(|(id, run)| (id.clone(), run.in_gang)).collect();
        for (run, in_gang) in runs {
            if in_gang {
                self.pace_gang(moment, &run);
            } else {
                let rate = self.own_rate(moment, worker, &run);
                self.set_rate(moment.now, worker, &run, rate);
            }
        }
    }

    fn join_gang(&mut self, moment: Moment<'_>, worker: WorkerIndex, run: &RunId) {
        let step = moment.submitted_jobs.step(&run.task);
        let size = step.map_or(1, |step| step.count) as usize;
        if self.gangs.join(worker, run, size) {
            self.pace_gang(moment, run);
        } else {
            let due = moment.now + self.limits.gang_ms;
            self.set_timer(due, worker, WorkerTimer::GangTimeout { run: run.clone() });
        }
    }

    /// Sets the rate of all members of a complete gang to that of the slowest member.
    fn pace_gang(&mut self, moment: Moment<'_>, run: &RunId) {
        let Some(members) = self.gangs.members_of_complete(run) else {
            return;
        };
        let rack = |worker: WorkerIndex| &self.workers[worker].kind.rack;
        let spans_racks = members
            .iter()
            .any(|member| rack(member.worker) != rack(members[0].worker));
        let step = moment.submitted_jobs.step(&run.task);
        let wants_same_rack = step.is_some_and(|step| step.same_rack);
        let factor = if wants_same_rack && spans_racks {
            1.0 / self.limits.far_x
        } else {
            1.0
        };
        let rates = members
            .iter()
            .map(|member| self.own_rate(moment, member.worker, &member.run));
        let slowest = rates.fold(f64::MAX, f64::min);
        for member in members {
            self.set_rate(moment.now, member.worker, &member.run, slowest * factor);
        }
    }

    /// Ends a member of a gang that is still incomplete when its waiting time is over.
    pub(super) fn on_gang_timeout(&mut self, moment: Moment<'_>, worker: WorkerIndex, run: &RunId) {
        let active = self.workers[worker].running.get(run);
        let is_waiting = active.is_some_and(|active| !active.is_stopping());
        if is_waiting && self.gangs.is_incomplete(run) {
            self.end(moment, worker, run, RunEnd::GangIncomplete);
        }
    }

    /// Removes a member from its gang. The other members, unless they are being stopped, end as broken.
    pub(super) fn leave_gang(
        &mut self,
        moment: Moment<'_>,
        worker: WorkerIndex,
        run: &RunId,
        outcome: RunEnd,
    ) {
        for member in self.gangs.leave(worker, run, outcome) {
            let active = self.workers[member.worker].running.get(&member.run);
            let is_stopping = active.is_some_and(ActiveRun::is_stopping);
            if !is_stopping {
                self.end(moment, member.worker, &member.run, RunEnd::GangBroken);
            }
        }
    }
}
