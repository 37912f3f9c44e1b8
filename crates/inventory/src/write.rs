//! Serialization of inventories in each of the supported formats. Reading the output back gives the same
//! hosts.

use crate::host::Host;
use serde_json::{json, Map, Value};

/// Output formats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Comma-separated rows with a heading.
    Csv,
    /// Ansible's YAML.
    Yaml,
    /// Ansible's INI.
    Ini,
    /// The JSON of `ansible-inventory --list`.
    Json,
}

/// Serializes an inventory in the given format.
pub fn write_inventory(hosts: &[Host], format: OutputFormat) -> String {
    match format {
        OutputFormat::Csv => write_csv(hosts).unwrap_or_default(),
        OutputFormat::Yaml => write_yaml(hosts),
        OutputFormat::Ini => hosts.iter().map(ini_line).collect(),
        OutputFormat::Json => write_json(hosts),
    }
}

/// Returns the CSV text, or `None` if the writer fails, which does not happen when it writes to memory.
fn write_csv(hosts: &[Host]) -> Option<String> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    let heading = ["name", "address", "port", "zone", "kind", "cell", "weight"];
    writer.write_record(heading).ok()?;
    for host in hosts {
        let row = [
            &host.name,
            &host.addr.ip().to_string(),
            &host.addr.port().to_string(),
            &host.zone,
            &host.kind,
            &host.cell.to_string(),
            &host.weight.to_string(),
        ];
        writer.write_record(row).ok()?;
    }
    String::from_utf8(writer.into_inner().ok()?).ok()
}

fn write_yaml(hosts: &[Host]) -> String {
    let hosts: String = hosts.iter().map(yaml_host).collect();
    format!("all:\n  hosts:\n{hosts}")
}

fn yaml_host(host: &Host) -> String {
    let name = json_quoted(&host.name);
    let address = json_quoted(&host.addr.ip().to_string());
    let port = host.addr.port();
    let (zone, kind) = (json_quoted(&host.zone), json_quoted(&host.kind));
    let (cell, weight) = (host.cell, host.weight);
    format!(
        "    {name}:\n      ansible_host: {address}\n      drmaa_port: {port}\n      zone: {zone}\n      kind: {kind}\n      \
         cell: {cell}\n      weight: {weight}\n"
    )
}

/// Quotes a text as a JSON string, which YAML parses identically.
fn json_quoted(text: &str) -> String {
    serde_json::to_string(text).unwrap_or_default()
}

fn ini_line(host: &Host) -> String {
    let name = &host.name;
    let (address, port) = (host.addr.ip(), host.addr.port());
    let (zone, kind) = (shell_quoted(&host.zone), shell_quoted(&host.kind));
    let (cell, weight) = (host.cell, host.weight);
    format!(
        "{name} ansible_host={address} drmaa_port={port} zone={zone} kind={kind} cell={cell} weight={weight}\n"
    )
}

/// Quotes a text as in a shell. Single quotes are used, since the text between them is literal, unless the
/// text contains one itself.
fn shell_quoted(text: &str) -> String {
    if text.contains('\'') {
        format!("\"{text}\"")
    } else {
        format!("'{text}'")
    }
}

fn write_json(hosts: &[Host]) -> String {
    let names: Vec<&str> = hosts.iter().map(|host| host.name.as_str()).collect();
    let host_vars: Map<String, Value> = hosts
        .iter()
        .map(|host| (host.name.clone(), json_vars(host)))
        .collect();
    let inventory = json!({"_meta": {"hostvars": host_vars}, "all": {"hosts": names}});
    serde_json::to_string_pretty(&inventory).unwrap_or_default() + "\n"
}

fn json_vars(host: &Host) -> Value {
    json!({
        "ansible_host": host.addr.ip().to_string(),
        "drmaa_port": host.addr.port(),
        "zone": host.zone,
        "kind": host.kind,
        "cell": host.cell,
        "weight": host.weight,
    })
}
