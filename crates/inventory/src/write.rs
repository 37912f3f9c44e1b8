//! Rosters as text, in each form that is read, without loss.

use crate::host::Host;
use std::fmt::Write;

/// The forms that are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum To {
    /// Comma-separated rows with a heading.
    Csv,
    /// Ansible's YAML.
    Yaml,
    /// Ansible's INI.
    Ini,
    /// The JSON of `ansible-inventory --list`.
    Json,
}

/// The roster's text.
pub fn write(hosts: &[Host], to: To) -> String {
    match to {
        To::Csv => csv(hosts),
        To::Yaml => yaml(hosts),
        To::Ini => ini(hosts),
        To::Json => json(hosts),
    }
}

fn csv(hosts: &[Host]) -> String {
    let mut rows = csv::Writer::from_writer(Vec::new());
    let head = rows.write_record(["name", "address", "port", "zone", "kind", "cell", "weight"]);
    let all = hosts.iter().try_for_each(|h| {
        let (ip, port) = (h.addr.ip().to_string(), h.addr.port().to_string());
        rows.write_record([
            &h.name,
            &ip,
            &port,
            &h.zone,
            &h.kind,
            &h.cell.to_string(),
            &h.weight.to_string(),
        ])
    });
    let bytes = head
        .and(all)
        .ok()
        .and_then(|()| rows.into_inner().ok())
        .unwrap_or_default();
    String::from_utf8(bytes).unwrap_or_default()
}

/// Quoted as JSON, which YAML reads the same.
fn quoted(text: &str) -> String {
    serde_json::to_string(text).unwrap_or_default()
}

fn yaml(hosts: &[Host]) -> String {
    let mut text = String::from("all:\n  hosts:\n");
    for h in hosts {
        let _ = write!(
            text,
            "    {}:\n      ansible_host: {}\n      drmaa_port: {}\n      zone: {}\n      kind: {}\n      cell: {}\n      \
             weight: {}\n",
            quoted(&h.name),
            quoted(&h.addr.ip().to_string()),
            h.addr.port(),
            quoted(&h.zone),
            quoted(&h.kind),
            h.cell,
            h.weight
        );
    }
    text
}

fn ini(hosts: &[Host]) -> String {
    // A shell's word: what is in single quotes is taken as it stands.
    let word = |text: &str| match text.contains('\'') {
        true => format!("\"{text}\""),
        false => format!("'{text}'"),
    };
    let line = |h: &Host| {
        let (ip, port) = (h.addr.ip(), h.addr.port());
        let (zone, kind) = (word(&h.zone), word(&h.kind));
        let (cell, weight) = (h.cell, h.weight);
        format!(
            "{} ansible_host={ip} drmaa_port={port} zone={zone} kind={kind} cell={cell} weight={weight}\n",
            h.name
        )
    };
    hosts.iter().map(line).collect()
}

fn json(hosts: &[Host]) -> String {
    let vars = |h: &Host| {
        let vars = serde_json::json!({"ansible_host": h.addr.ip().to_string(), "drmaa_port": h.addr.port(),
            "zone": h.zone, "kind": h.kind, "cell": h.cell, "weight": h.weight});
        (h.name.clone(), vars)
    };
    let names: Vec<&str> = hosts.iter().map(|h| h.name.as_str()).collect();
    let hostvars: serde_json::Map<String, serde_json::Value> = hosts.iter().map(vars).collect();
    let whole = serde_json::json!({"_meta": {"hostvars": hostvars}, "all": {"hosts": names}});
    serde_json::to_string_pretty(&whole).unwrap_or_default() + "\n"
}
