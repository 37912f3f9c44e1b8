//! Groups, hosts and variables of an Ansible inventory, and their resolution by Ansible's variable
//! precedence.
//!
//! Variables are applied in Ansible's documented order of precedence, lowest first: group variables in the
//! inventory (`all`, then by depth, priority and name), `group_vars/all`, `group_vars/*` in the same order of
//! groups, variables of the host in the inventory, `host_vars/*`.

use crate::diagnostics::{Finding, Findings};
use crate::field::{FieldAlias, HostField};
use crate::host::RawHost;
use crate::source_text::{Scalar, SourcePosition};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum nesting depth of groups. Protects against inventories with unbounded nesting.
pub(super) const MAX_GROUP_DEPTH: usize = 16;

/// The implicit group that contains every host.
const ALL: &str = "all";

/// Variables by name.
pub(crate) type Vars = BTreeMap<String, Scalar>;

/// A group with its hosts, child groups and variables.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    pub(super) hosts: BTreeSet<String>,
    pub(super) children: BTreeSet<String>,
    pub(super) vars: Vars,
    /// Position of the group's first occurrence.
    position: SourcePosition,
}

/// A host before its variables are resolved.
#[derive(Clone, Debug)]
struct InventoryHost {
    /// Position of the host's first occurrence.
    position: SourcePosition,
    vars: Vars,
}

/// The groups and hosts of an inventory before variables are resolved.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnsibleInventory {
    groups: BTreeMap<String, Group>,
    hosts: BTreeMap<String, InventoryHost>,
}

/// Variables from the `group_vars` and `host_vars` directories next to an inventory.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdjacentVars {
    /// Variables from `group_vars`, by group.
    pub(crate) groups: BTreeMap<String, Vars>,
    /// Variables from `host_vars`, by host.
    pub(crate) hosts: BTreeMap<String, Vars>,
}

impl AnsibleInventory {
    /// Returns the group with this name, creating it if necessary.
    pub(super) fn group(&mut self, name: &str, position: SourcePosition) -> &mut Group {
        self.groups.entry(name.to_owned()).or_insert_with(|| Group {
            position,
            ..Group::default()
        })
    }

    /// Adds a host to a group and sets host variables. If a variable is already set, the first value is kept.
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

    /// Resolves the variables of each host by Ansible's precedence.
    pub(crate) fn resolve(&self, adjacent: &AdjacentVars, findings: &mut Findings) -> Vec<RawHost> {
        let groups_by_precedence = self.groups_by_precedence(findings);
        let groups_of_hosts = self.groups_of_hosts();
        let no_groups = BTreeSet::new();
        let mut hosts = Vec::new();
        for (name, host) in &self.hosts {
            let host_groups = groups_of_hosts.get(name.as_str()).unwrap_or(&no_groups);
            let groups: Vec<&str> = groups_by_precedence
                .iter()
                .copied()
                .filter(|group| host_groups.contains(group) || *group == ALL)
                .collect();
            let inventory_layers = groups
                .iter()
                .filter_map(|group| self.groups.get(*group).map(|group| &group.vars));
            let directory_layers = groups
                .iter()
                .filter_map(|group| adjacent.groups.get(*group));
            let layers = inventory_layers
                .chain(directory_layers)
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

    /// Returns the groups in order of precedence, lowest first.
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

    /// Computes the depth of each group below `all` as the length of the longest path to it. Reports a cycle
    /// or excessive nesting; its groups, whose depth exceeds the limit, are omitted.
    ///
    /// The longest paths are computed by relaxation as in the Bellman-Ford algorithm, which does not converge
    /// on a cycle.
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

    /// Makes each group at least one level deeper than its parents. Returns the last group whose depth
    /// changed.
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

    /// Returns the groups of each host: those that list it, and all their ancestors.
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

    /// Returns the parents of each group.
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

/// Returns a group, all its ancestors, and `all`.
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
            let parent_groups = parents.get(group).into_iter().flatten();
            remaining.extend(parent_groups.filter(|parent| !enclosing.contains(*parent)));
        }
    }
    enclosing
}

/// Returns the variables that are host fields. If several variables name the same field, the name with the
/// lowest rank takes precedence.
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
