//! What the state machines are told of the settings file.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::SystemTime;
use streamusher_coordination as coordination;
use streamusher_fair_share as share_debt;
use streamusher_protocol::internal::{CoreAddress, CONTROL_PORT_OFFSET};
use streamusher_protocol::Millis;
use streamusher_runtime::settings::ProcessSettings;
use streamusher_scheduler as scheduler;

/// How long a replica's acknowledgement binds it: some forty messages of a calm network, and a fraction of the second
/// that callers wait.
const LEASE_MS: Millis = 600;

/// Where this machine is reached, and its disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Places {
    /// Address of the internal interface.
    pub internal: SocketAddr,
    /// Address of the control interface.
    pub control: SocketAddr,
    /// The disk's folder.
    pub data_dir: PathBuf,
}

/// A key that this program needs is missing in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("settings: key {key} is missing: {remedy}")]
pub struct MissingSetting {
    key: &'static str,
    remedy: &'static str,
}

/// Reads where the machine is reached, and its disk.
///
/// # Errors
/// A key is missing.
pub fn places(settings: &ProcessSettings) -> Result<Places, MissingSetting> {
    let missing = |key, remedy| MissingSetting { key, remedy };
    let control = settings.listen.control;
    let data_dir = settings.data_dir.clone();
    Ok(Places {
        internal: settings.internal_address(CONTROL_PORT_OFFSET),
        control: control.ok_or(missing(
            "listen.control",
            "give the address for operators as ip:port",
        ))?,
        data_dir: data_dir.ok_or(missing(
            "data_dir",
            "name the folder on this machine's disk",
        ))?,
    })
}

impl Places {
    /// The machine as others reach it.
    pub fn core_address(&self) -> CoreAddress {
        CoreAddress {
            internal: self.internal.to_string().into(),
            control: self.control.to_string().into(),
        }
    }
}

/// Replication's settings.
pub fn coordination(
    settings: &ProcessSettings,
    me: CoreAddress,
    random_seed: u64,
) -> coordination::CoordinatorSettings {
    coordination::CoordinatorSettings {
        address: me,
        bootstrap: settings.bootstrap,
        seeds: settings.core_addresses_of_seeds(),
        tolerance: settings.fault_tolerance.machines as usize,
        lease_ms: LEASE_MS,
        random_seed,
    }
}

/// The scheduler's settings.
pub fn scheduler(
    settings: &ProcessSettings,
    random_seed: u64,
    share_debt: Option<share_debt::FairShareSettings>,
) -> scheduler::SchedulerSettings {
    let bounds = &settings.bounds;
    let bounds = scheduler::SchedulerLimits {
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
    scheduler::SchedulerSettings {
        limits: bounds,
        random_seed,
        share_debt,
        policy: scheduler::Policy::default(),
    }
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
