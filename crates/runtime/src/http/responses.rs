//! Constructors for common HTTP responses.

use super::Response;
use ::http::header::{HeaderValue, CONTENT_TYPE};
use ::http::StatusCode;
use bytes::Bytes;
use serde::Serialize;

/// Creates a response without a body.
pub fn empty(status: StatusCode) -> Response {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}

/// Creates a plain-text response.
pub fn text(status: StatusCode, body: impl Into<String>) -> Response {
    with_body(
        status,
        "text/plain; charset=utf-8",
        Bytes::from(body.into()),
    )
}

/// Creates a JSON response. If the value cannot be encoded, the response has status 500 and a plain-text
/// body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => with_body(status, "application/json", Bytes::from(body)),
        Err(error) => text(
            StatusCode::INTERNAL_SERVER_ERROR,
            format!("the answer is not JSON: {error}\n"),
        ),
    }
}

fn with_body(status: StatusCode, content_type: &'static str, body: Bytes) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
