//! A new primary's start: from the replicated state, and from what agents will tell.

use crate::event::Effects;
use crate::judgements::{self, Judgements};
use crate::runs::{Phase, Run, Runs};
use crate::scheduler::{Scheduler, SchedulerSettings};
use crate::share_debt::ShareDebt;
use crate::workers::Worker;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use streamusher_configuration::ConfigurationStore;
use streamusher_jobs::{AssignedRun, JobTable};
use streamusher_placement::{Allocation, Placement};
use streamusher_protocol::{Millis, Now};

/// The replicated state cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum RecoverError {
    /// A job or task.
    #[error("job record: {0}")]
    Jobs(#[from] streamusher_jobs::RecordError),
    /// The configuration.
    #[error("configuration: {0}")]
    Configuration(#[from] streamusher_configuration::RecordError),
}

/// Of an agent's orders, counted by each primary anew.
const FIRST_REVISION: u64 = 1;

impl Scheduler {
    /// Takes over. Leases granted by a former primary last `hold_max_ms` from now at most.
    pub fn recover(
        settings: SchedulerSettings,
        epoch: u64,
        now: Now,
        state: impl IntoIterator<Item = (Arc<str>, Arc<str>)>,
    ) -> Result<Scheduler, RecoverError> {
        let records: Vec<(Arc<str>, Arc<str>)> = state.into_iter().collect();
        let of = |prefixes: &'static [&'static str]| {
            let wanted = move |key: &str| prefixes.iter().any(|prefix| key.starts_with(prefix));
            records.iter().filter(move |(key, _)| wanted(key)).cloned()
        };
        let jobs = JobTable::recover(job_settings(&settings), now, of(&["job/", "task/"]))?;
        let configuration = ConfigurationStore::recover(of(&["config/", "order/", "refused/"]))?;
        let share_debt = settings.share_debt.clone().map(|settings| {
            ShareDebt::recover(
                settings,
                epoch,
                now.steady_ms,
                of(&["debt/", "debt-version"]),
            )
        });
        let judgements = Judgements::recover(now.steady_ms, of(&[judgements::PREFIX]));
        let mut placement = Placement::new(placement_settings(&settings));
        for (worker, charge) in judgements.charges() {
            placement.restore_penalty(now.steady_ms, worker.clone(), charge);
        }
        let mut scheduler = Scheduler {
            settings,
            epoch,
            jobs,
            placement,
            configuration,
            runs: Runs::default(),
            workers: BTreeMap::new(),
            agents: BTreeMap::new(),
            dead: Vec::new(),
            waiting: BTreeMap::new(),
            agents_to_look_at: BTreeSet::new(),
            calls_by_end: BTreeSet::new(),
            share_debt,
            judgements,
            next_watch: now.steady_ms,
            effects: Effects::default(),
        };
        scheduler.adopt_workers(now.steady_ms, of(&["worker/"]));
        scheduler.adopt_runs(now.steady_ms);
        // All that waits is queued here: recovery runs beside the event loop, the first event does not.
        scheduler.take_job_changes(now);
        Ok(scheduler)
    }

    /// When the leases that former primaries granted are over at the latest.
    fn leases_end(&self, now: Millis) -> Millis {
        match cfg!(feature = "mutant-takeover-wait") {
            true => now,
            false => now + self.settings.limits.hold_max_ms,
        }
    }

    /// Workers that ran something: which machine they are on is known, all else is told by their agents.
    fn adopt_workers(&mut self, now: Millis, records: impl Iterator<Item = (Arc<str>, Arc<str>)>) {
        let lease_until = self.leases_end(now);
        for (key, value) in records {
            let Some(id) = key.strip_prefix("worker/") else {
                continue;
            };
            let Ok(agent) = serde_json::from_str::<Arc<str>>(&value) else {
                continue;
            };
            let worker = Worker {
                agent: Some(agent),
                agent_silent: true,
                ..Worker::new(lease_until)
            };
            self.workers.insert(id.into(), worker);
        }
    }

    fn adopt_runs(&mut self, now: Millis) {
        let lease_until = self.leases_end(now);
        for assigned in self.jobs.assigned_runs() {
            let worker = assigned.worker.clone();
            if !self.workers.contains_key(&worker) {
                self.workers
                    .insert(worker.clone(), Worker::new(lease_until));
            }
            self.placement
                .restore_run(now, &assigned.run.task, &worker, held(&assigned));
            if assigned.stopping {
                self.placement.mark_stopping(&assigned.run.task, &worker);
            }
            self.debt_begins(now, &assigned.run, &assigned.resources);
            let run = Run {
                worker,
                phase: Phase::Ordered,
                spec: assigned.spec,
                checkpoint: assigned.checkpoint,
                // The first orders of this primary leave out what is to be stopped.
                withdrawn: assigned.stopping.then_some(FIRST_REVISION),
                stopping: assigned.stopping,
                estimated_ms: assigned.estimated_ms,
                long_running: assigned.long_running,
                gang: assigned.gang,
                hedged: assigned.hedged,
                since: now,
                percent: 0.0,
                moved_at: now,
                missing: 0,
            };
            self.runs.insert(assigned.run, run);
        }
    }
}

fn held(assigned: &AssignedRun) -> Allocation {
    Allocation {
        unit: assigned.unit.clone(),
        resources: assigned.resources,
        service: assigned.service.clone(),
        queue: assigned.queue.clone(),
        slack_ms: assigned.slack_ms,
        priority: assigned.priority,
        checkpoints: assigned.checkpoints,
        long_running: assigned.long_running,
        gang_member: assigned.gang,
        estimated_ms: assigned.estimated_ms,
    }
}

fn job_settings(settings: &SchedulerSettings) -> streamusher_jobs::JobSettings {
    streamusher_jobs::JobSettings {
        retention_ms: settings.limits.status_ms,
    }
}

fn placement_settings(settings: &SchedulerSettings) -> streamusher_placement::PlacementSettings {
    streamusher_placement::PlacementSettings {
        random_seed: settings.random_seed,
        remote_slowdown: settings.limits.far_x,
        max_stop_ms: settings.limits.stop_ms,
        checkpoint_restore_ms: settings.limits.restore_ms,
        policy: settings.policy,
    }
}
