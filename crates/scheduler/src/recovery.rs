//! Recovery of the scheduler's state when a new primary takes over.
//!
//! The replicated state holds jobs, tasks with their assigned runs, the configuration, the agents of workers
//! that have runs, penalties and users' usage. Everything else is learned from agents' reports.

use crate::cluster_state::{ClusterState, WORKER_KEY_PREFIX};
use crate::fair_share::{self, FairShare};
use crate::penalty_store::{self, PenaltyStore};
use crate::runs::{ActiveRun, RunProfile};
use crate::settings::SchedulerSettings;
use crate::workers::Worker;
use std::sync::Arc;
use streamusher_configuration::ConfigurationStore;
use streamusher_jobs::{AssignedRun, JobTable};
use streamusher_placement::Allocation;
use streamusher_protocol::unit::WorkerId;
use streamusher_protocol::{Millis, Now};

/// Prefixes of the replicated keys that belong to the job table.
const JOB_KEY_PREFIXES: &[&str] = &["job/", "task/"];
/// Prefixes of the replicated keys that belong to the configuration.
const CONFIGURATION_KEY_PREFIXES: &[&str] = &["config/", "order/", "refused/"];
/// Command revision of an agent's first commands. A new primary's first commands already omit the runs that
/// are to be stopped.
const FIRST_REVISION: u64 = 1;

/// The replicated state cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum RecoverError {
    /// The record of a job or task is unreadable.
    #[error("job record: {0}")]
    Jobs(#[from] streamusher_jobs::RecordError),
    /// A record of the configuration is unreadable.
    #[error("configuration: {0}")]
    Configuration(#[from] streamusher_configuration::RecordError),
}

/// Key and value of a replicated record.
type Record = (Arc<str>, Arc<str>);

/// Restores the state from the replicated records, and enqueues all pending units.
pub(crate) fn recover(
    settings: SchedulerSettings,
    epoch: u64,
    now: Now,
    records: &[Record],
) -> Result<(ClusterState, ConfigurationStore), RecoverError> {
    let jobs = JobTable::recover(
        settings.job_settings(),
        now,
        with_prefix(records, JOB_KEY_PREFIXES),
    )?;
    let configuration =
        ConfigurationStore::recover(with_prefix(records, CONFIGURATION_KEY_PREFIXES))?;
    let fair_share = settings.fair_share.clone().map(|fair_share| {
        let records = with_prefix(records, fair_share::KEY_PREFIXES);
        FairShare::recover(fair_share, epoch, now.steady_ms, records)
    });
    let penalties = PenaltyStore::recover(
        now.steady_ms,
        with_prefix(records, &[penalty_store::KEY_PREFIX]),
    );
    let mut state = ClusterState::new(settings, epoch, jobs, fair_share, penalties);
    for (worker, penalty) in state.penalties.penalties() {
        state
            .placement
            .restore_penalty(now.steady_ms, worker.clone(), penalty);
    }
    restore_workers(&mut state, now.steady_ms, records);
    restore_runs(&mut state, now);
    // Pending units are enqueued here because recovery runs outside the event loop, while the first event is
    // handled inside it.
    state.apply_job_changes(now);
    Ok((state, configuration))
}

fn with_prefix<'a>(
    records: &'a [Record],
    prefixes: &'a [&'a str],
) -> impl Iterator<Item = Record> + 'a {
    let is_wanted = |key: &str| prefixes.iter().any(|prefix| key.starts_with(prefix));
    records
        .iter()
        .filter(move |(key, _)| is_wanted(key))
        .cloned()
}

/// Latest time at which the leases granted by former primaries expire.
fn former_leases_expire_at(state: &ClusterState, now: Millis) -> Millis {
    if cfg!(feature = "mutant-takeover-wait") {
        now
    } else {
        now + state.settings.limits.max_lease_ms
    }
}

/// Restores the workers that had runs. Only the agent of each is known; everything else will be reported.
fn restore_workers(state: &mut ClusterState, now: Millis, records: &[Record]) {
    let lease_expires_at = former_leases_expire_at(state, now);
    for (key, value) in records {
        let Some(id) = key.strip_prefix(WORKER_KEY_PREFIX) else {
            continue;
        };
        if let Ok(agent) = serde_json::from_str::<Arc<str>>(value) {
            let worker = Worker::recorded(agent, lease_expires_at);
            state.workers.insert(id.into(), worker);
        }
    }
}

fn restore_runs(state: &mut ClusterState, now: Now) {
    let steady_ms = now.steady_ms;
    let lease_expires_at = former_leases_expire_at(state, steady_ms);
    for assigned in state.jobs.assigned_runs() {
        let worker = assigned.worker.clone();
        state.workers.get_or_insert(&worker, lease_expires_at);
        restore_allocation(state, now, &worker, &assigned);
        if let Some(fair_share) = &mut state.fair_share {
            fair_share.on_run_started(steady_ms, &state.jobs, &assigned.run, &assigned.resources);
        }
        let profile = RunProfile {
            estimated_ms: assigned.estimated_ms,
            long_running: assigned.long_running,
            in_gang: assigned.gang,
            may_hedge: assigned.hedged,
        };
        let mut run = ActiveRun::starting(
            steady_ms,
            worker,
            assigned.spec,
            assigned.checkpoint,
            profile,
        );
        run.stop_revision = assigned.stopping.then_some(FIRST_REVISION);
        state.runs.insert(assigned.run, run);
    }
}

fn restore_allocation(
    state: &mut ClusterState,
    now: Now,
    worker: &WorkerId,
    assigned: &AssignedRun,
) {
    let allocation = Allocation {
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
    };
    let task = &assigned.run.task;
    let elapsed_before_ms = now.unix_ms.saturating_sub(assigned.assigned_unix_ms);
    state
        .placement
        .restore_run(now.steady_ms, task, worker, allocation, elapsed_before_ms);
    if assigned.stopping {
        state.placement.mark_stopping(task, worker);
    }
}
