//! The control interface: operators' orders, carried out by the primary; the others name it.

use crate::driver::{ControlOutcome, ControlRequest};
use crate::machine::Machine;
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

/// Answers a call on the control port; `me` is this machine's control `ip:port`.
pub async fn answer(machine: Machine, me: Arc<str>, call: Request) -> Response {
    let path = call.uri().path().to_owned();
    let Some(kind) = kind_of(&path) else {
        return not_served(&path);
    };
    let wanted = match kind {
        OperatorRequestKind::Read => Method::GET,
        OperatorRequestKind::Replace | OperatorRequestKind::Update => Method::POST,
    };
    if call.method() != wanted {
        return wrong_method(&wanted);
    }
    let order = match order_of(kind, &call) {
        Ok(order) => order,
        Err(refusal) => return *refusal,
    };
    match machine.call(ControlRequest::Operator(order)).await {
        ControlOutcome::Reply(SchedulerResponse::Operator(reply)) => answer_of(&reply),
        ControlOutcome::Reply(_) => text(
            StatusCode::INTERNAL_SERVER_ERROR,
            "not an operator's reply\n",
        ),
        ControlOutcome::NotPrimary(view) => elsewhere(&view, &me, &path),
        ControlOutcome::Unknown => text(
            StatusCode::GATEWAY_TIMEOUT,
            "outcome unknown: send the same order again\n",
        ),
    }
}

fn kind_of(path: &str) -> Option<OperatorRequestKind> {
    match path {
        REPLACE_PATH => Some(OperatorRequestKind::Replace),
        UPDATE_PATH => Some(OperatorRequestKind::Update),
        READ_PATH => Some(OperatorRequestKind::Read),
        _ => None,
    }
}

fn order_of(kind: OperatorRequestKind, call: &Request) -> Result<OperatorRequest, Box<Response>> {
    if kind == OperatorRequestKind::Read {
        return Ok(OperatorRequest {
            kind,
            base: None,
            body: "".into(),
        });
    }
    let Some(base) = base_version(call) else {
        let reason = format!(
            "header {BASE_VERSION_HEADER}: name the version that the change builds on, 0 for the first\n"
        );
        return Err(Box::new(text(StatusCode::BAD_REQUEST, reason)));
    };
    let Ok(body) = std::str::from_utf8(call.body()) else {
        return Err(Box::new(text(
            StatusCode::BAD_REQUEST,
            "the body is not UTF-8: send JSON\n",
        )));
    };
    Ok(OperatorRequest {
        kind,
        base: Some(base),
        body: body.into(),
    })
}

fn base_version(call: &Request) -> Option<u64> {
    let mut values = call.headers().get_all(BASE_VERSION_HEADER).iter();
    let value = values.next()?.to_str().ok()?.trim().parse().ok()?;
    values.next().is_none().then_some(value)
}

fn answer_of(reply: &OperatorResponse) -> Response {
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut answer = text(status, &*reply.body);
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

/// Names the primary, or says that there is none just now. A primary without a lease does not name itself.
fn elsewhere(view: &ClusterView, me: &str, path: &str) -> Response {
    let primary = view
        .primary
        .as_ref()
        .filter(|primary| &*primary.control != me);
    let location = primary.and_then(|primary| {
        HeaderValue::from_str(&format!("http://{}{path}", primary.control)).ok()
    });
    let Some(location) = location else {
        return no_primary();
    };
    let mut answer = empty(StatusCode::TEMPORARY_REDIRECT);
    answer.headers_mut().insert(LOCATION, location);
    answer
}

fn no_primary() -> Response {
    let mut answer = text(
        StatusCode::SERVICE_UNAVAILABLE,
        "no primary is known just now: try again\n",
    );
    answer
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from_static("1"));
    answer
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

fn wrong_method(wanted: &Method) -> Response {
    let mut answer = text(StatusCode::METHOD_NOT_ALLOWED, format!("use {wanted}\n"));
    if let Ok(allowed) = HeaderValue::from_str(wanted.as_str()) {
        answer.headers_mut().insert(ALLOW, allowed);
    }
    answer
}
