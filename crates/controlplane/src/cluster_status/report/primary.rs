//! The acting primary's view of members, queues and workers.

use super::fields::{disk_id, is_true, list, log_position, text, value_text};
use crate::cluster_status::table::Table;
use serde_json::Value;
use std::collections::BTreeMap;

const MEMBER_COLUMNS: [&str; 5] = ["MEMBER", "DISK ID", "ROLE", "SYNCED", "LAST ACK MS AGO"];
const QUEUE_COLUMNS: [&str; 2] = ["QUEUE", "PENDING JOBS"];
const WORKER_COLUMNS: [&str; 7] = [
    "WORKER",
    "AGENT",
    "SERVICE",
    "ZONE",
    "STATE",
    "RUNS",
    "LEASE LEFT MS",
];

/// Renders the report of the acting primary.
pub(super) fn render(status: &Value) -> String {
    let summary = summary(status);
    let members = members(status);
    let queues = queues(status);
    let workers = workers(status);
    format!("\n{summary}\n{members}\n{queues}\n{workers}")
}

fn summary(status: &Value) -> String {
    format!(
        "Epoch {}: committed {}, configuration {}, {} runs, {} pending units\n",
        text(status, "/core/record/epoch"),
        text(status, "/core/committed"),
        text(status, "/configuration"),
        text(status, "/scheduler/runs"),
        text(status, "/scheduler/waiting"),
    )
}

fn members(status: &Value) -> String {
    let own_id = text(status, "/core/id");
    let replicas: Vec<String> = list(status, "/core/record/replicas")
        .map(value_text)
        .collect();
    let peers: BTreeMap<String, &Value> = list(status, "/core/peers")
        .map(|peer| (text(peer, "/id"), peer))
        .collect();
    let mut table = Table::new(&MEMBER_COLUMNS);
    for member in list(status, "/core/record/members") {
        let id = text(member, "/id");
        let is_primary = id == own_id;
        let role = if is_primary {
            "primary"
        } else if replicas.contains(&id) {
            "replica"
        } else {
            "witness"
        };
        let peer = peers.get(&id);
        let own_position = status.pointer("/core/synced").filter(|_| is_primary);
        let synced = own_position.or_else(|| peer?.get("position"));
        table.add_row([
            text(member, "/address/internal"),
            disk_id(&id),
            role.to_owned(),
            log_position(synced),
            peer.map_or_else(String::new, |peer| text(peer, "/silent_ms")),
        ]);
    }
    table.render()
}

fn queues(status: &Value) -> String {
    let queues = status
        .pointer("/scheduler/queues")
        .and_then(Value::as_object);
    let mut table = Table::new(&QUEUE_COLUMNS);
    for (name, pending) in queues.into_iter().flatten() {
        table.add_row([name.clone(), value_text(pending)]);
    }
    table.render()
}

fn workers(status: &Value) -> String {
    let mut table = Table::new(&WORKER_COLUMNS);
    for worker in list(status, "/scheduler/workers") {
        table.add_row([
            text(worker, "/id"),
            text(worker, "/agent"),
            text(worker, "/service"),
            text(worker, "/zone"),
            worker_state(worker).to_owned(),
            text(worker, "/runs"),
            text(worker, "/lease_left_ms"),
        ]);
    }
    table.render()
}

fn worker_state(worker: &Value) -> &'static str {
    if is_true(worker, "gone") {
        "lost"
    } else if worker.get("state").and_then(Value::as_str) == Some("draining") {
        "draining"
    } else if is_true(worker, "silent") {
        "unresponsive"
    } else if is_true(worker, "open") {
        "schedulable"
    } else {
        "unschedulable"
    }
}
