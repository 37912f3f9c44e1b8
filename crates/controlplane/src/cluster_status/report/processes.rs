//! The table of all processes.

use super::fields::{list, log_position, text};
use super::is_acting;
use crate::cluster_status::query::{QueryError, StatusResponses};
use crate::cluster_status::table::Table;
use serde_json::Value;

const COLUMNS: [&str; 9] = [
    "ADDRESS",
    "ROLE",
    "STATE",
    "EPOCH",
    "PRIMARY",
    "CONFIG",
    "SYNCED",
    "REQUESTS",
    "LAST ERROR",
];

const MILLIS_PER_SECOND: u64 = 1_000;

/// The cells of a process's row after its address.
#[derive(Default)]
struct ProcessRow {
    role: String,
    state: String,
    epoch: String,
    primary: String,
    configuration: String,
    synced: String,
    requests: String,
    last_error: String,
}

/// Renders all processes, including those that did not respond.
pub(super) fn table(responses: &StatusResponses) -> String {
    let mut table = Table::new(&COLUMNS);
    for (address, response) in responses {
        let row = match response {
            Ok(status) if status.get("core").is_some() => control_machine(status),
            Ok(status) => data_plane_process(status),
            Err(error) => unresponsive_process(error),
        };
        table.add_row([
            address.to_string(),
            row.role,
            row.state,
            row.epoch,
            row.primary,
            row.configuration,
            row.synced,
            row.requests,
            row.last_error,
        ]);
    }
    table.render()
}

fn control_machine(status: &Value) -> ProcessRow {
    let role = text(status, "/core/role");
    let state = match (role.as_str(), is_acting(status)) {
        ("primary", true) => "acting",
        ("primary", false) => "no lease",
        ("joining", _) => "requesting to join",
        _ => "",
    };
    ProcessRow {
        role,
        state: state.to_owned(),
        epoch: text(status, "/core/record/epoch"),
        primary: recorded_primary(status),
        configuration: text(status, "/configuration"),
        synced: log_position(status.pointer("/core/synced")),
        requests: text(status, "/calls"),
        last_error: last_error(status),
    }
}

fn data_plane_process(status: &Value) -> ProcessRow {
    ProcessRow {
        role: text(status, "/role"),
        state: data_plane_state(status),
        epoch: text(status, "/control_plane/epoch"),
        primary: text(status, "/control_plane/primary/internal"),
        configuration: text(status, "/configuration"),
        synced: String::new(),
        requests: text(status, "/passed"),
        last_error: last_error(status),
    }
}

/// The readiness of a gate, or the lease and runs of an agent.
fn data_plane_state(status: &Value) -> String {
    let flag = |key: &str| status.get(key).and_then(Value::as_bool);
    if flag("leaving") == Some(true) {
        return "leaving".to_owned();
    }
    match flag("ready") {
        Some(true) => "ready".to_owned(),
        Some(false) => "not ready".to_owned(),
        None => {
            let lease = text(status, "/agent/lease_left_ms");
            let runs = text(status, "/agent/running");
            format!("lease {lease} ms, {runs} runs")
        }
    }
}

fn unresponsive_process(error: &QueryError) -> ProcessRow {
    ProcessRow {
        role: "?".to_owned(),
        state: "no response".to_owned(),
        last_error: error.to_string(),
        ..ProcessRow::default()
    }
}

/// Address of the primary in the newest epoch record that a control machine knows.
fn recorded_primary(status: &Value) -> String {
    let primary = status
        .pointer("/core/record/primary")
        .filter(|id| !id.is_null());
    let Some(primary) = primary else {
        return String::new();
    };
    let mut members = list(status, "/core/record/members");
    let member = members.find(|member| member.get("id") == Some(primary));
    member.map_or_else(String::new, |member| text(member, "/address/internal"))
}

/// The newest warning or error in the log of the process, with its age.
fn last_error(status: &Value) -> String {
    let Some(error) = status.get("last_error").filter(|error| !error.is_null()) else {
        return String::new();
    };
    let age_ms = error.get("age_ms").and_then(Value::as_u64).unwrap_or(0);
    format!(
        "{} s ago: {}",
        age_ms / MILLIS_PER_SECOND,
        text(error, "/text")
    )
}
