//! The operators' configuration in its wire format. The configuration package validates it and compares
//! versions.

use crate::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Header that carries the version on which a change is based.
pub const BASE_VERSION_HEADER: &str = "streamusher-base-version";
/// Path of the request that replaces the whole configuration.
pub const REPLACE_PATH: &str = "/streamusher/Config.Replace";
/// Path of the request that changes named items.
pub const UPDATE_PATH: &str = "/streamusher/Config.Update";
/// Path of the request that reads the most recent committed configuration.
pub const READ_PATH: &str = "/streamusher/Config.Read";

/// A complete configuration. Fields unknown to this release are preserved in `other`, so that a read returns
/// what was sent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version number, which increases with each change.
    pub version: u64,
    /// The queues.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// The services whose workers run the tasks of the queues.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Limits for client connections.
    #[serde(default)]
    pub limits: Limits,
    /// Fields unknown to this release.
    #[serde(flatten)]
    pub other: serde_json::Map<String, serde_json::Value>,
}

/// A queue. A request is assigned to it by its host and the longest matching path prefix.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the queue, unique among the queues.
    pub name: Arc<str>,
    /// Value of the `Host` header of the queue's requests.
    pub host: Arc<str>,
    /// Path prefix of the queue's requests.
    pub path_prefix: Arc<str>,
    /// Time limit for a request.
    pub timeout_ms: Millis,
    /// Constant part of the latency objective for the queue's jobs.
    #[serde(default)]
    pub target_latency_ms: Millis,
    /// Priority of the queue's jobs: 0 is the most urgent and may preempt the others.
    #[serde(default)]
    pub priority: u32,
    /// The service whose workers run the queue's tasks.
    pub service: Arc<str>,
    /// Number of failed runs after which a task is not retried any more.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// Factor on a job's critical path: the part of the latency objective that grows with the job.
    #[serde(default)]
    pub stretch: f64,
    /// Fields unknown to this release.
    #[serde(flatten)]
    pub other: serde_json::Map<String, serde_json::Value>,
}

/// A kind of worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service, unique among the services.
    pub name: Arc<str>,
    /// Path of the health checks of the service's workers.
    #[serde(default)]
    pub health_path: Arc<str>,
    /// Whether the service's workers reject runs that exceed their capacity.
    #[serde(default)]
    pub guards: bool,
    /// Fields unknown to this release.
    #[serde(flatten)]
    pub other: serde_json::Map<String, serde_json::Value>,
}

/// Limits for client connections.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Maximum length of a request head, in bytes.
    pub max_header_bytes: u64,
    /// Maximum length of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum time for receiving a request head.
    pub header_timeout_ms: Millis,
    /// Maximum time that a connection may be idle between requests.
    pub idle_timeout_ms: Millis,
    /// Fields unknown to this release.
    #[serde(flatten)]
    pub other: serde_json::Map<String, serde_json::Value>,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_header_bytes: 16_384,
            max_body_bytes: 262_144,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
            other: serde_json::Map::new(),
        }
    }
}

/// A change of named configuration items.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Update {
    /// Version of the configuration after the change.
    pub version: u64,
    /// Items to add, or to replace if an item of that name exists.
    #[serde(default)]
    pub upsert: Upsert,
    /// Names of the items to remove.
    #[serde(default)]
    pub remove: Remove,
}

/// Configuration items to add or replace.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Upsert {
    /// Queues to add or replace.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Services to add or replace.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Replaces all limits; `None` keeps the current ones.
    #[serde(default)]
    pub limits: Option<Limits>,
}

/// Names of configuration items to remove.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Remove {
    /// Names of the queues to remove.
    #[serde(default)]
    pub routes: Vec<Arc<str>>,
    /// Names of the services to remove.
    #[serde(default)]
    pub services: Vec<Arc<str>>,
}

fn default_max_attempts() -> u32 {
    1
}
