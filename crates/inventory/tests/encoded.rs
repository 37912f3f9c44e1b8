//! Encoded forms, byte for byte: inventories in each output format, and the JSON of hosts, differences and
//! errors.
//!
//! Operators store these files, and programs parse the output of `servers ... --json`. The fixtures were
//! written by an earlier release and are never regenerated.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use std::io;
use std::path::{Path, PathBuf};
use streamusher_inventory::{
    read_inventory, write_inventory, FileSource, Host, InventoryDiff, KnownNames, OutputFormat,
};

const HOSTS_CSV: &str = include_str!("fixtures/encoded/hosts.csv");
const HOSTS_YAML: &str = include_str!("fixtures/encoded/hosts.yml");
const HOSTS_INI: &str = include_str!("fixtures/encoded/hosts.ini");
const HOSTS_JSON: &str = include_str!("fixtures/encoded/hosts.json");
const REPORTS: &str = include_str!("fixtures/encoded/reports.jsonl");

/// File source with one file in memory, which is returned for every path.
struct OneFile(&'static str);

impl FileSource for OneFile {
    fn read(&self, _: &Path) -> io::Result<Vec<u8>> {
        Ok(self.0.as_bytes().to_vec())
    }

    fn list(&self, _: &Path) -> io::Result<Vec<PathBuf>> {
        Ok(Vec::new())
    }
}

fn hosts() -> Vec<Host> {
    let host = |name: &str, addr: &str, zone: &str, kind: &str, cell, weight| Host {
        name: name.into(),
        addr: addr.parse().expect("an address"),
        zone: zone.into(),
        kind: kind.into(),
        cell,
        weight,
    };
    vec![
        host("core-1", "10.1.0.18:6444", "north-yard", "standard", 3, 1.5),
        host("core-2", "[fe80::1]:7000", "joe's yard, 2", "", 0, 1.0),
    ]
}

#[test]
fn encoded_forms_are_as_recorded_for_inventories() {
    for (format, name, recorded) in [
        (OutputFormat::Csv, "hosts.csv", HOSTS_CSV),
        (OutputFormat::Yaml, "hosts.yml", HOSTS_YAML),
        (OutputFormat::Ini, "hosts.ini", HOSTS_INI),
        (OutputFormat::Json, "hosts.json", HOSTS_JSON),
    ] {
        assert_eq!(write_inventory(&hosts(), format), recorded, "{name}");
        let inventory = read_inventory(&OneFile(recorded), Path::new(name), &KnownNames::default());
        assert_eq!(inventory.expect("it is read").hosts, hosts(), "{name}");
    }
}

fn reports() -> Vec<String> {
    let json = |value: serde_json::Result<String>| value.expect("JSON");
    let diff = InventoryDiff {
        added: vec!["a".into()],
        drained: vec!["b".into()],
        moved: vec!["c".into()],
        reweighted: vec!["d".into()],
        changed: vec!["e".into()],
    };
    let known = KnownNames {
        zones: vec!["north-yard".into()],
        kinds: vec!["standard".into()],
    };
    let bad = "name,address,zone,kind\na,10.0.0.1,north-yard,standart\n";
    let errors =
        read_inventory(&OneFile(bad), Path::new("a.csv"), &known).expect_err("an unknown kind");
    let heading =
        read_inventory(&OneFile("zone\n"), Path::new("a.csv"), &known).expect_err("no names");
    let unclosed =
        read_inventory(&OneFile("[a"), Path::new("a.ini"), &known).expect_err("a heading");
    let good = read_inventory(
        &OneFile(HOSTS_CSV),
        Path::new("a.csv"),
        &KnownNames::default(),
    )
    .expect("it is read");
    vec![
        json(serde_json::to_string(&hosts())),
        json(serde_json::to_string(&diff)),
        json(serde_json::to_string(&InventoryDiff::default())),
        json(serde_json::to_string(&errors.list)),
        json(serde_json::to_string(&errors.to_string())),
        json(serde_json::to_string(&errors.render(true))),
        json(serde_json::to_string(&heading.list)),
        json(serde_json::to_string(&unclosed.list)),
        json(serde_json::to_string(&good.hash)),
    ]
}

#[test]
fn encoded_forms_are_as_recorded_for_reports() {
    assert_eq!(reports(), REPORTS.lines().collect::<Vec<_>>());
    let hosts_line = REPORTS.lines().next().expect("a line");
    let decoded: Vec<Host> = serde_json::from_str(hosts_line).expect("it is read");
    assert_eq!(decoded, hosts());
}
