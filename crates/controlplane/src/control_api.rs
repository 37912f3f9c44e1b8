//! The HTTP control interface for operators. The primary executes their requests; other machines redirect to
//! the primary.

use crate::control_machine::ControlMachine;
use crate::driver::{ControlOutcome, ControlRequest};
use http::header::{ALLOW, CONTENT_TYPE, LOCATION, RETRY_AFTER};
use http::{HeaderValue, Method, StatusCode};
use std::sync::Arc;
use streamusher_protocol::config::{BASE_VERSION_HEADER, READ_PATH, REPLACE_PATH, UPDATE_PATH};
use streamusher_protocol::heartbeat::{DEREGISTER_PATH, HEARTBEAT_PATH};
use streamusher_protocol::internal::ClusterView;
use streamusher_runtime::http::{empty, text, Request, Response};
use streamusher_scheduler::{
    OperatorRequest, OperatorRequestKind, OperatorResponse, SchedulerResponse,
};

/// Reason why an operator's request is rejected as malformed; the text is the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum OperatorRequestError {
    #[error(
        "header {BASE_VERSION_HEADER}: name the version that the change builds on, 0 for the first"
    )]
    BaseVersion,
    #[error("the body is not UTF-8: send JSON")]
    Encoding,
}

/// Handles a request to the control port; `own_address` is this machine's control `ip:port`.
pub(crate) async fn serve(
    machine: ControlMachine,
    own_address: Arc<str>,
    request: Request,
) -> Response {
    let path = request.uri().path().to_owned();
    let Some(kind) = request_kind(&path) else {
        return not_served(&path);
    };
    let method = method_of(kind);
    if request.method() != method {
        return method_not_allowed(&method);
    }
    let request = match parse_request(kind, &request) {
        Ok(request) => request,
        Err(error) => return text(StatusCode::BAD_REQUEST, format!("{error}\n")),
    };
    let outcome = machine.execute(ControlRequest::Operator(request)).await;
    response_to(outcome, &own_address, &path)
}

/// The HTTP response for the outcome of an operator's request to `path`; `own_address` is this machine's
/// control `ip:port`.
pub fn response_to(outcome: ControlOutcome, own_address: &str, path: &str) -> Response {
    match outcome {
        ControlOutcome::Response(SchedulerResponse::Operator(response)) => to_http(&response),
        ControlOutcome::Response(_) => text(
            StatusCode::INTERNAL_SERVER_ERROR,
            "not an operator's reply\n",
        ),
        ControlOutcome::NotPrimary(view) => redirect_to_primary(&view, own_address, path),
        ControlOutcome::Unknown => text(
            StatusCode::GATEWAY_TIMEOUT,
            "outcome unknown: send the same order again\n",
        ),
    }
}

fn request_kind(path: &str) -> Option<OperatorRequestKind> {
    match path {
        REPLACE_PATH => Some(OperatorRequestKind::Replace),
        UPDATE_PATH => Some(OperatorRequestKind::Update),
        READ_PATH => Some(OperatorRequestKind::Read),
        _ => None,
    }
}

fn method_of(kind: OperatorRequestKind) -> Method {
    match kind {
        OperatorRequestKind::Read => Method::GET,
        OperatorRequestKind::Replace | OperatorRequestKind::Update => Method::POST,
    }
}

fn parse_request(
    kind: OperatorRequestKind,
    request: &Request,
) -> Result<OperatorRequest, OperatorRequestError> {
    if kind == OperatorRequestKind::Read {
        return Ok(OperatorRequest {
            kind,
            base: None,
            body: "".into(),
        });
    }
    let base = base_version(request).ok_or(OperatorRequestError::BaseVersion)?;
    let body = std::str::from_utf8(request.body()).map_err(|_| OperatorRequestError::Encoding)?;
    Ok(OperatorRequest {
        kind,
        base: Some(base),
        body: body.into(),
    })
}

/// The version that a change is based on; `None` if the header is missing, repeated or not a number.
fn base_version(request: &Request) -> Option<u64> {
    let mut values = request.headers().get_all(BASE_VERSION_HEADER).iter();
    let value = values.next()?.to_str().ok()?.trim().parse().ok()?;
    values.next().is_none().then_some(value)
}

fn to_http(response: &OperatorResponse) -> Response {
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut http_response = text(status, &*response.body);
    http_response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    http_response
}

/// Redirects to the primary if it is known and is another machine: a primary without a lease must not
/// redirect to itself.
fn redirect_to_primary(view: &ClusterView, own_address: &str, path: &str) -> Response {
    let Some(location) = primary_location(view, own_address, path) else {
        return no_primary();
    };
    let mut response = empty(StatusCode::TEMPORARY_REDIRECT);
    response.headers_mut().insert(LOCATION, location);
    response
}

fn primary_location(view: &ClusterView, own_address: &str, path: &str) -> Option<HeaderValue> {
    let primary = view.primary.as_ref()?;
    if &*primary.control == own_address {
        return None;
    }
    HeaderValue::from_str(&format!("http://{}{path}", primary.control)).ok()
}

fn no_primary() -> Response {
    let mut response = text(
        StatusCode::SERVICE_UNAVAILABLE,
        "no primary is known just now: try again\n",
    );
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

fn not_served(path: &str) -> Response {
    if path.starts_with(HEARTBEAT_PATH) || path.starts_with(DEREGISTER_PATH) {
        return text(
            StatusCode::SERVICE_UNAVAILABLE,
            "workers call the agent of their own machine\n",
        );
    }
    text(
        StatusCode::NOT_FOUND,
        format!("nothing is served at {path} on the control port\n"),
    )
}

fn method_not_allowed(allowed: &Method) -> Response {
    let mut response = text(StatusCode::METHOD_NOT_ALLOWED, format!("use {allowed}\n"));
    if let Ok(value) = HeaderValue::from_str(allowed.as_str()) {
        response.headers_mut().insert(ALLOW, value);
    }
    response
}
