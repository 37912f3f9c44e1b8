//! The status of the whole cluster as tables.

mod fields;
mod primary;
mod processes;

use super::query::StatusResponses;
use serde_json::Value;

/// The whole cluster: all processes, and what the acting primary knows.
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

/// Whether a status is that of the primary, with a valid lease.
pub fn is_acting(status: &Value) -> bool {
    status
        .pointer("/core/acting")
        .and_then(Value::as_bool)
        .unwrap_or(false)
}
