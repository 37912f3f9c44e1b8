//! Reads Ansible's YAML format, and the JSON of `ansible-inventory --list`, which is valid YAML. The parser
//! resolves anchors and merge keys, within its resource budget.

use super::host_range::expand_host_range;
use super::inventory::{AnsibleInventory, Vars, MAX_GROUP_DEPTH};
use crate::diagnostics::{Finding, Findings};
use crate::source_text::{Scalar, SourcePosition, SourceText};
use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::{Location, Spanned};
use std::fmt;

/// Maximum nesting depth of a document; each group takes two levels. Protects against nesting that overflows
/// the stack.
const MAX_DOCUMENT_DEPTH: usize = 2 * MAX_GROUP_DEPTH + 8;

/// Entries of a mapping, in document order.
type Entries = Vec<(Spanned<String>, Spanned<Node>)>;

/// A node of a YAML document. Scalars are kept as text.
enum Node {
    Null,
    Scalar(String),
    List(Vec<Spanned<Node>>),
    Map(Entries),
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a value")
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_none<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Node, D::Error> {
        Node::deserialize(deserializer)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_string()))
    }

    fn visit_str<E>(self, value: &str) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Node, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = sequence.next_element()? {
            items.push(item);
        }
        Ok(Node::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Node, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry()? {
            entries.push(entry);
        }
        Ok(Node::Map(entries))
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Node, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

/// Reads an inventory in YAML or JSON format.
pub(crate) fn read_yaml(source: SourceText<'_>, findings: &mut Findings) -> AnsibleInventory {
    let Some(document) = parse(source, findings) else {
        return AnsibleInventory::default();
    };
    let mut reader = YamlReader {
        source,
        findings,
        inventory: AnsibleInventory::default(),
    };
    match document.value {
        Node::Null => {}
        Node::Map(groups) => reader.read_groups(groups),
        _ => reader.report(document.referenced, "not groups by their names"),
    }
    reader.inventory
}

/// Reads the variables of a file in `group_vars` or `host_vars`.
pub(crate) fn read_vars(source: SourceText<'_>, findings: &mut Findings) -> Vars {
    let Some(document) = parse(source, findings) else {
        return Vars::new();
    };
    match document.value {
        Node::Null => Vars::new(),
        Node::Map(entries) => scalar_vars(source, entries),
        _ => {
            let start = source.position(1, 1);
            findings.add(Finding::new(start, "not variables by their names"));
            Vars::new()
        }
    }
}

/// Parses a file. If this fails, reports an error and returns `None`.
fn parse(source: SourceText<'_>, findings: &mut Findings) -> Option<Spanned<Node>> {
    let budget = serde_saphyr::budget! { max_depth: MAX_DOCUMENT_DEPTH };
    let options = serde_saphyr::options! { budget: budget };
    match serde_saphyr::from_str_with_options::<Spanned<Node>>(source.text, options) {
        Ok(document) => Some(document),
        Err(error) => {
            let position = match error.location() {
                Some(location) => position(source, location),
                None => source.position(1, 1),
            };
            let message = error.to_string();
            findings.add(Finding::new(position, parser_message(&message)));
            None
        }
    }
}

/// Returns the first line of the parser's error message, without the leading position.
fn parser_message(error: &str) -> &str {
    let first_line = error.lines().next().unwrap_or("it cannot be read");
    let message = first_line.trim_start_matches("error: ");
    match message.split_once(": ") {
        Some((place, rest)) if place.starts_with("line ") => rest,
        _ => message,
    }
}

fn position(source: SourceText<'_>, location: Location) -> SourcePosition {
    let number = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
    source.position(number(location.line()), number(location.column()))
}

/// Returns the variables with scalar values. Lists and mappings are ignored, since no host field takes them.
fn scalar_vars(source: SourceText<'_>, entries: Entries) -> Vars {
    let mut vars = Vars::new();
    for (key, node) in entries {
        if let Node::Scalar(text) = node.value {
            let position = position(source, node.referenced);
            vars.insert(key.value, Scalar { text, position });
        }
    }
    vars
}

/// The group whose contents are being read.
struct GroupScope<'a> {
    name: &'a str,
    position: SourcePosition,
    /// Number of enclosing groups.
    depth: usize,
}

struct YamlReader<'a> {
    source: SourceText<'a>,
    findings: &'a mut Findings,
    inventory: AnsibleInventory,
}

impl YamlReader<'_> {
    fn position(&self, location: Location) -> SourcePosition {
        position(self.source, location)
    }

    fn report(&mut self, location: Location, message: &str) {
        let finding = Finding::new(self.position(location), message);
        self.findings.add(finding);
    }

    fn report_key(&mut self, location: Location, key: &str, message: &str) {
        let finding = Finding::new(self.position(location), message);
        self.findings.add(finding.key(key));
    }

    fn read_groups(&mut self, groups: Entries) {
        for (name, node) in groups {
            if name.value == "_meta" {
                self.read_meta(node);
            } else {
                self.read_group(&name, node, 0);
            }
        }
    }

    fn read_group(&mut self, name: &Spanned<String>, node: Spanned<Node>, depth: usize) {
        let group = GroupScope {
            name: &name.value,
            position: self.position(name.referenced),
            depth,
        };
        self.inventory.group(group.name, group.position);
        if depth >= MAX_GROUP_DEPTH {
            let message = "too many groups inside each other";
            return self.report_key(name.referenced, group.name, message);
        }
        match node.value {
            Node::Null => {}
            // The JSON format may give a group as a list of its hosts.
            Node::List(hosts) => self.read_host_list(&group, hosts),
            Node::Scalar(_) => self.report_key(node.referenced, group.name, "not a group"),
            Node::Map(parts) => {
                for (part, node) in parts {
                    self.read_group_part(&group, &part, node.value);
                }
            }
        }
    }

    fn read_group_part(&mut self, group: &GroupScope<'_>, part: &Spanned<String>, node: Node) {
        match (part.value.as_str(), node) {
            (_, Node::Null) => {}
            ("hosts", Node::Map(hosts)) => self.read_host_map(group, hosts),
            ("hosts", Node::List(hosts)) => self.read_host_list(group, hosts),
            ("children", Node::Map(children)) => self.read_child_map(group, children),
            ("children", Node::List(children)) => self.read_child_list(group, children),
            ("vars", Node::Map(entries)) => {
                let vars = scalar_vars(self.source, entries);
                let group = self.inventory.group(group.name, group.position);
                group.vars.extend(vars);
            }
            (key @ ("hosts" | "children" | "vars"), _) => {
                let message = "not what stands below it in an inventory";
                self.report_key(part.referenced, key, message);
            }
            (key, _) => {
                let message = "neither hosts, children nor vars";
                self.report_key(part.referenced, key, message);
            }
        }
    }

    fn read_host_map(&mut self, group: &GroupScope<'_>, hosts: Entries) {
        for (pattern, node) in hosts {
            let vars = self.read_host_vars(&pattern.value, node);
            self.add_hosts(group.name, &pattern.value, pattern.referenced, &vars);
        }
    }

    fn read_host_list(&mut self, group: &GroupScope<'_>, hosts: Vec<Spanned<Node>>) {
        for host in hosts {
            match host.value {
                Node::Scalar(pattern) => {
                    self.add_hosts(group.name, &pattern, host.referenced, &Vars::new());
                }
                _ => self.report_key(host.referenced, group.name, "not a host's name"),
            }
        }
    }

    fn read_child_map(&mut self, group: &GroupScope<'_>, children: Entries) {
        for (child, node) in children {
            self.add_child(group, &child.value);
            self.read_group(&child, node, group.depth + 1);
        }
    }

    fn read_child_list(&mut self, group: &GroupScope<'_>, children: Vec<Spanned<Node>>) {
        for child in children {
            let position = self.position(child.referenced);
            match child.value {
                Node::Scalar(name) => {
                    self.add_child(group, &name);
                    self.inventory.group(&name, position);
                }
                _ => self.report_key(child.referenced, "children", "not a group's name"),
            }
        }
    }

    fn add_child(&mut self, group: &GroupScope<'_>, child: &str) {
        let group = self.inventory.group(group.name, group.position);
        group.children.insert(child.to_owned());
    }

    fn add_hosts(&mut self, group: &str, pattern: &str, location: Location, vars: &Vars) {
        let position = self.position(location);
        match expand_host_range(pattern) {
            Ok(names) => {
                for name in &names {
                    self.inventory.add_host(group, name, position, vars);
                }
            }
            Err(error) => {
                let finding = Finding::new(position, error.to_string());
                self.findings.add(finding.host(pattern));
            }
        }
    }

    /// Reads `_meta.hostvars`, which holds the host variables in the output of `ansible-inventory --list`.
    fn read_meta(&mut self, node: Spanned<Node>) {
        let Node::Map(parts) = node.value else {
            return;
        };
        for (part, node) in parts {
            let Node::Map(hosts) = node.value else {
                continue;
            };
            if part.value != "hostvars" {
                continue;
            }
            for (host, vars) in hosts {
                let vars = self.read_host_vars(&host.value, vars);
                let position = self.position(host.referenced);
                self.inventory.add_host("all", &host.value, position, &vars);
            }
        }
    }

    fn read_host_vars(&mut self, host: &str, node: Spanned<Node>) -> Vars {
        match node.value {
            Node::Null => Vars::new(),
            Node::Map(entries) => scalar_vars(self.source, entries),
            _ => {
                let position = self.position(node.referenced);
                let finding = Finding::new(position, "not variables by their names");
                self.findings.add(finding.host(host));
                Vars::new()
            }
        }
    }
}
