//! Answers of all machines as tables.

use super::ask::Answers;
use super::table::Table;
use serde_json::Value;
use std::collections::BTreeMap;

/// The whole cluster.
pub fn render(answers: &Answers) -> String {
    let mut text = machines(answers);
    match answers.values().flatten().find(|status| is_acting(status)) {
        Some(primary) => text.push_str(&of_primary(primary)),
        None => text.push_str("\nNo primary acts: see \"no primary\" in docs/operating.md\n"),
    }
    text
}

/// Whether a status is that of the primary, with a valid lease.
pub fn is_acting(status: &Value) -> bool {
    status
        .pointer("/core/acting")
        .and_then(Value::as_bool)
        .unwrap_or(false)
}

fn machines(answers: &Answers) -> String {
    let heads = [
        "ADDRESS",
        "ROLE",
        "STATE",
        "EPOCH",
        "PRIMARY",
        "CONFIG",
        "SYNCED",
        "CALLS",
        "LAST ERROR",
    ];
    let mut table = Table::new(&heads);
    for (address, answer) in answers {
        let mut cells = vec![address.to_string()];
        match answer {
            Ok(status) if status.get("core").is_some() => cells.extend(core_cells(status)),
            Ok(status) => cells.extend(data_cells(status)),
            Err(reason) => {
                cells.extend(["?", "no answer", "", "", "", "", ""].map(str::to_owned));
                cells.push(reason.clone());
            }
        }
        table.row(cells);
    }
    table.render()
}

fn core_cells(status: &Value) -> Vec<String> {
    let role = text(status, "/core/role");
    let state = match (role.as_str(), is_acting(status)) {
        ("primary", true) => "acting",
        ("primary", false) => "no lease",
        ("joining", _) => "asks to be let in",
        _ => "",
    };
    vec![
        role.clone(),
        state.to_owned(),
        text(status, "/core/record/epoch"),
        primary_of_record(status),
        text(status, "/configuration"),
        position(status.pointer("/core/synced")),
        text(status, "/calls"),
        last_error(status),
    ]
}

fn data_cells(status: &Value) -> Vec<String> {
    let ready = status.get("ready").and_then(Value::as_bool);
    let leaving = status.get("leaving").and_then(Value::as_bool) == Some(true);
    let state = match (ready, leaving) {
        (_, true) => "leaving".to_owned(),
        (Some(true), _) => "ready".to_owned(),
        (Some(false), _) => "not ready".to_owned(),
        (None, _) => {
            let lease = text(status, "/agent/lease_left_ms");
            format!("lease {lease} ms, {} runs", text(status, "/agent/running"))
        }
    };
    vec![
        text(status, "/role"),
        state,
        text(status, "/control_plane/epoch"),
        text(status, "/control_plane/primary/internal"),
        text(status, "/configuration"),
        String::new(),
        text(status, "/passed"),
        last_error(status),
    ]
}

fn of_primary(status: &Value) -> String {
    let mut report = format!(
        "\nEpoch {}: committed {}, configuration {}, {} runs, {} units waiting\n",
        text(status, "/core/record/epoch"),
        text(status, "/core/committed"),
        text(status, "/configuration"),
        text(status, "/scheduler/runs"),
        text(status, "/scheduler/waiting"),
    );
    for part in [members(status), queues(status), workers(status)] {
        report.push('\n');
        report.push_str(&part);
    }
    report
}

fn members(status: &Value) -> String {
    let mut table = Table::new(&["MEMBER", "DISK", "COPY", "SYNCED", "SILENT MS"]);
    let peers: BTreeMap<String, &Value> = list(status, "/core/peers")
        .map(|peer| (text(peer, "/id"), peer))
        .collect();
    let me = text(status, "/core/id");
    let replicas: Vec<String> = list(status, "/core/record/replicas").map(plain).collect();
    for member in list(status, "/core/record/members") {
        let id = text(member, "/id");
        let copy = match (id == me, replicas.contains(&id)) {
            (true, _) => "primary",
            (_, true) => "replica",
            _ => "witness",
        };
        let peer = peers.get(&id);
        let own = status.pointer("/core/synced").filter(|_| id == me);
        let synced = own.or(peer.and_then(|peer| peer.get("position")));
        table.row([
            text(member, "/address/internal"),
            disk_name(&id),
            copy.to_owned(),
            position(synced),
            peer.map_or(String::new(), |peer| text(peer, "/silent_ms")),
        ]);
    }
    table.render()
}

fn queues(status: &Value) -> String {
    let mut table = Table::new(&["QUEUE", "JOBS WAITING"]);
    let queues = status
        .pointer("/scheduler/queues")
        .and_then(Value::as_object);
    for (name, waiting) in queues.into_iter().flatten() {
        table.row([name.clone(), plain(waiting)]);
    }
    table.render()
}

fn workers(status: &Value) -> String {
    let heads = [
        "WORKER",
        "AGENT",
        "SERVICE",
        "ZONE",
        "STATE",
        "RUNS",
        "LEASE LEFT MS",
    ];
    let mut table = Table::new(&heads);
    for worker in list(status, "/scheduler/workers") {
        table.row([
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
    let is = |key: &str| worker.get(key).and_then(Value::as_bool) == Some(true);
    if is("gone") {
        "gone"
    } else if worker.get("state").and_then(Value::as_str) == Some("draining") {
        "draining"
    } else if is("silent") {
        "silent"
    } else if is("open") {
        "open"
    } else {
        "closed"
    }
}

fn primary_of_record(status: &Value) -> String {
    let Some(primary) = status
        .pointer("/core/record/primary")
        .filter(|id| !id.is_null())
    else {
        return String::new();
    };
    let mut members = list(status, "/core/record/members");
    let member = members.find(|member| member.get("id") == Some(primary));
    member.map_or_else(String::new, |member| text(member, "/address/internal"))
}

fn last_error(status: &Value) -> String {
    let Some(error) = status.get("last_error").filter(|error| !error.is_null()) else {
        return String::new();
    };
    let age = error.get("age_ms").and_then(Value::as_u64).unwrap_or(0) / 1_000;
    format!("{age} s ago: {}", text(error, "/text"))
}

fn position(value: Option<&Value>) -> String {
    let Some(value) = value.filter(|value| !value.is_null()) else {
        return String::new();
    };
    format!("{}/{}", text(value, "/epoch"), text(value, "/sequence"))
}

/// A disk's id as the logs write it.
fn disk_name(id: &str) -> String {
    id.parse::<u64>()
        .map_or_else(|_| id.to_owned(), |id| format!("{id:016x}"))
}

fn list<'a>(value: &'a Value, path: &str) -> impl Iterator<Item = &'a Value> {
    value
        .pointer(path)
        .and_then(Value::as_array)
        .into_iter()
        .flatten()
}

fn text(value: &Value, path: &str) -> String {
    value.pointer(path).map_or_else(String::new, plain)
}

fn plain(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
