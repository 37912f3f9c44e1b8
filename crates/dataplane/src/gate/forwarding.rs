//! Forwarding of a client's request to the primary: attempts, time-outs and retries.
//!
//! Whether a request is retried depends on the outcome of the previous attempt:
//! - certainly not executed: one retry if another primary is known by then; otherwise 503 with `Retry-After`;
//! - possibly executed, GET or DELETE: retried a few times while the client waits, since both may be executed
//!   twice;
//! - possibly executed, POST: not retried; 502, and the client submits the same job id again.

use super::{client_request, client_response};
use crate::control_plane::{ControlPlaneClient, Endpoint, RequestOutcome};
use std::time::Duration;
use streamusher_protocol::internal::{ClientMethod, ClientRequest, CLIENT_REQUEST_PATH};
use streamusher_runtime::http::{Request, Response};
use tokio::time::Instant;

/// Part of the client's time-out reserved for sending the response back.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);

/// Longest time-out of one attempt: committing a change takes far less.
const MAX_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Shortest time-out of one attempt, however little time the client allows.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(50);

/// Shortest remaining time in which a retry is started.
const MIN_TIME_FOR_RETRY: Duration = Duration::from_millis(100);

/// Maximum number of retries of a request whose outcome is unknown: more would only add load to a primary in
/// trouble.
const MAX_RETRIES: u32 = 3;

/// Forwards a client's request and returns the response for the client.
///
/// `configuration_version` is the version of the gate's copy of the configuration; the primary decides by its
/// own copy.
pub(super) async fn forward(
    client: &ControlPlaneClient,
    configuration_version: u64,
    request: &Request,
) -> Response {
    let timeout = client_request::client_timeout(request).saturating_sub(RESPONSE_MARGIN);
    let deadline = Instant::now() + timeout;
    let request = match client_request::parse(request, configuration_version) {
        Ok(request) => request,
        Err(error) => return error.response(),
    };
    let Some(primary) = client.primary() else {
        return client_response::unavailable(client.outage_ms());
    };
    match attempt(client, &primary, &request, deadline).await {
        Attempt::Responded(response) => response,
        Attempt::NotExecuted => match successor_of(client, &primary) {
            Some(successor) => last_attempt(client, &successor, &request, deadline).await,
            None => client_response::unavailable(client.outage_ms()),
        },
        Attempt::Unknown if request.method == ClientMethod::Post => {
            client_response::unknown_outcome()
        }
        Attempt::Unknown => retry(client, &request, deadline).await,
    }
}

enum Attempt {
    /// The response for the client.
    Responded(Response),
    NotExecuted,
    Unknown,
}

async fn attempt(
    client: &ControlPlaneClient,
    primary: &Endpoint,
    request: &ClientRequest,
    deadline: Instant,
) -> Attempt {
    let remaining = deadline.saturating_duration_since(Instant::now());
    let timeout = remaining.clamp(MIN_ATTEMPT_TIMEOUT, MAX_ATTEMPT_TIMEOUT);
    let outcome = client
        .post(primary, CLIENT_REQUEST_PATH, request, timeout)
        .await;
    match outcome {
        RequestOutcome::Responded(response) => {
            Attempt::Responded(client_response::from_primary(&response))
        }
        RequestOutcome::NotExecuted => Attempt::NotExecuted,
        RequestOutcome::Unknown => Attempt::Unknown,
    }
}

/// The current primary, if its address differs from that of `former`.
fn successor_of(client: &ControlPlaneClient, former: &Endpoint) -> Option<Endpoint> {
    client
        .primary()
        .filter(|primary| primary.address() != former.address())
}

async fn last_attempt(
    client: &ControlPlaneClient,
    primary: &Endpoint,
    request: &ClientRequest,
    deadline: Instant,
) -> Response {
    match attempt(client, primary, request, deadline).await {
        Attempt::Responded(response) => response,
        Attempt::NotExecuted => client_response::unavailable(client.outage_ms()),
        Attempt::Unknown => client_response::unknown_outcome(),
    }
}

/// Retries a request that may be executed twice, each time as soon as a primary is known.
async fn retry(
    client: &ControlPlaneClient,
    request: &ClientRequest,
    deadline: Instant,
) -> Response {
    let latest_start = deadline.checked_sub(MIN_TIME_FOR_RETRY).unwrap_or(deadline);
    for _ in 0..MAX_RETRIES {
        let Some(primary) = client.wait_for_primary(latest_start).await else {
            break;
        };
        if let Attempt::Responded(response) = attempt(client, &primary, request, deadline).await {
            return response;
        }
    }
    client_response::unknown_outcome()
}
