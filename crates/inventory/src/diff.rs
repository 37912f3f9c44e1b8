//! What a change to a roster means.

use crate::host::Host;
use serde::Serialize;
use std::collections::BTreeMap;

/// What becomes of the hosts between two rosters, by their names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Diff {
    /// New.
    pub added: Vec<String>,
    /// No longer named: they are drained.
    pub drained: Vec<String>,
    /// At another address: a new life, and so cold.
    pub moved: Vec<String>,
    /// Of another weight alone.
    pub reweighted: Vec<String>,
    /// In another zone or cell, or of another kind.
    pub changed: Vec<String>,
}

impl Diff {
    /// Compares two rosters.
    pub fn of(old: &[Host], new: &[Host]) -> Diff {
        let by_name = |hosts: &'_ [Host]| -> BTreeMap<String, Host> {
            hosts.iter().map(|h| (h.name.clone(), h.clone())).collect()
        };
        let (old, new) = (by_name(old), by_name(new));
        let mut diff = Diff::default();
        for (name, host) in &new {
            let list = match old.get(name) {
                None => &mut diff.added,
                Some(before) if before.addr != host.addr => &mut diff.moved,
                Some(b) if (&b.zone, &b.kind, b.cell) != (&host.zone, &host.kind, host.cell) => {
                    &mut diff.changed
                }
                Some(before) if before.weight != host.weight => &mut diff.reweighted,
                Some(_) => continue,
            };
            list.push(name.clone());
        }
        diff.drained = old
            .keys()
            .filter(|name| !new.contains_key(*name))
            .cloned()
            .collect();
        diff
    }

    /// Whether nothing differs.
    pub fn is_empty(&self) -> bool {
        *self == Diff::default()
    }
}
