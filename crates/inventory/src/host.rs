//! Hosts: from raw fields to checked workers. Nothing is guessed at, and every mistake is told.

use crate::problem::{At, Found, Scalar, Texts};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};

/// The port where a host gives none.
pub const PORT: u16 = 6_444;
/// Most hosts of one roster.
pub const MOST_HOSTS: usize = 100_000;
/// The longest name, in bytes.
const NAME: usize = 255;

/// One worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Its name, the same everywhere.
    pub name: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its zone: the building.
    pub zone: String,
    /// Its machine kind.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Its weight.
    pub weight: f64,
}

/// What a field of a host may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Field {
    /// Its name.
    Name,
    /// Its IP address.
    Address,
    /// Its port.
    Port,
    /// Its zone.
    Zone,
    /// Its machine kind.
    Kind,
    /// Its cell.
    Cell,
    /// Its weight.
    Weight,
}

/// What tools call the fields, in small letters and with `_` for blanks and hyphens. The first is ours. Of several in
/// one place the one that stands further to the front here counts.
const WORDS: [(Field, &[&str]); 7] = [
    (
        Field::Name,
        &[
            "name",
            "host",
            "hostname",
            "host_name",
            "inventory_hostname",
        ],
    ),
    (
        Field::Address,
        &["address", "addr", "ip", "ip_address", "ansible_host"],
    ),
    (Field::Port, &["port", "drmaa_port", "ansible_port"]),
    (Field::Zone, &["zone", "building"]),
    (Field::Kind, &["kind", "machine_kind", "machine"]),
    (Field::Cell, &["cell", "pod"]),
    (Field::Weight, &["weight"]),
];

impl Field {
    /// The field that a heading or variable means, and how far back its word stands among those for it.
    pub fn of(word: &str) -> Option<(Field, usize)> {
        let word: String = word
            .trim()
            .chars()
            .map(|c| {
                if c == ' ' || c == '-' {
                    '_'
                } else {
                    c.to_ascii_lowercase()
                }
            })
            .collect();
        WORDS
            .iter()
            .find_map(|(field, words)| words.iter().position(|w| *w == word).map(|n| (*field, n)))
    }

    /// Its name here.
    pub fn word(self) -> &'static str {
        WORDS
            .iter()
            .find(|(field, _)| *field == self)
            .map_or("", |(_, words)| words[0])
    }
}

/// A host as it was read.
#[derive(Clone, Debug)]
pub struct Raw {
    /// Its name.
    pub name: Scalar,
    /// Its fields.
    pub fields: BTreeMap<Field, Scalar>,
}

/// What the site knows. An empty list knows nothing, and allows anything.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// Zones.
    pub zones: Vec<String>,
    /// Machine kinds.
    pub kinds: Vec<String>,
}

/// Checks all hosts, each by itself and against each other.
pub fn check(raws: &[Raw], known: &Known, texts: &Texts, found: &mut Found) -> Vec<Host> {
    let mut hosts: Vec<(At, Host)> = Vec::new();
    if raws.len() > MOST_HOSTS {
        let why = format!("{} hosts, and {MOST_HOSTS} are the most", raws.len());
        found.add(texts, raws[MOST_HOSTS].name.at, None, None, why);
        return Vec::new();
    }
    for raw in raws {
        if let Some(host) = one(raw, known, texts, found) {
            hosts.push((raw.name.at, host));
        }
    }
    let mut names: HashMap<&str, At> = HashMap::new();
    let mut addrs: HashMap<SocketAddr, &str> = HashMap::new();
    let mut cells: HashMap<u32, &str> = HashMap::new();
    for (at, host) in &hosts {
        let told = Some(host.name.as_str());
        if let Some(first) = names.insert(&host.name, *at) {
            found.add(
                texts,
                *at,
                told,
                None,
                format!("named twice, first in line {}", first.line),
            );
            continue;
        }
        if let Some(other) = addrs.insert(host.addr, &host.name) {
            let why = format!("{} is the address of {other} too", host.addr);
            found.add(texts, *at, told, Some("address"), why);
        }
        // Cell 0 stands for none.
        let zone = cells.entry(host.cell).or_insert(&host.zone);
        if host.cell != 0 && *zone != host.zone {
            let why = format!("cell {} is in {zone} and in {}", host.cell, host.zone);
            found.add(texts, *at, told, Some("cell"), why);
        }
    }
    hosts.into_iter().map(|(_, host)| host).collect()
}

fn one(raw: &Raw, known: &Known, texts: &Texts, found: &mut Found) -> Option<Host> {
    let name = raw.name.text.as_str();
    let before = found.count();
    let mut wrong = |field: Field, at: At, why: String, help: Option<String>| {
        found.add_with(texts, at, Some(name), Some(field.word()), why, help);
    };
    if name.is_empty() || name.len() > NAME || !name.bytes().all(|b| b.is_ascii_graphic()) {
        wrong(
            Field::Name,
            raw.name.at,
            format!("visible ASCII, 1 to {NAME} bytes: {name:?}"),
            None,
        );
    }
    let get = |field: Field| raw.fields.get(&field).filter(|s| !s.text.is_empty());
    let host = get(Field::Address).unwrap_or(&raw.name);
    let ip = host.text.parse::<IpAddr>().ok();
    if ip.is_none() {
        let help = get(Field::Address)
            .is_none()
            .then(|| "without an address the name has to be one".to_string());
        wrong(
            Field::Address,
            host.at,
            format!("not an IP address: {:?}", host.text),
            help,
        );
    }
    let number = |field: Field, s: &Scalar| s.text.parse::<u32>().map_err(|_| (field, s.at));
    let mut port = PORT;
    if let Some(s) = get(Field::Port) {
        match number(Field::Port, s)
            .ok()
            .and_then(|n| u16::try_from(n).ok())
            .filter(|n| *n > 0)
        {
            Some(n) => port = n,
            None => wrong(
                Field::Port,
                s.at,
                format!("not a port, 1 to 65535: {:?}", s.text),
                None,
            ),
        }
    }
    let mut cell = 0;
    if let Some(s) = get(Field::Cell) {
        match number(Field::Cell, s) {
            Ok(n) => cell = n,
            Err((field, at)) => wrong(field, at, format!("not a whole number: {:?}", s.text), None),
        }
    }
    let mut weight = 1.0;
    if let Some(s) = get(Field::Weight) {
        match s
            .text
            .parse::<f64>()
            .ok()
            .filter(|w| *w > 0.0 && w.is_finite() && *w <= 1e6)
        {
            Some(w) => weight = w,
            None => {
                let help = s
                    .text
                    .contains(',')
                    .then(|| "a decimal point is wanted".to_string());
                wrong(
                    Field::Weight,
                    s.at,
                    format!("not a number above 0: {:?}", s.text),
                    help,
                );
            }
        }
    }
    let mut named = |field: Field, list: &[String]| match get(field) {
        None => {
            wrong(field, raw.name.at, "missing".into(), None);
            String::new()
        }
        Some(s) if !list.is_empty() && !list.contains(&s.text) => {
            wrong(
                field,
                s.at,
                format!("unknown: {:?}", s.text),
                nearest(&s.text, list),
            );
            String::new()
        }
        Some(s) => s.text.clone(),
    };
    let zone = named(Field::Zone, &known.zones);
    let kind = match get(Field::Kind) {
        // Without a list of kinds a host need not name one.
        None if known.kinds.is_empty() => String::new(),
        _ => named(Field::Kind, &known.kinds),
    };
    let addr = SocketAddr::new(ip?, port);
    (found.count() == before).then(|| Host {
        name: name.into(),
        addr,
        zone,
        kind,
        cell,
        weight,
    })
}

fn nearest(text: &str, list: &[String]) -> Option<String> {
    let near =
        |known: &&String| strsim::damerau_levenshtein(&text.to_lowercase(), &known.to_lowercase());
    let best = list.iter().min_by_key(near)?;
    (near(&best) <= 1 + best.len() / 3).then(|| format!("did you mean {best:?}?"))
}
