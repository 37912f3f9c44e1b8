//! The platform's front: front sockets, route steps with a connection pool, pool config.

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

/// What the settings say of connections to workers.
#[derive(Clone, Copy)]
pub(crate) struct Metrics {
    pub(crate) connect_timeout: Duration,
    pub(crate) idle: Duration,
    pub(crate) sockets: usize,
    /// Beside these, for cancels.
    pub(crate) reserve: usize,
}

impl Metrics {
    pub(crate) fn new(site: &SiteSettings, limits: &Limits) -> Metrics {
        Metrics {
            connect_timeout: Duration::from_micros(site.connect_timeout_us),
            // Well before the worker's machine closes: a request written after that would be lost.
            idle: Duration::from_micros(site.settings.connection_idle_timeout_us / 10 * 8),
            sockets: limits.worker_sockets(),
            reserve: limits.cancel_reserve(),
        }
    }
}

/// The settings' word for a value of a load report, which has another one on the sockets.
fn settings_word(on_socket: &str) -> &str {
    match on_socket {
        "inflight" => "active",
        "queue" => "waiting",
        "util" => "cpu",
        "latency_ms" => "avg_ms",
        "qps" => "rps",
        "eps" => "err_rps",
        other => other,
    }
}

/// Reads a load report of the form `inflight=7,eps=0.5`; what is no number is skipped.
pub(crate) fn load_from_header(text: &str) -> HashMap<String, f64> {
    let pair = |p: &str| {
        let (name, value) = p.split_once('=')?;
        Some((
            settings_word(name.trim()).to_string(),
            value.trim().parse().ok()?,
        ))
    };
    text.split(',').filter_map(pair).collect()
}

/// Reads a load report that is a JSON object.
pub(crate) fn load_from_json(load: &HashMap<String, f64>) -> HashMap<String, f64> {
    load.iter()
        .map(|(name, value)| (settings_word(name).to_string(), *value))
        .collect()
}
