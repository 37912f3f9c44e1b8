//! Host records before and after validation.

use crate::field::HostField;
use crate::source_text::Scalar;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Port of a host for which the inventory gives no port.
pub const DEFAULT_PORT: u16 = 6_444;

/// Maximum number of hosts in one inventory.
pub const MAX_HOSTS: usize = 100_000;

/// A worker as described by an inventory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the worker, unique within an inventory.
    pub name: String,
    /// Address and port on which the worker listens.
    pub addr: SocketAddr,
    /// Zone of the worker: the building that it is in.
    pub zone: String,
    /// Machine kind. Empty if the inventory gives none, which is valid only if the site lists no kinds.
    pub kind: String,
    /// Cell of the worker; 0 if it belongs to no cell.
    pub cell: u32,
    /// Relative weight, greater than 0; 1 if the inventory gives none.
    pub weight: f64,
}

/// A host as read from a file, before validation.
#[derive(Clone, Debug)]
pub(crate) struct RawHost {
    pub(crate) name: Scalar,
    pub(crate) fields: BTreeMap<HostField, Scalar>,
}

/// Names that the site allows. An empty list allows any name.
#[derive(Clone, Debug, Default)]
pub struct KnownNames {
    /// Allowed zones.
    pub zones: Vec<String>,
    /// Allowed machine kinds.
    pub kinds: Vec<String>,
}
