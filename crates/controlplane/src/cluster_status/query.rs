//! Queries for the status of processes. Responses name further control machines, which are queried in turn.

use bytes::Bytes;
use http::{Method, StatusCode, Uri};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use streamusher_protocol::internal::{ExplainRequest, EXPLAIN_PATH, STATUS_PATH};
use streamusher_runtime::http::{Client, Request, RequestError, Response};
use tokio::task::JoinSet;

/// Timeout of a response: a running machine responds within milliseconds, also under load.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of queried processes. Addresses come from responses, and no cluster has this many control
/// machines.
const MAX_QUERIED: usize = 64;

/// Reason why no status was obtained from a process. The text is part of the output of `status --json`.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// No response was received.
    #[error(transparent)]
    Request(#[from] RequestError),
    /// The response has an HTTP status that is not a success.
    #[error("responded with status {0}: give the internal ip:port of a process")]
    Status(StatusCode),
    /// The response is not JSON.
    #[error("the response is not a status document: {0}")]
    Body(serde_json::Error),
}

/// Reason why no explanation was obtained from the primary.
#[derive(Debug, thiserror::Error)]
pub enum ExplainError {
    /// No process is the acting primary.
    #[error("no acting primary: run the command status")]
    NoPrimary,
    /// The request cannot be encoded.
    #[error("cannot encode the request: {0}")]
    Encoding(serde_json::Error),
    /// No response was received.
    #[error(transparent)]
    Request(#[from] RequestError),
    /// The primary has no information about the subject; the text is the reason that it gave.
    #[error("{0}")]
    Unknown(String),
    /// The response is not JSON.
    #[error("cannot decode the response: {0}")]
    Body(serde_json::Error),
}

/// The status of each process by its internal address, or the error of its query.
pub type StatusResponses = BTreeMap<SocketAddr, Result<Value, QueryError>>;

/// Queries the processes at `addresses` and all control machines that their responses name. Must be called
/// within a `LocalSet`.
pub async fn query_all(addresses: Vec<SocketAddr>) -> StatusResponses {
    let mut responses = StatusResponses::new();
    let mut pending_addresses: BTreeSet<SocketAddr> = addresses.into_iter().collect();
    while !pending_addresses.is_empty() {
        let mut queries = JoinSet::new();
        for address in std::mem::take(&mut pending_addresses) {
            queries.spawn_local(async move { (address, query(address).await) });
        }
        while let Some(finished) = queries.join_next().await {
            // A query task that panicked counts as one without a response.
            let Ok((address, response)) = finished else {
                continue;
            };
            if let Ok(status) = &response {
                pending_addresses.extend(control_machines_in(status));
            }
            responses.insert(address, response);
        }
        pending_addresses.retain(|address| !responses.contains_key(address));
        while pending_addresses.len() + responses.len() > MAX_QUERIED
            && pending_addresses.pop_last().is_some()
        {}
    }
    responses
}

async fn query(address: SocketAddr) -> Result<Value, QueryError> {
    let response = send(address, Method::GET, STATUS_PATH, Bytes::new()).await?;
    if !response.status().is_success() {
        return Err(QueryError::Status(response.status()));
    }
    serde_json::from_slice(response.body()).map_err(QueryError::Body)
}

/// Queries the primary at `address` for its explanation of one job or user.
///
/// # Errors
/// See [`ExplainError`].
pub async fn explain(
    address: SocketAddr,
    explain_request: &ExplainRequest,
) -> Result<Value, ExplainError> {
    let body = serde_json::to_vec(explain_request).map_err(ExplainError::Encoding)?;
    let response = send(address, Method::POST, EXPLAIN_PATH, Bytes::from(body)).await?;
    if !response.status().is_success() {
        let reason = String::from_utf8_lossy(response.body());
        return Err(ExplainError::Unknown(reason.trim().to_owned()));
    }
    serde_json::from_slice(response.body()).map_err(ExplainError::Body)
}

async fn send(
    address: SocketAddr,
    method: Method,
    path: &'static str,
    body: Bytes,
) -> Result<Response, RequestError> {
    let mut request = Request::new(body);
    *request.method_mut() = method;
    *request.uri_mut() = Uri::from_static(path);
    Client::new(address).send(request, RESPONSE_TIMEOUT).await
}

/// Internal addresses of the control machines that a status names: the members in a control machine's record,
/// or those that a data plane process knows.
fn control_machines_in(status: &Value) -> Vec<SocketAddr> {
    let recorded = addresses_at(status, "/core/record/members", "/address/internal");
    let viewed = addresses_at(status, "/control_plane/members", "/internal");
    [recorded, viewed].concat()
}

fn addresses_at(status: &Value, members: &str, address: &str) -> Vec<SocketAddr> {
    let members = status.pointer(members).and_then(Value::as_array);
    members
        .into_iter()
        .flatten()
        .filter_map(|member| member.pointer(address)?.as_str()?.parse().ok())
        .collect()
}
