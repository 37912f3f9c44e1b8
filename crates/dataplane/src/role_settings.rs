//! Whether a settings file fits the process that reads it.

use std::net::SocketAddr;
use std::sync::Arc;
use streamusher_runtime::settings::ProcessSettings;

/// Why settings do not fit a process. The texts name key, value and remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RoleSettingsError {
    /// The role does not serve the party that the process is for.
    #[error("key serves = {serves:?}: run the {process} in a role that serves {party:?}")]
    WrongRole {
        /// The process.
        process: &'static str,
        /// The party that it serves.
        party: &'static str,
        /// The parties in the settings.
        serves: Vec<Arc<str>>,
    },
    /// An address to listen at is missing.
    #[error("key {key} is missing: give the address that {used_by}")]
    MissingAddress {
        /// The key.
        key: &'static str,
        /// Who uses the address, as a clause.
        used_by: &'static str,
    },
}

/// Checks that the role serves `party`.
pub(crate) fn require_party(
    settings: &ProcessSettings,
    process: &'static str,
    party: &'static str,
) -> Result<(), RoleSettingsError> {
    if settings.serves(party) {
        return Ok(());
    }
    Err(RoleSettingsError::WrongRole {
        process,
        party,
        serves: settings.serves.clone(),
    })
}

/// The address of `key`, where there is one.
pub(crate) fn require_address(
    address: Option<SocketAddr>,
    key: &'static str,
    used_by: &'static str,
) -> Result<SocketAddr, RoleSettingsError> {
    address.ok_or(RoleSettingsError::MissingAddress { key, used_by })
}
