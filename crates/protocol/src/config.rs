//! The operators' configuration as it is sent. The configuration package checks it and compares versions.

use crate::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Header with the version on which a change is based.
pub const BASE_VERSION_HEADER: &str = "streamusher-base-version";
/// Path of a whole configuration.
pub const REPLACE_PATH: &str = "/streamusher/Config.Replace";
/// Path of a change of named items.
pub const UPDATE_PATH: &str = "/streamusher/Config.Update";
/// Path of the newest committed configuration.
pub const READ_PATH: &str = "/streamusher/Config.Read";

/// A whole configuration. Fields that this release does not know are kept in `other`, so that a read returns what was sent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Rises from change to change.
    pub version: u64,
    /// The queues.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// The services whose workers run the queues' tasks.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Limits for clients' connections.
    #[serde(default)]
    pub limits: Limits,
    /// Fields not known here.
    #[serde(flatten)]
    pub other: serde_json::Map<String, serde_json::Value>,
}

/// A queue, chosen by host and the longest prefix of the path.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, unique.
    pub name: Arc<str>,
    /// Host header of its requests.
    pub host: Arc<str>,
    /// How the path of its requests begins.
    pub path_prefix: Arc<str>,
    /// How long a request may take.
    pub timeout_ms: Millis,
    /// Constant part of the latency objective of its jobs.
    #[serde(default)]
    pub target_latency_ms: Millis,
    /// Priority of its jobs: 0 is the most urgent and may preempt the others.
    #[serde(default)]
    pub priority: u32,
    /// The service whose workers run its tasks.
    pub service: Arc<str>,
    /// Failed runs after which a task is given up.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// Part of the latency objective that grows with the job: factor on its critical path.
    #[serde(default)]
    pub stretch: f64,
    /// Fields not known here.
    #[serde(flatten)]
    pub other: serde_json::Map<String, serde_json::Value>,
}

/// A kind of worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name, unique.
    pub name: Arc<str>,
    /// Path of its workers' health checks.
    #[serde(default)]
    pub health_path: Arc<str>,
    /// Whether its workers reject runs that do not fit into their capacity.
    #[serde(default)]
    pub guards: bool,
    /// Fields not known here.
    #[serde(flatten)]
    pub other: serde_json::Map<String, serde_json::Value>,
}

/// Limits for clients' connections.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// The longest head of a request, in bytes.
    pub max_header_bytes: u64,
    /// The longest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// How long the head of a request may take to arrive.
    pub header_timeout_ms: Millis,
    /// How long a connection may be idle between requests.
    pub idle_timeout_ms: Millis,
    /// Fields not known here.
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

/// A change of named items.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Update {
    /// The version of the configuration after the change.
    pub version: u64,
    /// Items to add, or to replace by name.
    #[serde(default)]
    pub upsert: Upsert,
    /// Names of items to remove.
    #[serde(default)]
    pub remove: Remove,
}

/// Items to add or replace.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Upsert {
    /// Queues.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// All limits; none keeps the present ones.
    #[serde(default)]
    pub limits: Option<Limits>,
}

/// Names of items to remove.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Remove {
    /// Queues.
    #[serde(default)]
    pub routes: Vec<Arc<str>>,
    /// Services.
    #[serde(default)]
    pub services: Vec<Arc<str>>,
}

fn default_max_attempts() -> u32 {
    1
}
