//! Limits of the gate's listener for clients: those of the configuration, capped by what the machine can
//! support.

use super::relay::RelayMember;
use std::time::Duration;
use streamusher_protocol::config::Limits;
use streamusher_runtime::http::{ServerHandle, ServerLimits};
use streamusher_runtime::settings::ProcessSettings;

/// File descriptors not available to clients: the 200 that the operators' documentation reserves, and this
/// process's own connections and listeners.
const RESERVED_DESCRIPTORS: u64 = 300;

/// Longest request body, whatever the configuration allows: a gate has little memory, and the primary accepts
/// no longer bodies.
const MAX_BODY_BYTES: u64 = 8 << 20;

/// Longest request header, whatever the configuration allows: each connection may buffer one.
const MAX_HEADER_BYTES: u64 = 1 << 20;

/// Derives the limits of the listener for clients from the settings and the configuration.
pub(super) fn server_limits(settings: &ProcessSettings, limits: &Limits) -> ServerLimits {
    ServerLimits {
        max_body_bytes: saturating_usize(limits.max_body_bytes.min(MAX_BODY_BYTES)),
        max_header_bytes: saturating_usize(limits.max_header_bytes.min(MAX_HEADER_BYTES)),
        body_timeout: Duration::from_millis(limits.header_timeout_ms),
        idle_timeout: Duration::from_millis(limits.idle_timeout_ms),
        max_connections: settings.limits.max_connections(RESERVED_DESCRIPTORS),
    }
}

fn saturating_usize(bytes: u64) -> usize {
    usize::try_from(bytes).unwrap_or(usize::MAX)
}

/// Applies the limits of each configuration that the gate receives. Never returns.
pub(super) async fn follow_configuration(
    relay: RelayMember,
    server: ServerHandle,
    settings: ProcessSettings,
) {
    loop {
        relay.changed().await;
        if let Some(configuration) = relay.configuration() {
            server.set_limits(server_limits(&settings, &configuration.limits));
        }
    }
}
