//! Requests for a member's view of the cluster: a probe, and a long poll for the next epoch.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use serde::Serialize;
use std::time::Duration;
use streamusher_protocol::internal::{ClusterView, ClusterWatch, CLUSTER_PATH, CLUSTER_WATCH_PATH};
use streamusher_protocol::Millis;
use streamusher_runtime::http::{parse_json, Client, Request};

/// Time-out of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a member holds a watch while there is no newer epoch, and how much later its response may arrive.
const WATCH_HOLD_MS: Millis = 3_000;
const WATCH_SLACK_MS: Millis = 400;

/// Requests a member's view; `None` if the request fails or times out.
pub(super) async fn probe(client: &Client) -> Option<ClusterView> {
    let request = http::Request::get(CLUSTER_PATH).body(Bytes::new()).ok()?;
    fetch(client, request, PROBE_TIMEOUT).await
}

/// Waits until a member's view is newer than `epoch` or its hold time has elapsed; `None` if the request
/// fails or times out.
pub(super) async fn watch(client: &Client, epoch: u64) -> Option<ClusterView> {
    let watch = ClusterWatch {
        epoch,
        wait_ms: WATCH_HOLD_MS,
    };
    let request = post_request(CLUSTER_WATCH_PATH, &watch).ok()?;
    let timeout = Duration::from_millis(WATCH_HOLD_MS + WATCH_SLACK_MS);
    fetch(client, request, timeout).await
}

/// Builds a POST request with a JSON body.
pub(super) fn post_request<T: Serialize>(path: &str, body: &T) -> Result<Request, http::Error> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    http::Request::post(path)
        .header(CONTENT_TYPE, "application/json")
        .body(Bytes::from(body))
}

async fn fetch(client: &Client, request: Request, timeout: Duration) -> Option<ClusterView> {
    let response = client.send(request, timeout).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    parse_json(response.body()).ok()
}
