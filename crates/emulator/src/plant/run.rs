//! Runs: how they begin, progress and end.

use super::worker::Barred;
use super::{Plant, PlantOutput, Timer, WorkerIndex};
use crate::catalog::Catalog;
use std::sync::Arc;
use streamusher_protocol::heartbeat::{FinishedRun, Resources};
use streamusher_protocol::task::{RunEnd, RunId, TaskId};
use streamusher_protocol::Millis;

/// Part of its remaining work after which a failing run fails.
const FAILS_AFTER: f64 = 0.5;
/// Work after which a failing task that lasts fails.
const LASTING_FAILS_AFTER_MS: f64 = 3_000.0;

/// A run at work.
#[derive(Clone, Debug)]
pub struct Running {
    /// What it takes.
    pub resources: Resources,
    /// When it began.
    pub begun: Millis,
    /// Whether it is being stopped.
    pub stopping: bool,
    /// Whether it is a member of a gang.
    pub gang: bool,
    /// What it was told to continue from.
    pub checkpoint: Arc<str>,
    checkpoints: bool,
    lasting: bool,
    work: f64,
    /// Work after which a task that lasts is at work; the whole work of others.
    start_work: f64,
    restored: f64,
    done: f64,
    since: Millis,
    pub(super) rate: f64,
    fails_at: Option<f64>,
    plan: u64,
}

impl Running {
    fn progress(&self, now: Millis) -> f64 {
        let span = now.saturating_sub(self.since) as f64;
        (self.done + span * self.rate).min(self.work)
    }

    pub(super) fn percent(&self, now: Millis) -> f64 {
        if self.start_work <= 0.0 {
            return 0.0;
        }
        (self.progress(now) / self.start_work * 100.0)
            .floor()
            .min(100.0)
    }

    /// The newest checkpoint, renewed with each `save_ms` of work.
    pub(super) fn saved(
        &self,
        now: Millis,
        catalog: &Catalog,
        task: &TaskId,
        save_ms: Millis,
    ) -> Arc<str> {
        if !self.checkpoints {
            return "".into();
        }
        let step = save_ms.max(1) as f64;
        let gained = self.progress(now) - self.restored;
        let kept = self.restored + (gained / step).floor() * step;
        match kept as Millis {
            0 => self.checkpoint.clone(),
            progress => catalog.checkpoint(task, progress),
        }
    }

    fn saved_at_stop(&self, now: Millis, catalog: &Catalog, task: &TaskId) -> Arc<str> {
        match self.progress(now) as Millis {
            progress if self.checkpoints && progress > 0 => catalog.checkpoint(task, progress),
            _ => self.checkpoint.clone(),
        }
    }

    fn ends_at(&self) -> Option<(Millis, bool)> {
        if self.rate <= 0.0 {
            return None;
        }
        let failing = self.fails_at.is_some();
        if self.lasting && !failing {
            return None;
        }
        let goal = self.fails_at.unwrap_or(self.work);
        let span = ((goal - self.done).max(0.0) / self.rate).ceil() as Millis;
        Some((self.since + span, failing))
    }
}

impl Plant {
    pub(super) fn start(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        index: WorkerIndex,
        id: RunId,
        spec: &Arc<str>,
        checkpoint: &Arc<str>,
    ) {
        let worker = &self.workers[index];
        if worker.running.contains_key(&id) {
            return;
        }
        if let Some(barred) = worker
            .barred
            .get(&id.task)
            .copied()
            .filter(|barred| id.run <= barred.run)
        {
            if barred.before_start && barred.run == id.run || self.lists_repeated_starts {
                self.refuse(now, index, &id);
            }
            return;
        }
        let resources = catalog
            .step(&id.task)
            .map(|step| step.resources)
            .unwrap_or_default();
        let fits = worker
            .kind
            .capacity
            .covers(&worker.used().saturating_add(&resources));
        if worker.kind.guards && !fits {
            self.refuse(now, index, &id);
            return;
        }
        let run = self.new_run(now, catalog, index, &id, resources, checkpoint);
        let gang = run.gang;
        self.workers[index].running.insert(id.clone(), run);
        let (spec, checkpoint, used) =
            (spec.clone(), checkpoint.clone(), self.workers[index].used());
        self.output.push(PlantOutput::Started {
            worker: index,
            run: id.clone(),
            spec,
            checkpoint,
            used,
        });
        if gang {
            self.join_gang(now, catalog, index, &id);
        } else {
            let rate = self.own_rate(catalog, index, &id);
            self.set_rate(now, index, &id, rate);
        }
    }

    fn new_run(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        index: WorkerIndex,
        id: &RunId,
        resources: Resources,
        checkpoint: &Arc<str>,
    ) -> Running {
        let step = catalog.step(&id.task);
        let lasting = step.is_some_and(|step| step.long_running);
        let work = catalog.work_ms(&id.task) as f64;
        let restored = catalog.progress_of(&id.task, checkpoint).unwrap_or(0) as f64;
        let restore_ms = if checkpoint.is_empty() {
            0
        } else {
            self.bounds.restore_ms
        };
        let failing = self.workers[index].health.failing;
        let fails = catalog.fails(&id.task, id.run) || self.random.chance(failing);
        let fails_after = if lasting {
            LASTING_FAILS_AFTER_MS
        } else {
            (work - restored).max(0.0) * FAILS_AFTER
        };
        Running {
            resources,
            begun: now,
            stopping: false,
            gang: step.is_some_and(|step| step.gang),
            checkpoint: checkpoint.clone(),
            checkpoints: step.is_some_and(|step| step.checkpoints),
            lasting,
            work: if lasting { f64::MAX } else { work },
            start_work: work,
            restored,
            done: restored,
            since: now + restore_ms,
            rate: 0.0,
            fails_at: fails.then_some(restored + fails_after),
            plan: 0,
        }
    }

    /// Lists a run as not started.
    fn refuse(&mut self, now: Millis, index: WorkerIndex, id: &RunId) {
        self.list_end(now, index, id, RunEnd::Rejected, "".into());
    }

    pub(super) fn stop(&mut self, now: Millis, index: WorkerIndex, id: &RunId) {
        let stop_ms = self.bounds.stop_ms;
        let worker = &mut self.workers[index];
        let Some(run) = worker.running.get(id) else {
            let barred = worker.barred.entry(id.task.clone()).or_insert(Barred {
                run: 0,
                before_start: true,
            });
            if barred.run < id.run {
                *barred = Barred {
                    run: id.run,
                    before_start: true,
                };
            }
            return;
        };
        if run.stopping {
            return;
        }
        self.set_rate(now, index, id, 0.0);
        if let Some(run) = self.workers[index].running.get_mut(id) {
            run.stopping = true;
        }
        let at = now + self.random.between(1, stop_ms);
        self.timer(at, index, Timer::Stopped(id.clone()));
    }

    /// How fast a worker does this work by itself: away from its data it takes `far_x` times as long.
    pub(super) fn own_rate(&self, catalog: &Catalog, index: WorkerIndex, id: &RunId) -> f64 {
        let worker = &self.workers[index];
        let affinity = catalog
            .step(&id.task)
            .and_then(|step| step.affinity.as_ref());
        let far = affinity.is_some_and(|rack| *rack != worker.kind.rack);
        let factor = if far { self.bounds.far_x } else { 1.0 };
        worker.kind.speed * worker.health.speed / factor
    }

    /// Sets how fast a run progresses, and plans its end.
    pub(super) fn set_rate(&mut self, now: Millis, index: WorkerIndex, id: &RunId, rate: f64) {
        let Some(run) = self.workers[index].running.get_mut(id) else {
            return;
        };
        if run.stopping {
            return;
        }
        run.done = run.progress(now);
        run.since = run.since.max(now);
        run.rate = rate;
        run.plan += 1;
        let plan = run.plan;
        if let Some((at, _)) = run.ends_at() {
            self.timer(at, index, Timer::Work(id.clone(), plan));
        }
    }

    /// A worker becomes slower, faster, or stands still.
    pub fn set_speed(&mut self, now: Millis, catalog: &Catalog, index: WorkerIndex, speed: f64) {
        let runs: Vec<(RunId, bool)> = self.workers[index]
            .running
            .iter()
            .map(|(id, run)| (id.clone(), run.gang))
            .collect();
        self.workers[index].health.speed = speed;
        for (id, gang) in runs {
            if gang {
                self.pace_gang(now, catalog, &id);
            } else {
                let rate = self.own_rate(catalog, index, &id);
                self.set_rate(now, index, &id, rate);
            }
        }
    }

    pub(super) fn work_due(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        index: WorkerIndex,
        id: &RunId,
        plan: u64,
    ) {
        let Some(run) = self.workers[index].running.get(id) else {
            return;
        };
        if run.plan != plan || run.stopping {
            return;
        }
        let failed = run.ends_at().is_some_and(|(_, failed)| failed);
        if failed {
            self.end(now, catalog, index, id, RunEnd::Failed);
        } else if run.gang {
            self.end_gang_done(now, catalog, id);
        } else {
            self.end(now, catalog, index, id, RunEnd::Done);
        }
    }

    /// Ends a run and lists its end.
    pub(super) fn end(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        index: WorkerIndex,
        id: &RunId,
        how: RunEnd,
    ) {
        let save_ms = self.bounds.save_ms;
        let worker = &mut self.workers[index];
        let Some(run) = worker.running.remove(id) else {
            return;
        };
        let saved = match how {
            RunEnd::Done => "".into(),
            RunEnd::Stopped => run.saved_at_stop(now, catalog, &id.task),
            _ => run.saved(now, catalog, &id.task, save_ms),
        };
        self.list_end(now, index, id, how, saved);
        if run.gang {
            self.leave_gang(now, catalog, index, id, how);
        }
    }

    fn list_end(
        &mut self,
        now: Millis,
        index: WorkerIndex,
        id: &RunId,
        how: RunEnd,
        saved: Arc<str>,
    ) {
        let worker = &mut self.workers[index];
        worker.ends += 1;
        let number = worker.ends;
        worker.finished.push_back(FinishedRun {
            number,
            task: id.task.clone(),
            run: id.run,
            end: how,
            checkpoint: saved,
        });
        let barred = worker.barred.entry(id.task.clone()).or_insert(Barred {
            run: 0,
            before_start: false,
        });
        if barred.run <= id.run {
            *barred = Barred {
                run: id.run,
                before_start: false,
            };
        }
        self.output.push(PlantOutput::Ended {
            worker: index,
            run: id.clone(),
            how,
            number,
        });
        self.hasten_heartbeat(now, index);
    }
}
