//! Workers from the operators' own files: rosters, as the core's members.

use crate::core::PoolMember;
use crate::interface::EndpointState;
use std::path::Path;
use streamusher_inventory::{read_inventory, FileSystem, Host, KnownNames};

/// Reads an inventory, whole or not at all. The message names file, line, host and key of the first mistake, and how
/// many more there are; `streamusher servers check` tells all.
pub fn load(path: &Path, known: &KnownNames) -> Result<Vec<PoolMember>, String> {
    let roster = read_inventory(&FileSystem, path, known).map_err(|p| p.to_string())?;
    Ok(roster.hosts.into_iter().map(member).collect())
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
