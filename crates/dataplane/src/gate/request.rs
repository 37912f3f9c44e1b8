//! Clients' requests as the primary reads them, and its replies as clients read them.

use http::header::{HeaderValue, ALLOW, CONTENT_TYPE, HOST, RETRY_AFTER};
use http::{Method, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use streamusher_protocol::internal::{ClientMethod, ClientRequest, ClientResponse};
use streamusher_protocol::Millis;
use streamusher_runtime::http::{text, Request, Response};

/// Header that tells how long the client waits, in milliseconds from its sending.
pub const DEADLINE_HEADER: &str = "streamusher-deadline-ms";

/// How long clients wait that do not say it.
const DEFAULT_DEADLINE: Duration = Duration::from_millis(3_000);

/// When a client comes back that was refused for want of a primary: after the usual rest of a takeover at first, and as the
/// outage lasts after as long again, so that its few tries reach beyond a long one.
const FIRST_RETRY_MS: Millis = 250;
const LONGEST_RETRY_MS: Millis = 2_000;

/// Why a request is refused by the gate itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// 405.
    #[error("use POST, GET or DELETE")]
    Method,
    /// 400.
    #[error("the body is not UTF-8: send JSON")]
    NotText,
}

impl Refusal {
    /// What the client is told.
    pub fn answer(self) -> Response {
        let status = match self {
            Refusal::Method => StatusCode::METHOD_NOT_ALLOWED,
            Refusal::NotText => StatusCode::BAD_REQUEST,
        };
        let mut answer = text(status, format!("{self}\n"));
        if self == Refusal::Method {
            answer
                .headers_mut()
                .insert(ALLOW, HeaderValue::from_static("POST, GET, DELETE"));
        }
        answer
    }
}

/// Reads a client's request.
///
/// # Errors
/// Another method, or a body that is not text.
pub fn read(call: &Request) -> Result<ClientRequest, Refusal> {
    let method = match *call.method() {
        Method::GET => ClientMethod::Get,
        Method::POST => ClientMethod::Post,
        Method::DELETE => ClientMethod::Delete,
        _ => return Err(Refusal::Method),
    };
    let body = std::str::from_utf8(call.body()).map_err(|_| Refusal::NotText)?;
    let host = call
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default();
    let path = call
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    Ok(ClientRequest {
        method,
        host: host.into(),
        path: path.into(),
        body: body.into(),
        configuration_version: 0,
    })
}

/// How long the client waits for its answer.
pub(super) fn deadline(call: &Request) -> Duration {
    let given = call
        .headers()
        .get(DEADLINE_HEADER)
        .and_then(|value| value.to_str().ok());
    let given = given.and_then(|value| value.trim().parse::<u64>().ok());
    given.map_or(DEFAULT_DEADLINE, Duration::from_millis)
}

/// The primary's reply for the client.
pub(super) fn answer(reply: &ClientResponse) -> Response {
    let Ok(status) = StatusCode::from_u16(reply.status) else {
        return not_understood();
    };
    let mut answer = Response::new(body(&reply.body));
    *answer.status_mut() = status;
    if !reply.body.is_empty() {
        answer
            .headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    if let Some(retry_after_ms) = reply.retry_after_ms {
        set_retry_after(&mut answer, retry_after_ms);
    }
    answer
}

fn body(text: &Arc<str>) -> bytes::Bytes {
    bytes::Bytes::copy_from_slice(text.as_bytes())
}

/// 503: the call was not taken, and will not be. `outage` is how long no primary has been known.
pub(super) fn not_taken(outage: Millis) -> Response {
    log::info!("a client's call is refused: no primary takes it");
    let mut answer = text(
        StatusCode::SERVICE_UNAVAILABLE,
        "no primary takes calls now: come back\n",
    );
    set_retry_after(&mut answer, retry_after_outage(outage));
    answer
}

/// When a client comes back while no primary has been known for `outage`.
pub fn retry_after_outage(outage: Millis) -> Millis {
    outage.clamp(FIRST_RETRY_MS, LONGEST_RETRY_MS)
}

/// 502: the call may have been taken.
pub(super) fn unknown() -> Response {
    text(
        StatusCode::BAD_GATEWAY,
        "the primary did not answer: send the same id again\n",
    )
}

/// 502: the primary said what is no reply.
pub(super) fn not_understood() -> Response {
    text(
        StatusCode::BAD_GATEWAY,
        "the primary's reply was not understood: send the same id again\n",
    )
}

/// Seconds, with decimals where they are not whole, as clients of this protocol read them.
fn set_retry_after(answer: &mut Response, retry_after_ms: Millis) {
    let seconds = retry_after_ms.max(1) as f64 / 1_000.0;
    if let Ok(value) = HeaderValue::try_from(seconds.to_string()) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
}
