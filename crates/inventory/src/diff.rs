//! The difference between two inventories.

use crate::host::Host;
use serde::Serialize;
use std::collections::BTreeMap;

/// The hosts that differ between two inventories, by their names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct InventoryDiff {
    /// In the new inventory only.
    pub added: Vec<String>,
    /// In the old inventory only: they are drained.
    pub drained: Vec<String>,
    /// At another address: they start anew, without warm caches.
    pub moved: Vec<String>,
    /// Of another weight alone.
    pub reweighted: Vec<String>,
    /// In another zone or cell, or of another kind.
    pub changed: Vec<String>,
}

impl InventoryDiff {
    /// Compares two inventories.
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

    /// Whether the inventories are the same.
    pub fn is_empty(&self) -> bool {
        *self == InventoryDiff::default()
    }

    /// The list to which a host of the new inventory belongs; none where it is the same.
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
