//! Loads workers from the operators' inventory files as pool members of the core.

use crate::core::PoolMember;
use crate::interface::EndpointState;
use std::path::Path;
use streamusher_inventory::{read_inventory, FileSystem, Host, KnownNames};

/// Reads an inventory, completely or not at all. The error message names the file, line, host and key of the
/// first mistake and the number of further ones; `streamusher servers check` lists them all.
pub fn load(path: &Path, known: &KnownNames) -> Result<Vec<PoolMember>, String> {
    let inventory = read_inventory(&FileSystem, path, known).map_err(|p| p.to_string())?;
    Ok(inventory.hosts.into_iter().map(member).collect())
}

fn member(host: Host) -> PoolMember {
    PoolMember {
        name: host.name,
        addr: host.addr.to_string(),
        zone: host.zone,
        kind: host.kind,
        cell: host.cell,
        state: EndpointState::Ready,
        weight: host.weight,
        started_at_us: 0,
    }
}
