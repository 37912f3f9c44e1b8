//! What the state machines are told of the settings file.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hash, Hasher};
use std::time::SystemTime;
use streamusher_coordination as coordination;
use streamusher_node::settings::Settings;
use streamusher_protocol::internal::CoreAddress;
use streamusher_protocol::Millis;
use streamusher_scheduler as scheduler;

/// How long a replica's acknowledgement binds it: some forty messages of a calm network, and a fraction of the second
/// that callers wait.
const LEASE_MS: Millis = 800;

/// Replication's settings.
pub fn coordination(settings: &Settings, me: CoreAddress, random_seed: u64) -> coordination::Settings {
    coordination::Settings {
        me,
        bootstrap: settings.bootstrap,
        seeds: settings.core_addresses_of_seeds(),
        tolerance: settings.fault_tolerance.machines as usize,
        lease_ms: LEASE_MS,
        random_seed,
    }
}

/// The scheduler's settings.
pub fn scheduler(settings: &Settings, random_seed: u64) -> scheduler::Settings {
    let bounds = &settings.bounds;
    let bounds = scheduler::Bounds {
        hold_max_ms: bounds.hold_max_ms,
        stop_ms: bounds.stop_ms,
        gang_ms: bounds.gang_ms,
        status_ms: milliseconds(bounds.status_s),
        early_ms: bounds.early_ms,
        far_x: bounds.far_x,
        save_ms: milliseconds(bounds.save_s),
        restore_ms: bounds.restore_ms,
        drain_ms: bounds.drain_ms,
        heartbeat_ms: settings.heartbeat_ms,
    };
    scheduler::Settings { bounds, random_seed }
}

/// A new seed for each start: a disk's id is drawn from it, so it must not come twice.
pub fn random_seed() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    SystemTime::now().hash(&mut hasher);
    std::process::id().hash(&mut hasher);
    hasher.finish()
}

fn milliseconds(seconds: f64) -> Millis {
    (seconds.max(0.0) * 1_000.0).round() as Millis
}
