//! Converts the primary's responses, and failures to obtain one, into responses for clients.

use http::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use http::StatusCode;
use streamusher_protocol::internal::ClientResponse;
use streamusher_protocol::Millis;
use streamusher_runtime::http::{parse_json, text, Response};

/// Bounds of `Retry-After` while no primary is known. The minimum is the usual remaining time of a failover.
/// The value then grows with the duration of the outage, so that a client with few retries outlasts a long
/// outage.
const MIN_RETRY_AFTER_MS: Millis = 250;
const MAX_RETRY_AFTER_MS: Millis = 2_000;

/// Converts the primary's response to the gate into the response for the client; 502 if it cannot be parsed.
pub(super) fn from_primary(response: &Response) -> Response {
    let status = response.status();
    if !status.is_success() {
        log::warn!("unexpected status {status} from the primary for a client request");
        return malformed();
    }
    match parse_json::<ClientResponse>(response.body()) {
        Ok(response) => decode(&response),
        Err(error) => {
            log::warn!("malformed response from the primary to a client request: {error}");
            malformed()
        }
    }
}

fn decode(client_response: &ClientResponse) -> Response {
    let Ok(status) = StatusCode::from_u16(client_response.status) else {
        return malformed();
    };
    let body = bytes::Bytes::copy_from_slice(client_response.body.as_bytes());
    let mut response = Response::new(body);
    *response.status_mut() = status;
    if !client_response.body.is_empty() {
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
    }
    if let Some(retry_after_ms) = client_response.retry_after_ms {
        set_retry_after(&mut response, retry_after_ms);
    }
    response
}

/// Builds the 503 response to a request that was not executed and will not be. `outage_ms` is the time for
/// which no primary has been known.
pub(super) fn unavailable(outage_ms: Millis) -> Response {
    log::info!("client request rejected with 503: no primary available");
    let body = "no primary takes calls now: come back\n";
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, body);
    set_retry_after(&mut response, retry_after_outage_ms(outage_ms));
    response
}

/// Delay before a client should retry, if no primary has been known for `outage_ms`.
pub fn retry_after_outage_ms(outage_ms: Millis) -> Millis {
    outage_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
}

/// Builds the 502 response to a request that may have been executed.
pub(super) fn unknown_outcome() -> Response {
    let body = "the primary did not answer: send the same id again\n";
    text(StatusCode::BAD_GATEWAY, body)
}

/// Builds the 502 response for a reply of the primary that cannot be parsed.
fn malformed() -> Response {
    let body = "the primary's reply was not understood: send the same id again\n";
    text(StatusCode::BAD_GATEWAY, body)
}

/// Sets `Retry-After` in seconds, with decimals if the value is not whole, as the operators' documentation
/// specifies.
fn set_retry_after(response: &mut Response, retry_after_ms: Millis) {
    let seconds = retry_after_ms.max(1) as f64 / 1_000.0;
    if let Ok(value) = HeaderValue::try_from(seconds.to_string()) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
}
