//! Groups, hosts and variables as an inventory has them, and their resolution by Ansible's precedence.
//!
//! Variables are applied by Ansible's published precedence, the lowest first: group variables of the inventory (`all`, then by
//! depth, priority and name), `group_vars/all`, `group_vars/*` in the same order, the host's own in the inventory,
//! `host_vars/*`.

use crate::diagnostics::{Finding, Findings};
use crate::field::{FieldAlias, HostField};
use crate::host::RawHost;
use crate::source_text::{Scalar, SourcePosition};
use std::collections::{BTreeMap, BTreeSet};

/// Groups inside each other, at most: guards against an inventory that nests without end.
pub(super) const MAX_GROUP_DEPTH: usize = 16;

/// The group to which every host belongs.
const ALL: &str = "all";

/// Variables by their names.
pub(crate) type Vars = BTreeMap<String, Scalar>;

/// A group.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    pub(super) hosts: BTreeSet<String>,
    pub(super) children: BTreeSet<String>,
    pub(super) vars: Vars,
    /// Where it is named first.
    position: SourcePosition,
}

/// A host before resolution.
#[derive(Clone, Debug)]
struct InventoryHost {
    /// Where it is named first.
    position: SourcePosition,
    vars: Vars,
}

/// An inventory as it is read.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnsibleInventory {
    groups: BTreeMap<String, Group>,
    hosts: BTreeMap<String, InventoryHost>,
}

/// Variables from the directories beside an inventory.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdjacentVars {
    /// `group_vars`, by group.
    pub(crate) groups: BTreeMap<String, Vars>,
    /// `host_vars`, by host.
    pub(crate) hosts: BTreeMap<String, Vars>,
}

impl AnsibleInventory {
    /// The group of this name, which is created where it does not exist.
    pub(super) fn group(&mut self, name: &str, position: SourcePosition) -> &mut Group {
        self.groups.entry(name.to_owned()).or_insert_with(|| Group {
            position,
            ..Group::default()
        })
    }

    /// Adds a host to a group, with variables of its own. Of several values of a variable the first one counts.
    pub(super) fn add_host(
        &mut self,
        group: &str,
        name: &str,
        position: SourcePosition,
        vars: &Vars,
    ) {
        self.group(group, position).hosts.insert(name.to_owned());
        let host = self
            .hosts
            .entry(name.to_owned())
            .or_insert_with(|| InventoryHost {
                position,
                vars: Vars::new(),
            });
        for (key, value) in vars {
            let value = || value.clone();
            host.vars.entry(key.clone()).or_insert_with(value);
        }
    }

    /// The hosts with their variables by Ansible's precedence.
    pub(crate) fn resolve(&self, adjacent: &AdjacentVars, findings: &mut Findings) -> Vec<RawHost> {
        let groups_by_precedence = self.groups_by_precedence(findings);
        let groups_of_hosts = self.groups_of_hosts();
        let no_groups = BTreeSet::new();
        let mut hosts = Vec::new();
        for (name, host) in &self.hosts {
            let of_host = groups_of_hosts.get(name.as_str()).unwrap_or(&no_groups);
            let groups: Vec<&str> = groups_by_precedence
                .iter()
                .copied()
                .filter(|group| of_host.contains(group) || *group == ALL)
                .collect();
            let in_inventory = groups
                .iter()
                .filter_map(|group| self.groups.get(*group).map(|group| &group.vars));
            let in_directory = groups
                .iter()
                .filter_map(|group| adjacent.groups.get(*group));
            let layers = in_inventory
                .chain(in_directory)
                .chain([&host.vars])
                .chain(adjacent.hosts.get(name));
            let mut vars: BTreeMap<&str, &Scalar> = BTreeMap::new();
            for layer in layers {
                vars.extend(layer.iter().map(|(key, value)| (key.as_str(), value)));
            }
            hosts.push(RawHost {
                name: Scalar {
                    text: name.clone(),
                    position: host.position,
                },
                fields: host_fields(&vars),
            });
        }
        hosts
    }

    /// The groups from the lowest precedence to the highest.
    fn groups_by_precedence(&self, findings: &mut Findings) -> Vec<&str> {
        let depths = self.depths(findings);
        let mut groups: Vec<&str> = depths.keys().copied().collect();
        groups.sort_by_key(|group| (depths[group], self.priority(group), *group));
        groups
    }

    fn priority(&self, group: &str) -> i64 {
        const DEFAULT_PRIORITY: i64 = 1;
        self.groups
            .get(group)
            .and_then(|group| group.vars.get("ansible_group_priority"))
            .and_then(|priority| priority.text.parse().ok())
            .unwrap_or(DEFAULT_PRIORITY)
    }

    /// The depth of each group below `all`, by the longest path to it. A cycle is reported, and its groups left out.
    ///
    /// The longest paths are found by relaxation as in the algorithm of Bellman and Ford, which does not settle on a cycle.
    fn depths(&self, findings: &mut Findings) -> BTreeMap<&str, usize> {
        let names = self.groups.keys().map(String::as_str);
        let mut depths: BTreeMap<&str, usize> = names.map(|name| (name, 1)).collect();
        depths.insert(ALL, 0);
        let mut last_relaxed = None;
        for _ in 0..=MAX_GROUP_DEPTH {
            last_relaxed = self.relax(&mut depths);
            if last_relaxed.is_none() {
                return depths;
            }
        }
        if let Some(group) = last_relaxed {
            let message =
                format!("it is inside itself, or more than {MAX_GROUP_DEPTH} groups deep");
            let finding = Finding::new(self.groups[group].position, message);
            findings.add(finding.key(group));
        }
        depths.retain(|_, depth| *depth <= MAX_GROUP_DEPTH);
        depths
    }

    /// Makes each group at least one deeper than those it is in; returns the last one whose depth has changed.
    fn relax<'a>(&'a self, depths: &mut BTreeMap<&'a str, usize>) -> Option<&'a str> {
        let mut last_relaxed = None;
        for (name, group) in self.groups.iter().filter(|(name, _)| *name != ALL) {
            let depth = depths[name.as_str()];
            for child in group.children.iter().filter(|child| *child != ALL) {
                let child_depth = depths.get_mut(child.as_str());
                if let Some(child_depth) = child_depth.filter(|own| **own <= depth) {
                    *child_depth = depth + 1;
                    last_relaxed = Some(child.as_str());
                }
            }
        }
        last_relaxed
    }

    /// The groups of each host: those that name it, and those around these.
    fn groups_of_hosts(&self) -> BTreeMap<&str, BTreeSet<&str>> {
        let parents = self.parents();
        let mut groups_of_hosts: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for (name, group) in &self.groups {
            let enclosing = enclosing_groups(name, &parents);
            for host in &group.hosts {
                groups_of_hosts.entry(host).or_default().extend(&enclosing);
            }
        }
        groups_of_hosts
    }

    /// The groups of which each group is a child.
    fn parents(&self) -> BTreeMap<&str, Vec<&str>> {
        let mut parents: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (name, group) in &self.groups {
            for child in &group.children {
                parents.entry(child).or_default().push(name);
            }
        }
        parents
    }
}

/// A group, those around it, and `all`.
fn enclosing_groups<'a>(
    group: &'a str,
    parents: &BTreeMap<&'a str, Vec<&'a str>>,
) -> BTreeSet<&'a str> {
    let mut enclosing = BTreeSet::from([ALL]);
    let mut remaining = vec![group];
    while let Some(group) = remaining.pop() {
        let is_new = enclosing.insert(group);
        let is_last_and_all = group == ALL && remaining.is_empty();
        if is_new || is_last_and_all {
            let around = parents.get(group).into_iter().flatten();
            remaining.extend(around.filter(|parent| !enclosing.contains(*parent)));
        }
    }
    enclosing
}

/// The variables that are fields of a host. Of several names for one field the one that ranks first counts.
fn host_fields(vars: &BTreeMap<&str, &Scalar>) -> BTreeMap<HostField, Scalar> {
    struct RankedValue<'a> {
        rank: usize,
        value: &'a Scalar,
    }
    let mut ranked: BTreeMap<HostField, RankedValue<'_>> = BTreeMap::new();
    for (name, value) in vars {
        let Some(FieldAlias { field, rank }) = FieldAlias::parse(name) else {
            continue;
        };
        let is_first = ranked.get(&field).is_none_or(|earlier| rank < earlier.rank);
        if field != HostField::Name && is_first {
            ranked.insert(field, RankedValue { rank, value });
        }
    }
    ranked
        .into_iter()
        .map(|(field, ranked)| (field, ranked.value.clone()))
        .collect()
}
