//! Validates each host on its own and against the other hosts. Invalid values are never corrected, and every
//! error is reported.

use crate::diagnostics::{Finding, Findings};
use crate::field::HostField;
use crate::host::{Host, KnownNames, RawHost, DEFAULT_PORT, MAX_HOSTS};
use crate::source_text::{Scalar, SourcePosition};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

const MAX_NAME_BYTES: usize = 255;
const MAX_WEIGHT: f64 = 1e6;
const DEFAULT_WEIGHT: f64 = 1.0;

/// Cell number of a host that belongs to no cell.
const NO_CELL: u32 = 0;

/// A host that is valid on its own, and the position of its name.
struct CheckedHost {
    position: SourcePosition,
    host: Host,
}

/// Validates all hosts and returns those that are valid on their own.
pub(crate) fn check_hosts(
    raw_hosts: &[RawHost],
    known: &KnownNames,
    findings: &mut Findings,
) -> Vec<Host> {
    if let Some(first_beyond) = raw_hosts.get(MAX_HOSTS) {
        let message = format!("{} hosts, and {MAX_HOSTS} are the most", raw_hosts.len());
        findings.add(Finding::new(first_beyond.name.position, message));
        return Vec::new();
    }
    let mut checked = Vec::new();
    for raw in raw_hosts {
        if let Some(host) = check_host(raw, known, findings) {
            let position = raw.name.position;
            checked.push(CheckedHost { position, host });
        }
    }
    check_across_hosts(&checked, findings);
    checked.into_iter().map(|checked| checked.host).collect()
}

/// Checks that names and addresses are unique, and that all hosts of a cell are in one zone.
fn check_across_hosts(checked: &[CheckedHost], findings: &mut Findings) {
    let mut names: HashMap<&str, SourcePosition> = HashMap::new();
    let mut addresses: HashMap<SocketAddr, &str> = HashMap::new();
    let mut zones_of_cells: HashMap<u32, &str> = HashMap::new();
    for CheckedHost { position, host } in checked {
        let finding = |message: String| Finding::new(*position, message).host(&host.name);
        if let Some(first) = names.insert(&host.name, *position) {
            let message = format!("named twice, first in line {}", first.line);
            findings.add(finding(message));
            continue;
        }
        if let Some(other) = addresses.insert(host.addr, &host.name) {
            let message = format!("{} is the address of {other} too", host.addr);
            findings.add(finding(message).key(HostField::Address.name()));
        }
        let zone = *zones_of_cells.entry(host.cell).or_insert(&host.zone);
        if host.cell != NO_CELL && zone != host.zone {
            let message = format!("cell {} is in {zone} and in {}", host.cell, host.zone);
            findings.add(finding(message).key(HostField::Cell.name()));
        }
    }
}

/// Validates a host on its own; returns `None` if it has any error.
fn check_host(raw: &RawHost, known: &KnownNames, findings: &mut Findings) -> Option<Host> {
    let findings_before = findings.count();
    let mut checker = HostChecker { raw, findings };
    checker.check_name();
    let ip_address = checker.ip_address();
    let port = checker.port();
    let cell = checker.cell();
    let weight = checker.weight();
    let zone = checker.known_name(HostField::Zone, &known.zones);
    let kind = checker.kind(&known.kinds);
    if findings.count() > findings_before {
        return None;
    }
    Some(Host {
        name: raw.name.text.clone(),
        addr: SocketAddr::new(ip_address?, port),
        zone,
        kind,
        cell,
        weight,
    })
}

/// Validates the fields of one host. For an invalid field, reports an error and returns a default.
struct HostChecker<'a> {
    raw: &'a RawHost,
    findings: &'a mut Findings,
}

impl<'a> HostChecker<'a> {
    /// Returns the value of a field; `None` if it is missing or empty.
    fn value(&self, field: HostField) -> Option<&'a Scalar> {
        let value = self.raw.fields.get(&field);
        value.filter(|value| !value.text.is_empty())
    }

    fn report(
        &mut self,
        field: HostField,
        position: SourcePosition,
        message: String,
        help: Option<String>,
    ) {
        let finding = Finding::new(position, message)
            .host(&self.raw.name.text)
            .key(field.name())
            .help(help);
        self.findings.add(finding);
    }

    fn check_name(&mut self) {
        let name = &self.raw.name.text;
        let is_valid = !name.is_empty()
            && name.len() <= MAX_NAME_BYTES
            && name.bytes().all(|byte| byte.is_ascii_graphic());
        if !is_valid {
            let message = format!("visible ASCII, 1 to {MAX_NAME_BYTES} bytes: {name:?}");
            self.report(HostField::Name, self.raw.name.position, message, None);
        }
    }

    /// Parses the address field, or the host's name if there is no address. Names are not resolved through
    /// DNS.
    fn ip_address(&mut self) -> Option<IpAddr> {
        let address = self.value(HostField::Address);
        let value = address.unwrap_or(&self.raw.name);
        let parsed = value.text.parse().ok();
        if parsed.is_none() {
            let message = format!("not an IP address: {:?}", value.text);
            let help = match address {
                None => Some("without an address the name has to be one".to_owned()),
                Some(_) => None,
            };
            self.report(HostField::Address, value.position, message, help);
        }
        parsed
    }

    fn port(&mut self) -> u16 {
        let Some(value) = self.value(HostField::Port) else {
            return DEFAULT_PORT;
        };
        let parsed = value.text.parse::<u32>().ok();
        let port = parsed.and_then(|number| u16::try_from(number).ok());
        if let Some(port) = port.filter(|port| *port > 0) {
            return port;
        }
        let message = format!("not a port, 1 to 65535: {:?}", value.text);
        self.report(HostField::Port, value.position, message, None);
        DEFAULT_PORT
    }

    fn cell(&mut self) -> u32 {
        let Some(value) = self.value(HostField::Cell) else {
            return NO_CELL;
        };
        if let Ok(cell) = value.text.parse() {
            return cell;
        }
        let message = format!("not a whole number: {:?}", value.text);
        self.report(HostField::Cell, value.position, message, None);
        NO_CELL
    }

    fn weight(&mut self) -> f64 {
        let Some(value) = self.value(HostField::Weight) else {
            return DEFAULT_WEIGHT;
        };
        match value.text.parse::<f64>() {
            Ok(weight) if weight > 0.0 && weight <= MAX_WEIGHT => weight,
            _ => {
                let message = format!("not a number above 0: {:?}", value.text);
                let has_comma = value.text.contains(',');
                let help = has_comma.then(|| "a decimal point is wanted".to_owned());
                self.report(HostField::Weight, value.position, message, help);
                DEFAULT_WEIGHT
            }
        }
    }

    /// Returns the machine kind. It may be missing if the site lists no kinds.
    fn kind(&mut self, known_kinds: &[String]) -> String {
        if known_kinds.is_empty() && self.value(HostField::Kind).is_none() {
            return String::new();
        }
        self.known_name(HostField::Kind, known_kinds)
    }

    /// Returns a required name. It must be one of the known names, unless that list is empty.
    fn known_name(&mut self, field: HostField, known: &[String]) -> String {
        let Some(value) = self.value(field) else {
            self.report(field, self.raw.name.position, "missing".to_owned(), None);
            return String::new();
        };
        if !known.is_empty() && !known.contains(&value.text) {
            let message = format!("unknown: {:?}", value.text);
            let help = similar_name(&value.text, known);
            self.report(field, value.position, message, help);
            return String::new();
        }
        value.text.clone()
    }
}

/// Returns a hint with the most similar known name, if one is similar enough.
fn similar_name(text: &str, known: &[String]) -> Option<String> {
    let distance =
        |name: &String| strsim::damerau_levenshtein(&text.to_lowercase(), &name.to_lowercase());
    let nearest = known.iter().min_by_key(|name| distance(name))?;
    let is_similar = distance(nearest) <= 1 + nearest.len() / 3;
    is_similar.then(|| format!("did you mean {nearest:?}?"))
}
