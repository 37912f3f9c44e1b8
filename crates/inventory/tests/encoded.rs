//! Encoded forms, byte for byte: inventories as they are written, and the JSON of hosts, differences and errors.
//!
//! Operators keep these files and programs read `servers ... --json`. The fixtures were written by an earlier release; they
//! are never written anew.

use std::io;
use std::path::{Path, PathBuf};
use streamusher_inventory::diff::Diff;
use streamusher_inventory::host::{Host, Known};
use streamusher_inventory::read::{read, Source};
use streamusher_inventory::write::{write, To};

const HOSTS_CSV: &str = include_str!("fixtures/encoded/hosts.csv");
const HOSTS_YAML: &str = include_str!("fixtures/encoded/hosts.yml");
const HOSTS_INI: &str = include_str!("fixtures/encoded/hosts.ini");
const HOSTS_JSON: &str = include_str!("fixtures/encoded/hosts.json");
const REPORTS: &str = include_str!("fixtures/encoded/reports.jsonl");

/// One file in memory.
struct OneFile(&'static str);

impl Source for OneFile {
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
    for (to, name, recorded) in [
        (To::Csv, "hosts.csv", HOSTS_CSV),
        (To::Yaml, "hosts.yml", HOSTS_YAML),
        (To::Ini, "hosts.ini", HOSTS_INI),
        (To::Json, "hosts.json", HOSTS_JSON),
    ] {
        assert_eq!(write(&hosts(), to), recorded, "{name}");
        let inventory = read(&OneFile(recorded), Path::new(name), &Known::default());
        assert_eq!(inventory.expect("it is read").hosts, hosts(), "{name}");
    }
}

fn reports() -> Vec<String> {
    let json = |value: serde_json::Result<String>| value.expect("JSON");
    let diff = Diff {
        added: vec!["a".into()],
        drained: vec!["b".into()],
        moved: vec!["c".into()],
        reweighted: vec!["d".into()],
        changed: vec!["e".into()],
    };
    let known = Known {
        zones: vec!["north-yard".into()],
        kinds: vec!["standard".into()],
    };
    let bad = "name,address,zone,kind\na,10.0.0.1,north-yard,standart\n";
    let errors = read(&OneFile(bad), Path::new("a.csv"), &known).expect_err("an unknown kind");
    let heading = read(&OneFile("zone\n"), Path::new("a.csv"), &known).expect_err("no names");
    let whole = read(&OneFile("[a"), Path::new("a.ini"), &known).expect_err("a heading");
    let good =
        read(&OneFile(HOSTS_CSV), Path::new("a.csv"), &Known::default()).expect("it is read");
    vec![
        json(serde_json::to_string(&hosts())),
        json(serde_json::to_string(&diff)),
        json(serde_json::to_string(&Diff::default())),
        json(serde_json::to_string(&errors.list)),
        json(serde_json::to_string(&errors.to_string())),
        json(serde_json::to_string(&errors.shown(true))),
        json(serde_json::to_string(&heading.list)),
        json(serde_json::to_string(&whole.list)),
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
