//! Reads Ansible inventories: YAML, INI and the JSON of `ansible-inventory --list`, with the variables in
//! `group_vars` and `host_vars` next to them.

mod host_range;
mod ini;
mod inventory;
mod yaml;

pub use host_range::{expand_host_range, HostRangeError};
pub(crate) use ini::read_ini;
pub(crate) use inventory::{AdjacentVars, Vars};
pub(crate) use yaml::{read_vars, read_yaml};
