//! Comparison of two inventories.

use crate::host::Host;
use serde::Serialize;
use std::collections::BTreeMap;

/// Names of the hosts that differ between two inventories, by kind of difference.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct InventoryDiff {
    /// Hosts that only the new inventory contains.
    pub added: Vec<String>,
    /// Hosts that only the old inventory contains; they are drained.
    pub drained: Vec<String>,
    /// Hosts with a new address. They are treated as newly started, with cold caches.
    pub moved: Vec<String>,
    /// Hosts of which only the weight changed.
    pub reweighted: Vec<String>,
    /// Hosts whose zone, cell or machine kind changed.
    pub changed: Vec<String>,
}

impl InventoryDiff {
    /// Compares the hosts of two inventories by name.
    pub fn between(old: &[Host], new: &[Host]) -> InventoryDiff {
        let (old, new) = (by_name(old), by_name(new));
        let mut diff = InventoryDiff::default();
        for (name, host) in &new {
            if let Some(names) = diff.names_for(old.get(name).copied(), host) {
                names.push((*name).to_owned());
            }
        }
        let drained = old.keys().filter(|name| !new.contains_key(*name));
        diff.drained = drained.map(|name| (*name).to_owned()).collect();
        diff
    }

    /// Whether the inventories have equal hosts.
    pub fn is_empty(&self) -> bool {
        *self == InventoryDiff::default()
    }

    /// Returns the list that a host of the new inventory belongs to; `None` if the host is unchanged.
    #[expect(
        clippy::float_cmp,
        reason = "a weight that is read from the same text is the same number"
    )]
    fn names_for(&mut self, old: Option<&Host>, new: &Host) -> Option<&mut Vec<String>> {
        let Some(old) = old else {
            return Some(&mut self.added);
        };
        if old.addr != new.addr {
            return Some(&mut self.moved);
        }
        if (&old.zone, &old.kind, old.cell) != (&new.zone, &new.kind, new.cell) {
            return Some(&mut self.changed);
        }
        (old.weight != new.weight).then_some(&mut self.reweighted)
    }
}

fn by_name(hosts: &[Host]) -> BTreeMap<&str, &Host> {
    hosts.iter().map(|host| (&*host.name, host)).collect()
}
