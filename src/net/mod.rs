//! Network side of the dispatcher: client connections, route steps over a connection pool, and the pool
//! configuration from discovery.

pub(crate) mod callback;
mod close;
pub(crate) mod connections;
pub(crate) mod discovery;
pub(crate) mod front;
pub(crate) mod handover;
pub(crate) mod http;
pub mod lists;
pub(crate) mod mgmt;
pub(crate) mod pool;
pub(crate) mod request;
pub(crate) mod route;

use crate::config::Limits;
use crate::settings::SiteSettings;
use std::collections::HashMap;
use std::time::Duration;

/// Settings of the connections to workers.
#[derive(Clone, Copy)]
pub(crate) struct WorkerConnectionSettings {
    pub(crate) connect_timeout: Duration,
    pub(crate) idle_timeout: Duration,
    pub(crate) max_sockets: usize,
    /// Additional connections that only cancels may use.
    pub(crate) cancel_reserve: usize,
}

impl WorkerConnectionSettings {
    pub(crate) fn new(site: &SiteSettings, limits: &Limits) -> WorkerConnectionSettings {
        WorkerConnectionSettings {
            connect_timeout: Duration::from_micros(site.connect_timeout_us),
            // Well before the worker's machine closes idle connections: a request written after that would be
            // lost.
            idle_timeout: Duration::from_micros(site.settings.connection_idle_timeout_us / 10 * 8),
            max_sockets: limits.worker_sockets(),
            cancel_reserve: limits.cancel_reserve(),
        }
    }
}

/// Maps the name of a load report value on the wire to its name in the settings.
fn settings_name(wire_name: &str) -> &str {
    match wire_name {
        "inflight" => "active",
        "queue" => "waiting",
        "util" => "cpu",
        "latency_ms" => "avg_ms",
        "qps" => "rps",
        "eps" => "err_rps",
        other => other,
    }
}

/// Parses a load report of the form `inflight=7,eps=0.5`. Values that are not numbers are skipped.
pub(crate) fn load_from_header(text: &str) -> HashMap<String, f64> {
    let pair = |part: &str| {
        let (name, value) = part.split_once('=')?;
        Some((
            settings_name(name.trim()).to_string(),
            value.trim().parse().ok()?,
        ))
    };
    text.split(',').filter_map(pair).collect()
}

/// Converts a load report that was sent as a JSON object.
pub(crate) fn load_from_json(load: &HashMap<String, f64>) -> HashMap<String, f64> {
    load.iter()
        .map(|(name, value)| (settings_name(name).to_string(), *value))
        .collect()
}
