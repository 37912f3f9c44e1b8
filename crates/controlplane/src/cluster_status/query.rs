//! Queries for the status of processes; further control machines are found from the responses.

use bytes::Bytes;
use http::{Method, StatusCode, Uri};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use streamusher_protocol::internal::{ExplainRequest, EXPLAIN_PATH, STATUS_PATH};
use streamusher_runtime::http::{Client, Request, RequestError, Response};
use tokio::task::JoinSet;

/// How long a response may take: a machine that is up responds within milliseconds, also when it is busy.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Addresses come from responses; there are never so many control machines.
const MAX_QUERIED: usize = 64;

/// Why a process gave no status. The text is part of `status --json`.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// There was no response.
    #[error(transparent)]
    Request(#[from] RequestError),
    /// The response is no success.
    #[error("answered {0}: name the internal ip:port of a process")]
    Status(StatusCode),
    /// The response is not JSON.
    #[error("the answer is not a status: {0}")]
    Body(serde_json::Error),
}

/// Why the primary explained nothing.
#[derive(Debug, thiserror::Error)]
pub enum ExplainError {
    /// No process acts as primary.
    #[error("no primary acts: look at the status")]
    NoPrimary,
    /// The question cannot be encoded.
    #[error("the question cannot be encoded: {0}")]
    Encoding(serde_json::Error),
    /// There was no response.
    #[error(transparent)]
    Request(#[from] RequestError),
    /// The primary knows nothing of it; the text is its reason.
    #[error("{0}")]
    Unknown(String),
    /// The response is not JSON.
    #[error("the answer is not understood: {0}")]
    Body(serde_json::Error),
}

/// The status of each process by its internal address, or why there is none.
pub type StatusResponses = BTreeMap<SocketAddr, Result<Value, QueryError>>;

/// Queries the processes at `addresses` and all control machines that their responses name. Within a `LocalSet`.
pub async fn query_all(addresses: Vec<SocketAddr>) -> StatusResponses {
    let mut responses = StatusResponses::new();
    let mut next: BTreeSet<SocketAddr> = addresses.into_iter().collect();
    while !next.is_empty() {
        let mut queries = JoinSet::new();
        for address in std::mem::take(&mut next) {
            queries.spawn_local(async move { (address, query(address).await) });
        }
        while let Some(finished) = queries.join_next().await {
            // A task that panicked is one without a response.
            let Ok((address, response)) = finished else {
                continue;
            };
            if let Ok(status) = &response {
                next.extend(control_machines_in(status));
            }
            responses.insert(address, response);
        }
        next.retain(|address| !responses.contains_key(address));
        while next.len() + responses.len() > MAX_QUERIED && next.pop_last().is_some() {}
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

/// What the primary at `address` knows of one job or user.
///
/// # Errors
/// See [`ExplainError`].
pub async fn explain(
    address: SocketAddr,
    question: &ExplainRequest,
) -> Result<Value, ExplainError> {
    let body = serde_json::to_vec(question).map_err(ExplainError::Encoding)?;
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

/// Internal addresses of the control machines that a status names: those in a control machine's record, or those that a
/// process of the data plane knows.
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
