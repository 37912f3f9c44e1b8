//! Valid and invalid inventories in the formats that other tools write, with the expected hosts or errors.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]
#![expect(clippy::format_collect, reason = "the texts are short")]

use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use streamusher_inventory::{
    expand_host_range, read_inventory, write_inventory, Diagnostics, FileSource, Host, Inventory,
    InventoryDiff, KnownNames, OutputFormat,
};

/// File source with files in memory.
struct Files(BTreeMap<PathBuf, Vec<u8>>);

impl Files {
    fn new(files: &[(&str, &str)]) -> Files {
        Files(
            files
                .iter()
                .map(|(name, text)| (name.into(), text.as_bytes().to_vec()))
                .collect(),
        )
    }
}

impl FileSource for Files {
    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        self.0
            .get(path)
            .cloned()
            .ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, "no such file"))
    }

    fn list(&self, directory: &Path) -> io::Result<Vec<PathBuf>> {
        let inside = |path: &PathBuf| {
            Some(directory.join(path.strip_prefix(directory).ok()?.components().next()?))
        };
        let mut all: Vec<PathBuf> = self
            .0
            .keys()
            .filter(|path| *path != directory)
            .filter_map(inside)
            .collect();
        all.dedup();
        Ok(all)
    }
}

fn known() -> KnownNames {
    let list = |names: &[&str]| names.iter().map(ToString::to_string).collect();
    KnownNames {
        zones: list(&["harbour-st", "pump-house", "north-yard"]),
        kinds: list(&["standard", "older"]),
    }
}

fn read_files(files: &[(&str, &str)]) -> Result<Inventory, Diagnostics> {
    read_inventory(&Files::new(files), Path::new(files[0].0), &known())
}

/// Hosts as text: name, address, zone, kind, cell and weight.
fn summaries(hosts: &[Host]) -> Vec<String> {
    let summary = |host: &Host| {
        format!(
            "{} {} {} {} {} {}",
            host.name, host.addr, host.zone, host.kind, host.cell, host.weight
        )
    };
    hosts.iter().map(summary).collect()
}

const TWO_WORKERS: [&str; 2] = [
    "core-1 10.1.0.18:6444 north-yard standard 3 1.5",
    "core-2 10.1.0.19:7000 pump-house older 0 1",
];

#[rstest]
#[case::comma("a.csv", "name,address,port,zone,kind,cell,weight\ncore-1,10.1.0.18,,north-yard,standard,3,1.5\ncore-2,10.1.0.19,7000,pump-house,older,,\n")]
#[case::semicolon("a.csv", "weight;Building;Machine Kind;NAME;IP;Cell;Port\r\n1.5;north-yard;standard;core-1;10.1.0.18;3;\r\n;pump-house;older;core-2;10.1.0.19;;7000\r\n")]
#[case::tab("a.tsv", "host\tip\tzone\tkind\tport\tcell\tweight\ncore-1\t10.1.0.18\tnorth-yard\tstandard\t\t3\t1.5\ncore-2\t10.1.0.19\tpump-house\tolder\t7000\t0\t1\n")]
#[case::spreadsheet("a.csv", "\u{feff}\"name\",\"address\",\"zone\",\"kind\",\"cell\",\"weight\",\"port\",\"bought\"\r\n# the new ones\r\n\r\n\"core-1\",\"10.1.0.18\",\"north-yard\",\"standard\",\"3\",\"1.5\",,\"in May,\nwith a rack\"\r\n,,,,,,,\r\n\"core-2\",\"10.1.0.19\",\"pump-house\",\"older\",,,7000,\r\n")]
#[case::yaml("a.yml", "all:\n  vars: {kind: standard}\n  children:\n    yard:\n      vars: {zone: north-yard}\n      hosts:\n        core-1: {ansible_host: 10.1.0.18, cell: 3, weight: 1.5}\n    pumps:\n      vars:\n        zone: pump-house\n        kind: older\n      hosts:\n        core-2:\n          ansible_host: 10.1.0.19\n          drmaa_port: 7000\n")]
#[case::merge_keys("a.yaml", "x: &old\n  vars: {unused: 1}\nall:\n  hosts:\n    core-1: {ansible_host: 10.1.0.18, zone: north-yard, kind: standard, cell: 3, weight: 1.5}\n    core-2:\n      <<: {zone: pump-house, kind: older}\n      ansible_host: 10.1.0.19\n      drmaa_port: 7000\n")]
#[case::json("a.json", r#"{"_meta": {"hostvars": {"core-1": {"ansible_host": "10.1.0.18", "cell": 3, "weight": 1.5}, "core-2": {"ansible_host": "10.1.0.19", "drmaa_port": 7000}}}, "all": {"children": ["ungrouped", "yard", "pumps"]}, "yard": {"hosts": ["core-1"], "vars": {"zone": "north-yard", "kind": "standard"}}, "pumps": {"hosts": ["core-2"], "vars": {"zone": "pump-house", "kind": "older"}}}"#)]
#[case::ini("hosts", "# workers\n[yard]\ncore-1 ansible_host=10.1.0.18 cell=3 weight=\"1.5\"  # new\n\n[pumps]\ncore-2 ansible_host=10.1.0.19 drmaa_port=7000 kind='older'\n\n[pumps:vars]\nzone = pump-house\n[yard:vars]\nzone=\"north-yard\"\n[all:children]\nyard\npumps\n[all:vars]\nkind=standard\n")]
fn all_formats_describe_the_same_workers(#[case] name: &str, #[case] text: &str) {
    let inventory =
        read_files(&[(name, text)]).unwrap_or_else(|errors| panic!("{}", errors.render(false)));
    assert_eq!(summaries(&inventory.hosts), TWO_WORKERS);
}

#[test]
fn variables_follow_ansibles_precedence() {
    let files = [
        ("d/hosts.yml", "all:\n  vars: {weight: 1, zone: harbour-st, kind: older}\n  hosts: {a: {ansible_host: 10.0.0.1}}\n  children:\n    yard:\n      vars: {weight: 2}\n      children:\n        new:\n          vars: {weight: 3}\n          hosts: {b: {ansible_host: 10.0.0.2}, c: {ansible_host: 10.0.0.3, weight: 9}}\n    zz:\n      vars: {weight: 4}\n      hosts: {b: , d: {ansible_host: 10.0.0.4}}\n"),
        ("d/group_vars/all.yml", "zone: pump-house\nweight: 5\n"),
        ("d/group_vars/new/a.yml", "kind: standard\n"),
        ("d/group_vars/new/b.yml", "zone: north-yard\n"),
        ("d/group_vars/.swp", "not: [yaml"),
        ("d/host_vars/c.yml", "weight: 10\nlist: [1, 2]\n"),
    ];
    let inventory = read_files(&files).unwrap_or_else(|errors| panic!("{}", errors.render(false)));
    // Expected order of precedence: group variables in the inventory, group_vars, host variables in the
    // inventory, host_vars.
    assert_eq!(
        summaries(&inventory.hosts),
        [
            "a 10.0.0.1:6444 pump-house older 0 5",
            "b 10.0.0.2:6444 north-yard standard 0 5",
            "c 10.0.0.3:6444 north-yard standard 0 10",
            "d 10.0.0.4:6444 pump-house older 0 5",
        ]
    );
}

#[rstest]
#[case("core[01:03]", &["core01", "core02", "core03"])]
#[case("c[a:c]x", &["cax", "cbx", "ccx"])]
#[case("r[1:2]-n[0:4:2]", &["r1-n0", "r1-n2", "r1-n4", "r2-n0", "r2-n2", "r2-n4"])]
#[case("[8:11]", &["8", "9", "10", "11"])]
#[case("plain", &["plain"])]
fn host_range_is_expanded(#[case] pattern: &str, #[case] names: &[&str]) {
    assert_eq!(expand_host_range(pattern).unwrap(), names);
}

#[rstest]
#[case("core[1:")]
#[case("core1]")]
#[case("core[3:1]")]
#[case("core[1:2:0]")]
#[case("core[a:3]")]
#[case("core[01:100]")]
#[case("core[1:999999999]")]
#[case("a[1:1000]b[1:1000]")]
fn invalid_host_range_is_an_error(#[case] pattern: &str) {
    assert!(expand_host_range(pattern).is_err());
}

const HEAD: &str = "name,address,zone,kind,cell,weight,port\n";

#[rstest]
#[case::missing_zone("a.csv", &format!("{HEAD}core-1,10.0.0.1,,standard,,,\n"), &["a.csv:2:1: host core-1: zone: missing"])]
#[case::unknown_kind("a.csv", &format!("{HEAD}core-1,10.0.0.1,north-yard,standart,,,\n"), &["a.csv:2:28: host core-1: kind: unknown: \"standart\" (did you mean \"standard\"?)"])]
#[case::no_similar_kind("a.csv", &format!("{HEAD}core-1,10.0.0.1,north-yard,vax,,,\n"), &["a.csv:2:28: host core-1: kind: unknown: \"vax\""])]
#[case::weight("a.csv", &format!("{HEAD}core-1,10.0.0.1,north-yard,older,,\"1,5\",\n"), &["a.csv:2:35: host core-1: weight: not a number above 0: \"1,5\" (a decimal point is wanted)"])]
#[case::port("a.csv", &format!("{HEAD}core-1,10.0.0.1,north-yard,older,,,70000\n"), &["a.csv:2:36: host core-1: port: not a port, 1 to 65535: \"70000\""])]
#[case::duplicate_name("a.csv", &format!("{HEAD}a,10.0.0.1,north-yard,older,,,\na,10.0.0.2,north-yard,older,,,\n"), &["a.csv:3:1: host a: named twice, first in line 2"])]
#[case::duplicate_address("a.csv", &format!("{HEAD}a,10.0.0.1,north-yard,older,,,\nb,10.0.0.1,north-yard,older,,,\n"), &["a.csv:3:1: host b: address: 10.0.0.1:6444 is the address of a too"])]
#[case::cell_in_two_zones("a.csv", &format!("{HEAD}a,10.0.0.1,north-yard,older,4,,\nb,10.0.0.2,pump-house,older,4,,\n"), &["a.csv:3:1: host b: cell: cell 4 is in north-yard and in pump-house"])]
#[case::several_errors("a.csv", &format!("{HEAD}a,10.0.0,north-yard,older,x,-1,\n,10.0.0.2,pump-house,older,,,\nb,10.0.0.2,pump-huose,older,,,\n"), &[
    "a.csv:2:3: host a: address: not an IP address: \"10.0.0\"",
    "a.csv:2:27: host a: cell: not a whole number: \"x\"",
    "a.csv:2:29: host a: weight: not a number above 0: \"-1\"",
    "a.csv:3:1: name: a row without a name",
    "a.csv:4:12: host b: zone: unknown: \"pump-huose\" (did you mean \"pump-house\"?)",
])]
#[case::after_quoted_line_break("a.csv", "note,name,address,zone,kind\n\"two\nlines\",a,10.0.0.1,north-yard,odd\n", &["a.csv:3:30: host a: kind: unknown: \"odd\""])]
#[case::unterminated_quote("a.csv", &format!("{HEAD}a,10.0.0.1,north-yard,\"older,,,\nb,10.0.0.2,pump-house,older,,,\n"), &["a.csv:2:23: a quote without its end"])]
#[case::too_many_fields("a.csv", "name,zone\na,north-yard,x\n", &["a.csv:2:14: 3 fields, and the heading has 2"])]
#[case::no_name_column("a.csv", "zone,kind\nnorth-yard,older\n", &["a.csv:1:1: name: no such column in the heading", "a.csv:2:1: name: a row without a name"])]
#[case::yaml_position("a.yml", "all:\n  hosts:\n    a:\n      ansible_host: 10.0.0.1\n      zone: north-yard\n      kind: standard\n      weight: heavy\n", &["a.yml:7:15: host a: weight: not a number above 0: \"heavy\""])]
#[case::ini_position("hosts", "[yard]\na ansible_host=10.0.0.1 zone=north-yard kind=older weight=0\nb oops\n", &[
    "hosts:2:59: host a: weight: not a number above 0: \"0\"",
    "hosts:3:1: host b: zone: missing",
    "hosts:3:1: host b: kind: missing",
    "hosts:3:1: host b: address: not an IP address: \"b\" (without an address the name has to be one)",
    "hosts:3:3: host b: not key=value: \"oops\"",
])]
#[case::group_cycle("a.yml", "a:\n  children: {b: }\nb:\n  children: {a: }\n", &["a.yml:1:1: a: it is inside itself, or more than 16 groups deep"])]
#[case::unknown_part("a.yml", "all:\n  host: {}\n", &["a.yml:2:3: host: neither hosts, children nor vars"])]
fn every_error_is_reported_with_its_position(
    #[case] name: &str,
    #[case] text: &str,
    #[case] expected: &[&str],
) {
    let errors = read_files(&[(name, text)]).expect_err("errors");
    let mut lines: Vec<String> = errors.list.iter().map(ToString::to_string).collect();
    let mut expected: Vec<String> = expected.iter().map(ToString::to_string).collect();
    // Errors at the same position may be reported in any order.
    lines.sort();
    expected.sort();
    assert_eq!(lines, expected);
}

#[test]
fn rendered_error_underlines_the_invalid_value() {
    let text = format!("{HEAD}core-1,10.0.0.1,north-yard,standart,,,\n");
    let rendered = read_files(&[("a.csv", &text)]).unwrap_err().render(false);
    let expected = [
        "error: host core-1: kind: unknown: \"standart\"",
        " --> a.csv:2:28",
        "2 | core-1,10.0.0.1,north-yard,standart,,,",
        "  |                            ^^^^^^^^ did you mean \"standard\"?",
    ];
    for line in expected {
        assert!(rendered.contains(line), "{rendered}");
    }
}

#[rstest]
#[case::deep_nesting("a.yml", &(0..200).map(|n| format!("{}g{n}:\n{}children:\n", " ".repeat(n * 4), " ".repeat(n * 4 + 2))).collect::<String>())]
#[case::alias_expansion("a.yml", &format!("a: &a [x,x,x,x,x,x,x,x,x]\n{}", (b'b'..=b'l').map(|c| format!("{0}: &{0} [{1}]\n", char::from(c), vec![format!("*{}", char::from(c - 1)); 9].join(","))).collect::<String>()))]
#[case::broken_yaml("a.yml", "all: {hosts: [a\n")]
#[case::not_a_map("a.yml", "- a\n- b\n")]
#[case::scalar_group("a.yml", "all: 7\n")]
#[case::control_character("a.csv", "name,zone\n\u{1},north-yard\n")]
#[case::unterminated_quote("hosts", "a zone='north-yard\n")]
#[case::unterminated_heading("hosts", "[yard\n")]
#[case::junk("a.csv", &"\u{7f}\"x,".repeat(300_000))]
fn malformed_input_is_rejected(#[case] name: &str, #[case] text: &str) {
    let errors = read_files(&[(name, text)]).expect_err("errors");
    assert!(!errors.list.is_empty() && errors.list.len() <= 100);
    assert!(!errors.to_string().contains('\n'));
    assert!(!errors.render(false).is_empty());
}

#[test]
fn unreadable_files_are_reported() {
    let mut files = Files::new(&[("a.csv", "name\na\n")]);
    files
        .0
        .insert("a.csv".into(), b"name,zone\na,\xff\n".to_vec());
    let errors = read_inventory(&files, Path::new("a.csv"), &known()).unwrap_err();
    assert_eq!(errors.to_string(), "a.csv: line 2: not UTF-8");
    let errors = read_inventory(&files, Path::new("b.csv"), &known()).unwrap_err();
    assert_eq!(errors.to_string(), "b.csv: no such file");
}

#[test]
fn diff_classifies_changed_hosts() {
    let old = read_files(&[("a.csv", &format!("{HEAD}a,10.0.0.1,north-yard,older,,,\nb,10.0.0.2,north-yard,older,,,\nc,10.0.0.3,north-yard,older,,,\nd,10.0.0.4,north-yard,older,,,\n"))]).unwrap();
    let new = read_files(&[("a.csv", &format!("{HEAD}a,10.0.0.1,north-yard,older,,2,\nb,10.0.0.9,north-yard,older,,,\nc,10.0.0.3,pump-house,older,,,\ne,10.0.0.5,north-yard,older,,,\n"))]).unwrap();
    let diff = InventoryDiff::between(&old.hosts, &new.hosts);
    let names = |names: &[&str]| names.iter().map(ToString::to_string).collect::<Vec<_>>();
    let expected = InventoryDiff {
        added: names(&["e"]),
        drained: names(&["d"]),
        moved: names(&["b"]),
        reweighted: names(&["a"]),
        changed: names(&["c"]),
    };
    assert_eq!(diff, expected);
    assert!(InventoryDiff::between(&new.hosts, &new.hosts).is_empty());
    assert_ne!(old.hash, new.hash);
}

type HostParts = ([u8; 4], u16, String, String, u32, u32);

fn hosts() -> impl Strategy<Value = Vec<Host>> {
    let one = (
        any::<[u8; 4]>(),
        1u16..,
        "[a-z][a-z0-9 _#;,:'.-]{0,12}[a-z0-9]",
        "[A-Za-z0-9./]{1,8}",
        0u32..9,
        1u32..4_000,
    );
    prop::collection::vec(one, 0..20).prop_map(|all| {
        let host = |(number, (ip, port, zone, kind, cell, weight)): (usize, HostParts)| {
            Host {
                name: format!("core-{number:02}"),
                addr: (ip, port).into(),
                // All hosts of a cell must be in one zone.
                zone: if cell == 0 {
                    zone.trim().to_string()
                } else {
                    "yard".into()
                },
                kind,
                cell,
                weight: f64::from(weight) / 8.0,
            }
        };
        let mut hosts: Vec<Host> = all.into_iter().enumerate().map(host).collect();
        let mut seen = std::collections::BTreeSet::new();
        hosts.retain(|host| seen.insert(host.addr));
        hosts
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]
    #[test]
    fn written_inventory_is_read_back_the_same(hosts in hosts()) {
        for (format, name) in [(OutputFormat::Csv, "a.csv"), (OutputFormat::Yaml, "a.yml"), (OutputFormat::Ini, "a.ini"), (OutputFormat::Json, "a.json")] {
            let text = write_inventory(&hosts, format);
            let files = Files::new(&[(name, &text)]);
            let result = read_inventory(&files, Path::new(name), &KnownNames::default());
            let inventory = result.map_err(|errors| TestCaseError::fail(format!("{text}\n{}", errors.render(false))))?;
            prop_assert_eq!(&inventory.hosts, &hosts, "{}", text);
        }
    }

    #[test]
    fn arbitrary_text_does_not_panic(text in "\\PC{0,200}", name in prop::sample::select(vec!["a.csv", "a.yml", "hosts"])) {
        let files = Files::new(&[(name, &text)]);
        if let Err(errors) = read_inventory(&files, Path::new(name), &known()) {
            prop_assert!(!errors.render(false).is_empty());
        }
    }
}
