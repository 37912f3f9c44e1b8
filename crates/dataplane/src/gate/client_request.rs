//! Parses a client's HTTP request into the request that is forwarded to the primary.

use http::header::{HeaderValue, ALLOW, HOST};
use http::{Method, StatusCode};
use std::time::Duration;
use streamusher_protocol::internal::{ClientMethod, ClientRequest};
use streamusher_runtime::http::{text, Request, Response};

/// Request header that states how long the client waits for the response, in milliseconds from when it sends
/// the request.
pub const DEADLINE_HEADER: &str = "streamusher-deadline-ms";

/// How long a client waits if its request lacks [`DEADLINE_HEADER`].
const DEFAULT_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Reasons why the gate itself rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ClientRequestError {
    /// 405 Method Not Allowed.
    #[error("use POST, GET or DELETE")]
    Method,
    /// 400 Bad Request.
    #[error("the body is not UTF-8: send JSON")]
    BodyNotText,
}

impl ClientRequestError {
    pub(super) fn response(self) -> Response {
        let body = format!("{self}\n");
        match self {
            ClientRequestError::Method => {
                let mut response = text(StatusCode::METHOD_NOT_ALLOWED, body);
                let allowed = HeaderValue::from_static("POST, GET, DELETE");
                response.headers_mut().insert(ALLOW, allowed);
                response
            }
            ClientRequestError::BodyNotText => text(StatusCode::BAD_REQUEST, body),
        }
    }
}

/// Parses a client's request. `configuration_version` is the version of the gate's copy of the configuration;
/// the primary decides by its own copy.
pub(super) fn parse(
    request: &Request,
    configuration_version: u64,
) -> Result<ClientRequest, ClientRequestError> {
    let method = match *request.method() {
        Method::GET => ClientMethod::Get,
        Method::POST => ClientMethod::Post,
        Method::DELETE => ClientMethod::Delete,
        _ => return Err(ClientRequestError::Method),
    };
    let body = std::str::from_utf8(request.body()).map_err(|_| ClientRequestError::BodyNotText)?;
    let host = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default();
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    Ok(ClientRequest {
        method,
        host: host.into(),
        path: path.into(),
        body: body.into(),
        configuration_version,
    })
}

/// How long the client waits for the response.
pub(super) fn client_timeout(request: &Request) -> Duration {
    let header = request.headers().get(DEADLINE_HEADER);
    let text = header.and_then(|value| value.to_str().ok());
    let timeout_ms = text.and_then(|text| text.trim().parse::<u64>().ok());
    timeout_ms.map_or(DEFAULT_CLIENT_TIMEOUT, Duration::from_millis)
}
