//! The status document of a gate.

use super::relay::RelayStatus;
use serde::Serialize;
use streamusher_protocol::internal::ClusterView;
use streamusher_runtime::logs::LastError;

/// The status document of a gate.
#[derive(Serialize)]
pub(super) struct GateStatus {
    pub(super) role: &'static str,
    pub(super) ready: bool,
    pub(super) leaving: bool,
    /// Requests that were answered, by the primary or with a client's error.
    #[serde(rename = "passed")]
    pub(super) forwarded: u64,
    /// Requests that were answered with a server's error.
    #[serde(rename = "refused")]
    pub(super) failed: u64,
    pub(super) control_plane: ClusterView,
    pub(super) last_error: Option<LastError>,
    pub(super) relay: RelayStatus,
}
