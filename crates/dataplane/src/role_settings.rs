//! Checks that the settings suit the process that reads them.

use std::net::SocketAddr;
use std::sync::Arc;
use streamusher_runtime::settings::ProcessSettings;

/// Reasons why settings do not suit a process. The messages name the key, its value and the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RoleSettingsError {
    /// The configured role does not serve the party that the process is for.
    #[error("key serves = {serves:?}: run the {process} in a role that serves {party:?}")]
    WrongRole {
        /// Name of the process.
        process: &'static str,
        /// Party that the process serves.
        party: &'static str,
        /// Parties that the configured role serves.
        serves: Vec<Arc<str>>,
    },
    /// An address to listen at is missing.
    #[error("key {key} is missing: give the address that {used_by}")]
    MissingAddress {
        /// The missing key.
        key: &'static str,
        /// User of the address, as a clause that completes the message.
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

/// Returns `address`, or an error that names `key` if the address is missing.
pub(crate) fn require_address(
    address: Option<SocketAddr>,
    key: &'static str,
    used_by: &'static str,
) -> Result<SocketAddr, RoleSettingsError> {
    address.ok_or(RoleSettingsError::MissingAddress { key, used_by })
}
