//! Hosts: as they are read, and as they are once they have been validated.

use crate::field::HostField;
use crate::source_text::Scalar;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The port of a host that gives none.
pub const DEFAULT_PORT: u16 = 6_444;

/// Hosts of one inventory, at most.
pub const MAX_HOSTS: usize = 100_000;

/// One worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Its name, the same everywhere.
    pub name: String,
    /// The address at which it listens.
    pub addr: SocketAddr,
    /// Its zone: the building.
    pub zone: String,
    /// Its machine kind.
    pub kind: String,
    /// Its cell; 0 for none.
    pub cell: u32,
    /// Its weight, above 0.
    pub weight: f64,
}

/// A host as it was read, before validation.
#[derive(Clone, Debug)]
pub(crate) struct RawHost {
    pub(crate) name: Scalar,
    pub(crate) fields: BTreeMap<HostField, Scalar>,
}

/// The names that the site uses. An empty list allows any name.
#[derive(Clone, Debug, Default)]
pub struct KnownNames {
    /// Zones.
    pub zones: Vec<String>,
    /// Machine kinds.
    pub kinds: Vec<String>,
}
