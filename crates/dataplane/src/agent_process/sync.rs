//! Sends syncs to the primary.

use crate::control_plane::{ControlPlaneClient, Endpoint, RequestOutcome};
use std::time::Duration;
use streamusher_protocol::internal::{AgentCommands, AgentSync, AGENT_SYNC_PATH};
use streamusher_protocol::Millis;
use streamusher_runtime::http::parse_json;
use tokio::time::Instant;

/// Time-out of a sync in addition to the time for which the primary may hold it: allows for network delay and
/// a busy primary.
const SYNC_SLACK_MS: Millis = 700;

/// Sends a sync to the primary. If there is no usable response and another primary is known by then, sends
/// the sync once to that primary.
pub(super) async fn send(client: &ControlPlaneClient, sync: &AgentSync) -> Option<AgentCommands> {
    let deadline = Instant::now() + Duration::from_millis(sync.wait_ms);
    let primary = client.wait_for_primary(deadline).await?;
    if let Some(commands) = send_to(client, &primary, sync).await {
        return Some(commands);
    }
    let successor = client
        .primary()
        .filter(|successor| successor.address() != primary.address())?;
    send_to(client, &successor, sync).await
}

async fn send_to(
    client: &ControlPlaneClient,
    primary: &Endpoint,
    sync: &AgentSync,
) -> Option<AgentCommands> {
    let timeout = Duration::from_millis(sync.wait_ms.saturating_add(SYNC_SLACK_MS));
    let outcome = client.post(primary, AGENT_SYNC_PATH, sync, timeout).await;
    let RequestOutcome::Responded(response) = outcome else {
        return None;
    };
    if !response.status().is_success() {
        return None;
    }
    let commands: AgentCommands = match parse_json(response.body()) {
        Ok(commands) => commands,
        Err(error) => {
            log::warn!("malformed commands from {}: {error}", primary.address());
            return None;
        }
    };
    if let Some(view) = &commands.view {
        client.on_view(primary, view);
    }
    Some(commands)
}
