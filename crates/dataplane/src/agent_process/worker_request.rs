//! Parses the worker's HTTP requests: `POST` to the heartbeat or deregistration path, followed by an instance
//! id.

use http::{Method, StatusCode};
use std::sync::Arc;
use streamusher_protocol::heartbeat::{Heartbeat, DEREGISTER_PATH, HEARTBEAT_PATH};
use streamusher_runtime::http::{parse_json, text, BodyError, Request, Response};

/// Longest instance id accepted.
const MAX_INSTANCE_BYTES: usize = 200;

/// A worker's request, with the instance id from its path.
#[derive(Debug)]
pub(super) enum WorkerRequest {
    Heartbeat(Arc<str>),
    Deregister(Arc<str>),
}

/// Reasons why a request at the worker's listener is rejected.
#[derive(Debug, thiserror::Error)]
pub(super) enum WorkerRequestError {
    /// 405 Method Not Allowed.
    #[error("heartbeats are sent with POST")]
    Method,
    /// 404 Not Found.
    #[error("post to {HEARTBEAT_PATH}ID or {DEREGISTER_PATH}ID")]
    Path,
    /// 400 Bad Request.
    #[error("heartbeat: {0}")]
    Heartbeat(BodyError),
}

impl WorkerRequestError {
    pub(super) fn response(&self) -> Response {
        let status = match self {
            WorkerRequestError::Method => StatusCode::METHOD_NOT_ALLOWED,
            WorkerRequestError::Path => StatusCode::NOT_FOUND,
            WorkerRequestError::Heartbeat(_) => StatusCode::BAD_REQUEST,
        };
        text(status, format!("{self}\n"))
    }
}

/// Parses method and path of a request.
pub(super) fn parse(request: &Request) -> Result<WorkerRequest, WorkerRequestError> {
    if request.method() != Method::POST {
        return Err(WorkerRequestError::Method);
    }
    let path = request.uri().path();
    if let Some(instance) = instance_after(HEARTBEAT_PATH, path) {
        return Ok(WorkerRequest::Heartbeat(instance));
    }
    match instance_after(DEREGISTER_PATH, path) {
        Some(instance) => Ok(WorkerRequest::Deregister(instance)),
        None => Err(WorkerRequestError::Path),
    }
}

/// Parses the body of a heartbeat.
pub(super) fn parse_heartbeat(request: &Request) -> Result<Heartbeat, WorkerRequestError> {
    parse_json(request.body()).map_err(WorkerRequestError::Heartbeat)
}

fn instance_after(prefix: &str, path: &str) -> Option<Arc<str>> {
    let instance = path.strip_prefix(prefix)?;
    let is_valid =
        !instance.is_empty() && !instance.contains('/') && instance.len() <= MAX_INSTANCE_BYTES;
    is_valid.then(|| instance.into())
}
