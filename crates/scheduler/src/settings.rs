//! Settings of the scheduler, and the settings that it derives for its components.

use streamusher_fair_share::FairShareSettings;
use streamusher_jobs::JobSettings;
use streamusher_placement::{PlacementSettings, Policy};
use streamusher_protocol::Millis;

/// Time limits and cost factors of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerLimits {
    /// Maximum time for which a worker may run tasks without contact, in milliseconds. Also the duration of
    /// an agent's lease.
    pub max_lease_ms: Millis,
    /// Maximum time that a worker takes to stop a run, in milliseconds.
    pub max_stop_ms: Millis,
    /// Maximum time that a gang member waits for the other members, in milliseconds.
    pub gang_timeout_ms: Millis,
    /// Time for which the state of a finished job can be queried, in milliseconds.
    pub status_retention_ms: Millis,
    /// Factor by which a run takes longer on a worker that is remote from its data.
    pub remote_slowdown: f64,
    /// Time that a run takes to continue from a checkpoint, in milliseconds.
    pub checkpoint_restore_ms: Millis,
}

impl Default for SchedulerLimits {
    /// Limits of a small deployment in one region.
    fn default() -> SchedulerLimits {
        SchedulerLimits {
            max_lease_ms: 6_000,
            max_stop_ms: 900,
            gang_timeout_ms: 3_000,
            status_retention_ms: 120_000,
            remote_slowdown: 1.5,
            checkpoint_restore_ms: 600,
        }
    }
}

/// Settings of a [`Scheduler`](crate::Scheduler).
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// Time limits and cost factors of the deployment.
    pub limits: SchedulerLimits,
    /// Seed of all random choices.
    pub random_seed: u64,
    /// Settings of fair share, which orders units of equal priority by their users' decayed usage. `None`
    /// orders them by submission time alone.
    pub fair_share: Option<FairShareSettings>,
    /// The scheduling mechanisms that are enabled.
    pub policy: Policy,
}

impl SchedulerSettings {
    pub(crate) fn job_settings(&self) -> JobSettings {
        JobSettings {
            retention_ms: self.limits.status_retention_ms,
        }
    }

    pub(crate) fn placement_settings(&self) -> PlacementSettings {
        PlacementSettings {
            random_seed: self.random_seed,
            remote_slowdown: self.limits.remote_slowdown,
            max_stop_ms: self.limits.max_stop_ms,
            checkpoint_restore_ms: self.limits.checkpoint_restore_ms,
            policy: self.policy,
        }
    }
}
