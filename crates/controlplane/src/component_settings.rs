//! Derives the settings of the coordinator and the scheduler from the process settings.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hash, Hasher};
use std::time::SystemTime;
use streamusher_coordination::CoordinatorSettings;
use streamusher_fair_share::FairShareSettings;
use streamusher_protocol::internal::CoreAddress;
use streamusher_protocol::Millis;
use streamusher_runtime::settings::ProcessSettings;
use streamusher_scheduler::{Policy, SchedulerLimits, SchedulerSettings};

/// Duration of the lease that a replica's acknowledgement grants: about 40 message delays of an unloaded
/// network, and a fraction of the one second that callers wait.
const LEASE_MS: Millis = 600;

/// Settings of the coordinator; `address` is where the other control machines reach this one.
pub(crate) fn coordinator_settings(
    settings: &ProcessSettings,
    address: CoreAddress,
    random_seed: u64,
) -> CoordinatorSettings {
    CoordinatorSettings {
        address,
        bootstrap: settings.bootstrap,
        seeds: settings.core_addresses_of_seeds(),
        tolerance: settings.fault_tolerance.machines as usize,
        lease_ms: LEASE_MS,
        random_seed,
    }
}

/// Settings of the scheduler. Without `fair_share` it does not order work by recent use.
pub(crate) fn scheduler_settings(
    settings: &ProcessSettings,
    random_seed: u64,
    fair_share: Option<FairShareSettings>,
) -> SchedulerSettings {
    let bounds = &settings.bounds;
    let limits = SchedulerLimits {
        max_lease_ms: bounds.hold_max_ms,
        max_stop_ms: bounds.stop_ms,
        gang_timeout_ms: bounds.gang_ms,
        status_retention_ms: milliseconds(bounds.status_s),
        remote_slowdown: bounds.far_x,
        checkpoint_restore_ms: bounds.restore_ms,
    };
    SchedulerSettings {
        limits,
        random_seed,
        fair_share,
        policy: Policy::default(),
    }
}

/// Draws a new seed at each start. The id of a disk is derived from it, so two starts must not draw the same
/// seed.
pub(crate) fn draw_random_seed() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    SystemTime::now().hash(&mut hasher);
    std::process::id().hash(&mut hasher);
    hasher.finish()
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "a cast from a float saturates, and settings are far below the limit"
)]
fn milliseconds(seconds: f64) -> Millis {
    (seconds.max(0.0) * 1_000.0).round() as Millis
}
