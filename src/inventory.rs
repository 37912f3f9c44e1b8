//! Workers from an inventory: CSV with a heading, or YAML as Ansible keeps hosts and groups.
//!
//! A host has a name, an address and, where they differ from the defaults, a zone, kind, cell and weight. In
//! YAML these are host or group variables: `ansible_host`, `drmaa_port`, `zone`, `kind`, `cell`, `weight`; a
//! host's own go before its group's, and a group's before those of the groups around it.

use crate::core::Member;
use crate::interface::Stage;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::path::Path;

/// One worker of an inventory.
pub type Host = Member;

/// The port where a host gives none.
const PORT: u16 = 6_444;
/// Groups inside groups, at most: guards against an inventory that nests without end.
const DEPTH: usize = 16;

/// Reads a file: CSV or YAML by its ending. Messages name the file and the row or host.
pub fn load(path: &Path) -> Result<Vec<Host>, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let hosts = match path.extension().and_then(|e| e.to_str()) {
        Some("csv") => from_csv(&text),
        Some("yml" | "yaml") => from_yaml(&text),
        _ => Err("neither .csv nor .yml nor .yaml".into()),
    };
    hosts.map_err(|e| format!("{}: {}", path.display(), e.replace('\n', " ")))
}

#[derive(Deserialize, Clone, Default)]
struct Vars {
    /// In CSV only: YAML names hosts by their keys.
    name: Option<String>,
    #[serde(alias = "ansible_host", alias = "address")]
    host: Option<String>,
    #[serde(alias = "drmaa_port")]
    port: Option<u16>,
    zone: Option<String>,
    kind: Option<String>,
    cell: Option<u32>,
    weight: Option<f64>,
}

impl Vars {
    /// These, and the outer ones where these say nothing.
    fn over(self, outer: &Vars) -> Vars {
        Vars {
            name: None,
            host: self.host.or_else(|| outer.host.clone()),
            port: self.port.or(outer.port),
            zone: self.zone.or_else(|| outer.zone.clone()),
            kind: self.kind.or_else(|| outer.kind.clone()),
            cell: self.cell.or(outer.cell),
            weight: self.weight.or(outer.weight),
        }
    }

    fn host(self, name: &str) -> Result<Host, String> {
        let host = self.host.as_deref().unwrap_or(name);
        let ip: IpAddr = host.parse().map_err(|_| format!("not an IP address: {host:?}"))?;
        let weight = self.weight.unwrap_or(1.0);
        if !(weight > 0.0 && weight.is_finite()) {
            return Err("weight: must be above 0".into());
        }
        Ok(Member {
            name: name.to_string(),
            addr: std::net::SocketAddr::new(ip, self.port.unwrap_or(PORT)).to_string(),
            zone: self.zone.unwrap_or_default(),
            kind: self.kind.unwrap_or_default(),
            cell: self.cell.unwrap_or(0),
            stage: Stage::Ready,
            weight,
            since: 0,
        })
    }
}

fn from_csv(text: &str) -> Result<Vec<Host>, String> {
    let mut hosts: Vec<Host> = Vec::new();
    let mut rows =
        csv::ReaderBuilder::new().trim(csv::Trim::All).comment(Some(b'#')).from_reader(text.as_bytes());
    let heading = rows.headers().map_err(|e| format!("row 1: {e}"))?.clone();
    if !heading.iter().any(|h| h == "name") {
        return Err("row 1: no column 'name'".into());
    }
    for record in rows.records() {
        let record = record.map_err(|e| e.to_string())?;
        let row = record.position().map_or(0, |p| p.line());
        let vars = record.deserialize::<Vars>(Some(&heading)).map_err(|e| e.to_string());
        let host = vars.and_then(|v| {
            let name = v.name.clone().ok_or("no name")?;
            v.host(&name)
        });
        let host = host.map_err(|e| format!("row {row}: {e}"))?;
        if hosts.iter().any(|h| h.name == host.name) {
            return Err(format!("row {row}: host {} is named twice", host.name));
        }
        hosts.push(host);
    }
    Ok(hosts)
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Group {
    hosts: BTreeMap<String, Option<Vars>>,
    children: BTreeMap<String, Option<Group>>,
    vars: Vars,
}

fn from_yaml(text: &str) -> Result<Vec<Host>, String> {
    let groups: BTreeMap<String, Option<Group>> = serde_saphyr::from_str(text).map_err(|e| e.to_string())?;
    let mut hosts = BTreeMap::new();
    gather(groups, &Vars::default(), 0, &mut hosts)?;
    hosts.into_iter().map(|(name, vars)| vars.host(&name).map_err(|e| format!("host {name}: {e}"))).collect()
}

fn gather(
    groups: BTreeMap<String, Option<Group>>, outer: &Vars, depth: usize, hosts: &mut BTreeMap<String, Vars>,
) -> Result<(), String> {
    for (name, group) in groups {
        if depth >= DEPTH {
            return Err(format!("group {name}: more than {DEPTH} groups inside each other"));
        }
        let group = group.unwrap_or_default();
        let vars = group.vars.over(outer);
        for (host, own) in group.hosts {
            let own = own.unwrap_or_default().over(&vars);
            // A host may stand in several groups; what the first said of it holds.
            let own = hosts.remove(&host).map_or(own.clone(), |earlier: Vars| earlier.over(&own));
            hosts.insert(host, own);
        }
        gather(group.children, &vars, depth + 1, hosts)?;
    }
    Ok(())
}
