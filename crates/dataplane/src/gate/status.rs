//! The status document of a gate.

use super::relay::RelayStatus;
use serde::Serialize;
use streamusher_protocol::internal::ClusterView;
use streamusher_runtime::logs::LastError;

#[derive(Serialize)]
pub(super) struct GateStatus {
    pub(super) role: &'static str,
    pub(super) ready: bool,
    pub(super) leaving: bool,
    /// Client requests answered with any status other than a server error, by the primary or by the gate
    /// itself.
    #[serde(rename = "passed")]
    pub(super) forwarded: u64,
    /// Client requests answered with a server error (5xx).
    #[serde(rename = "refused")]
    pub(super) failed: u64,
    pub(super) control_plane: ClusterView,
    pub(super) last_error: Option<LastError>,
    pub(super) relay: RelayStatus,
}
