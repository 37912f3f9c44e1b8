//! The YAML form, and the JSON of `ansible-inventory --list`, which is YAML too. Anchors and merge keys are the
//! parser's, within its budget.

use super::{expand, Inventory, Vars, DEPTH};
use crate::problem::{At, Found, Scalar, Texts};
use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::Spanned;
use std::fmt;

/// Levels of a document: each group takes two. Guards against one that nests until the stack is gone.
const LEVELS: usize = 2 * DEPTH + 8;

/// A node of a document.
pub(crate) enum Node {
    Nothing,
    Scalar(String),
    List(Vec<Spanned<Node>>),
    Map(Vec<(Spanned<String>, Spanned<Node>)>),
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a value")
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Nothing)
    }

    fn visit_none<E>(self) -> Result<Node, E> {
        Ok(Node::Nothing)
    }

    fn visit_some<D: Deserializer<'de>>(self, d: D) -> Result<Node, D::Error> {
        Node::deserialize(d)
    }

    fn visit_bool<E>(self, v: bool) -> Result<Node, E> {
        Ok(Node::Scalar(v.to_string()))
    }

    fn visit_i64<E>(self, v: i64) -> Result<Node, E> {
        Ok(Node::Scalar(v.to_string()))
    }

    fn visit_u64<E>(self, v: u64) -> Result<Node, E> {
        Ok(Node::Scalar(v.to_string()))
    }

    fn visit_f64<E>(self, v: f64) -> Result<Node, E> {
        Ok(Node::Scalar(v.to_string()))
    }

    fn visit_str<E>(self, v: &str) -> Result<Node, E> {
        Ok(Node::Scalar(v.to_string()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Node, A::Error> {
        let mut list = Vec::new();
        while let Some(one) = seq.next_element()? {
            list.push(one);
        }
        Ok(Node::List(list))
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
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Node, D::Error> {
        d.deserialize_any(NodeVisitor)
    }
}

/// The document of a file.
pub(crate) fn parse(texts: &Texts, file: u32, found: &mut Found) -> Option<Spanned<Node>> {
    let budget = serde_saphyr::budget! { max_depth: LEVELS };
    let options = serde_saphyr::options! { budget: budget };
    match serde_saphyr::from_str_with_options::<Spanned<Node>>(texts.text(file), options) {
        Ok(node) => Some(node),
        Err(e) => {
            let at = e.location().map_or(
                At {
                    file,
                    line: 1,
                    column: 1,
                },
                |l| At {
                    file,
                    line: l.line() as u32,
                    column: l.column() as u32,
                },
            );
            let why = e.to_string();
            let why = why
                .lines()
                .next()
                .unwrap_or("it cannot be read")
                .trim_start_matches("error: ")
                .to_string();
            // The place is told by itself.
            let why = why
                .split_once(": ")
                .filter(|(place, _)| place.starts_with("line "))
                .map_or(why.as_str(), |(_, w)| w);
            found.add(texts, at, None, None, why);
            None
        }
    }
}

struct Reader<'a> {
    texts: &'a Texts,
    file: u32,
    found: &'a mut Found,
    inventory: Inventory,
}

/// Reads an inventory.
pub fn read(texts: &Texts, file: u32, found: &mut Found) -> Inventory {
    let Some(document) = parse(texts, file, found) else {
        return Inventory::default();
    };
    let mut reader = Reader {
        texts,
        file,
        found,
        inventory: Inventory::default(),
    };
    match document.value {
        Node::Nothing => {}
        Node::Map(groups) => {
            for (name, node) in groups {
                match name.value.as_str() {
                    "_meta" => reader.meta(node),
                    _ => reader.group(&name, node, 0),
                }
            }
        }
        _ => reader.wrong(&document.referenced, None, "not groups by their names"),
    }
    reader.inventory
}

impl Reader<'_> {
    fn at(&self, location: &serde_saphyr::Location) -> At {
        At {
            file: self.file,
            line: location.line() as u32,
            column: location.column() as u32,
        }
    }

    fn wrong(&mut self, location: &serde_saphyr::Location, key: Option<&str>, why: &str) {
        let at = self.at(location);
        self.found.add(self.texts, at, None, key, why);
    }

    fn group(&mut self, name: &Spanned<String>, node: Spanned<Node>, depth: usize) {
        let at = self.at(&name.referenced);
        self.inventory.group(&name.value, at);
        if depth >= DEPTH {
            return self.wrong(
                &name.referenced,
                Some(&name.value),
                "too many groups inside each other",
            );
        }
        let parts = match node.value {
            Node::Nothing => return,
            Node::Map(parts) => parts,
            // The JSON form may give a group as the list of its hosts.
            Node::List(hosts) => {
                return hosts.into_iter().for_each(|h| self.listed(&name.value, h))
            }
            Node::Scalar(_) => {
                return self.wrong(&node.referenced, Some(&name.value), "not a group")
            }
        };
        for (part, node) in parts {
            match (part.value.as_str(), node.value) {
                (_, Node::Nothing) => {}
                ("hosts", Node::Map(hosts)) => {
                    for (host, vars) in hosts {
                        let vars = self.vars(vars, Some(&host.value));
                        self.hosts(&name.value, &host, &vars);
                    }
                }
                ("hosts", Node::List(hosts)) => {
                    hosts.into_iter().for_each(|h| self.listed(&name.value, h))
                }
                ("children", Node::Map(children)) => {
                    for (child, node) in children {
                        self.inventory
                            .group(&name.value, at)
                            .children
                            .insert(child.value.clone());
                        self.group(&child, node, depth + 1);
                    }
                }
                ("children", Node::List(children)) => {
                    for child in children {
                        let place = self.at(&child.referenced);
                        match child.value {
                            Node::Scalar(text) => {
                                self.inventory
                                    .group(&name.value, at)
                                    .children
                                    .insert(text.clone());
                                self.inventory.group(&text, place);
                            }
                            _ => self.wrong(
                                &child.referenced,
                                Some("children"),
                                "not a group's name",
                            ),
                        }
                    }
                }
                ("vars", node @ Node::Map(_)) => {
                    let whole = Spanned::new(node, part.referenced, part.defined);
                    let vars = self.vars(whole, None);
                    self.inventory.group(&name.value, at).vars.extend(vars);
                }
                ("hosts" | "children" | "vars", _) => self.wrong(
                    &part.referenced,
                    Some(&part.value),
                    "not what stands below it in an inventory",
                ),
                (other, _) => {
                    let other = other.to_string();
                    self.wrong(
                        &part.referenced,
                        Some(&other),
                        "neither hosts, children nor vars",
                    )
                }
            }
        }
    }

    fn listed(&mut self, group: &str, host: Spanned<Node>) {
        match host.value {
            Node::Scalar(name) => self.hosts(
                group,
                &Spanned::new(name, host.referenced, host.defined),
                &Vars::new(),
            ),
            _ => self.wrong(&host.referenced, Some(group), "not a host's name"),
        }
    }

    fn hosts(&mut self, group: &str, pattern: &Spanned<String>, vars: &Vars) {
        let at = self.at(&pattern.referenced);
        match expand(&pattern.value) {
            Ok(names) => names
                .iter()
                .for_each(|name| self.inventory.host(group, name, at, vars)),
            Err(why) => self
                .found
                .add(self.texts, at, Some(&pattern.value), None, why),
        }
    }

    /// `_meta.hostvars`, as `ansible-inventory --list` has the hosts' variables.
    fn meta(&mut self, node: Spanned<Node>) {
        let Node::Map(parts) = node.value else { return };
        for (_, node) in parts
            .into_iter()
            .filter(|(part, _)| part.value == "hostvars")
        {
            let Node::Map(hosts) = node.value else {
                continue;
            };
            for (host, vars) in hosts {
                let vars = self.vars(vars, Some(&host.value));
                self.inventory
                    .host("all", &host.value, self.at(&host.referenced), &vars);
            }
        }
    }

    fn vars(&mut self, node: Spanned<Node>, host: Option<&str>) -> Vars {
        match node.value {
            Node::Nothing => Vars::new(),
            Node::Map(entries) => vars(entries, self.file),
            _ => {
                let at = self.at(&node.referenced);
                self.found
                    .add(self.texts, at, host, None, "not variables by their names");
                Vars::new()
            }
        }
    }
}

/// The plain ones of some variables: lists and maps mean nothing here.
fn vars(entries: Vec<(Spanned<String>, Spanned<Node>)>, file: u32) -> Vars {
    let plain = |(key, node): (Spanned<String>, Spanned<Node>)| match node.value {
        Node::Scalar(text) => {
            let at = At {
                file,
                line: node.referenced.line() as u32,
                column: node.referenced.column() as u32,
            };
            Some((key.value, Scalar { text, at }))
        }
        _ => None,
    };
    entries.into_iter().filter_map(plain).collect()
}

/// The variables of a file of `group_vars` or `host_vars`.
pub fn read_vars(texts: &Texts, file: u32, found: &mut Found) -> Vars {
    match parse(texts, file, found).map(|d| (d.referenced, d.value)) {
        Some((_, Node::Map(entries))) => vars(entries, file),
        None | Some((_, Node::Nothing)) => Vars::new(),
        Some(_) => {
            found.add(
                texts,
                At {
                    file,
                    line: 1,
                    column: 1,
                },
                None,
                None,
                "not variables by their names",
            );
            Vars::new()
        }
    }
}
