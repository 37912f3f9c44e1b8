//! Inventories as Ansible keeps them: YAML, INI and the JSON of `ansible-inventory --list`, with `group_vars` and
//! `host_vars` beside them.
//!
//! Variables go by Ansible's published precedence, the lowest first: group variables of the inventory (`all`, then by
//! depth, priority and name), `group_vars/all`, `group_vars/*` in the same order, the host's own in the inventory,
//! `host_vars/*`.

mod ini;
mod range;
mod yaml;

use crate::host::{Field, Raw};
use crate::problem::{At, Found, Scalar, Texts};
use std::collections::{BTreeMap, BTreeSet};

pub use ini::read as read_ini;
pub use range::expand;
pub use yaml::{read as read_yaml, read_vars};

/// Groups inside groups, at most: guards against an inventory that nests without end.
pub const DEPTH: usize = 16;

/// Variables by their names.
pub type Vars = BTreeMap<String, Scalar>;

/// A group.
#[derive(Clone, Debug, Default)]
pub struct Group {
    /// Its hosts.
    pub hosts: BTreeSet<String>,
    /// The groups inside it.
    pub children: BTreeSet<String>,
    /// Its variables.
    pub vars: Vars,
    /// Where it is first named.
    pub at: At,
}

/// An inventory as it stands, before any variable goes to a host.
#[derive(Clone, Debug, Default)]
pub struct Inventory {
    /// The groups by their names.
    pub groups: BTreeMap<String, Group>,
    /// The hosts' own variables, and where each is first named.
    pub hosts: BTreeMap<String, (At, Vars)>,
}

/// Variables from the folders beside an inventory.
#[derive(Clone, Debug, Default)]
pub struct Beside {
    /// `group_vars`, by group.
    pub groups: BTreeMap<String, Vars>,
    /// `host_vars`, by host.
    pub hosts: BTreeMap<String, Vars>,
}

impl Inventory {
    /// The group of this name, made where it is not there.
    pub fn group(&mut self, name: &str, at: At) -> &mut Group {
        self.groups
            .entry(name.to_string())
            .or_insert_with(|| Group {
                at,
                ..Group::default()
            })
    }

    /// Adds a host to a group, with variables of its own; what was said of it first holds.
    pub fn host(&mut self, group: &str, name: &str, at: At, vars: &Vars) {
        self.group(group, at).hosts.insert(name.to_string());
        let own = &mut self
            .hosts
            .entry(name.to_string())
            .or_insert_with(|| (at, Vars::new()))
            .1;
        for (key, value) in vars {
            own.entry(key.clone()).or_insert_with(|| value.clone());
        }
    }

    /// How deep each group lies below `all`: as deep as the longest way to it. A circle is told, and left out.
    fn depths(&self, texts: &Texts, found: &mut Found) -> BTreeMap<&str, usize> {
        let mut depths: BTreeMap<&str, usize> =
            self.groups.keys().map(|g| (g.as_str(), 1)).collect();
        depths.insert("all", 0);
        // Longest ways by repeated loosening: a circle never settles.
        for round in 0..=DEPTH {
            let mut moved = None;
            for (name, group) in self.groups.iter().filter(|(name, _)| *name != "all") {
                let depth = depths[name.as_str()];
                for child in group.children.iter().filter(|c| c.as_str() != "all") {
                    let Some(own) = depths.get_mut(child.as_str()).filter(|own| **own <= depth)
                    else {
                        continue;
                    };
                    *own = depth + 1;
                    moved = Some(child);
                }
            }
            let Some(child) = moved else { return depths };
            if round == DEPTH {
                let why = format!("it is inside itself, or more than {DEPTH} groups deep");
                found.add(texts, self.groups[child].at, None, Some(child), why);
            }
        }
        depths.retain(|_, d| *d <= DEPTH);
        depths
    }

    /// The hosts with their variables by Ansible's precedence.
    pub fn resolve(&self, beside: &Beside, texts: &Texts, found: &mut Found) -> Vec<Raw> {
        let depths = self.depths(texts, found);
        let priority = |g: &str| {
            let own = self
                .groups
                .get(g)
                .and_then(|g| g.vars.get("ansible_group_priority"));
            own.and_then(|p| p.text.parse::<i64>().ok()).unwrap_or(1)
        };
        let mut order: Vec<&str> = depths.keys().copied().collect();
        order.sort_by_key(|g| (depths[g], priority(g), *g));
        // The groups of each host, its own and those around them.
        let mut parents: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (name, group) in &self.groups {
            group
                .children
                .iter()
                .for_each(|c| parents.entry(c).or_default().push(name));
        }
        let mut of_host: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for (name, group) in &self.groups {
            let mut around = BTreeSet::from(["all"]);
            let mut next = vec![name.as_str()];
            while let Some(g) = next.pop() {
                if around.insert(g) || g == "all" && next.is_empty() {
                    next.extend(
                        parents
                            .get(g)
                            .into_iter()
                            .flatten()
                            .filter(|p| !around.contains(*p)),
                    );
                }
            }
            group
                .hosts
                .iter()
                .for_each(|h| of_host.entry(h).or_default().extend(&around));
        }
        let none = Vars::new();
        let raw = |(name, (at, own)): (&String, &(At, Vars))| {
            let groups = of_host.get(name.as_str());
            let in_order = || {
                order
                    .iter()
                    .filter(|g| groups.is_some_and(|all| all.contains(*g)) || **g == "all")
            };
            let from_inventory = in_order().map(|g| self.groups.get(*g).map_or(&none, |g| &g.vars));
            let from_folder = in_order().map(|g| beside.groups.get(*g).unwrap_or(&none));
            let last = [own, beside.hosts.get(name).unwrap_or(&none)];
            let mut vars: BTreeMap<&str, &Scalar> = BTreeMap::new();
            for layer in from_inventory.chain(from_folder).chain(last) {
                vars.extend(layer.iter().map(|(k, v)| (k.as_str(), v)));
            }
            Raw {
                name: Scalar {
                    text: name.clone(),
                    at: *at,
                },
                fields: fields(&vars),
            }
        };
        self.hosts.iter().map(raw).collect()
    }
}

/// The variables that mean something here. Of several words for one field the first in its list counts.
fn fields(vars: &BTreeMap<&str, &Scalar>) -> BTreeMap<Field, Scalar> {
    let mut best: BTreeMap<Field, (usize, &Scalar)> = BTreeMap::new();
    for (word, value) in vars {
        let Some((field, rank)) = Field::of(word).filter(|(f, _)| *f != Field::Name) else {
            continue;
        };
        if best.get(&field).is_none_or(|(earlier, _)| rank < *earlier) {
            best.insert(field, (rank, value));
        }
    }
    best.into_iter()
        .map(|(field, (_, value))| (field, value.clone()))
        .collect()
}
