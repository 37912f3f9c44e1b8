//! Renders the status of the whole cluster as tables.

mod fields;
mod primary;
mod processes;

use super::query::StatusResponses;
use serde_json::Value;

/// Renders all processes, and the acting primary's view of the cluster.
pub fn render(responses: &StatusResponses) -> String {
    let processes = processes::table(responses);
    let acting = responses
        .values()
        .flatten()
        .find(|status| is_acting(status));
    match acting {
        Some(status) => format!("{processes}{}", primary::render(status)),
        None => {
            format!("{processes}\nNo acting primary: see \"no primary\" in docs/operating.md\n")
        }
    }
}

/// Whether a status comes from the primary and it holds a valid lease.
pub fn is_acting(status: &Value) -> bool {
    status
        .pointer("/core/acting")
        .and_then(Value::as_bool)
        .unwrap_or(false)
}
