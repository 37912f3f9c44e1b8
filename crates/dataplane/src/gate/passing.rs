//! Passing a client's call to the primary, and what the client is told when that fails.

use super::request;
use crate::control_plane::{ControlPlaneClient, Endpoint, RequestOutcome};
use std::time::Duration;
use streamusher_protocol::internal::{
    ClientMethod, ClientRequest, ClientResponse, CLIENT_REQUEST_PATH,
};
use streamusher_runtime::http::{parse_json, Request, Response};
use tokio::time::Instant;

/// Kept of the client's time for the way back.
const KEPT_FOR_CLIENT: Duration = Duration::from_millis(150);

/// The longest wait for the primary: a committed change takes far less.
const LONGEST_TRY: Duration = Duration::from_millis(1_500);

/// A try gets at least this, however little time the client gives.
const SHORTEST_TRY: Duration = Duration::from_millis(50);

/// A further try needs as much left.
const WORTH_A_TRY: Duration = Duration::from_millis(100);

/// Further tries of one call: more would only add to the load of a primary in trouble.
const MOST_REPEATS: u32 = 3;

/// Answers a client's call.
///
/// A call that surely was not carried out is tried once more where another primary is known, or refused with 503. One
/// that may have been is answered with 502 if it hands a job in: the client sends the same id again. GET and DELETE may
/// be carried out twice, so they are tried again while the client's time lasts.
///
/// `configuration_version` is the version of the gate's copy; the primary decides by its own.
pub async fn pass(
    link: &ControlPlaneClient,
    configuration_version: u64,
    call: &Request,
) -> Response {
    let until = Instant::now() + request::deadline(call).saturating_sub(KEPT_FOR_CLIENT);
    let call = match request::read(call) {
        Ok(call) => ClientRequest {
            configuration_version,
            ..call
        },
        Err(refusal) => return refusal.answer(),
    };
    let Some(first) = link.primary() else {
        return request::not_taken(link.outage_ms());
    };
    match attempt(link, &first, &call, until).await {
        Attempt::Answered(answer) => answer,
        Attempt::NotDone => match other_primary(link, &first) {
            Some(second) => last_attempt(link, &second, &call, until).await,
            None => request::not_taken(link.outage_ms()),
        },
        Attempt::Unknown if call.method == ClientMethod::Post => request::unknown(),
        Attempt::Unknown => repeat(link, &call, until).await,
    }
}

enum Attempt {
    Answered(Response),
    NotDone,
    Unknown,
}

async fn attempt(
    link: &ControlPlaneClient,
    target: &Endpoint,
    call: &ClientRequest,
    until: Instant,
) -> Attempt {
    let left = until.saturating_duration_since(Instant::now());
    let deadline = left.clamp(SHORTEST_TRY, LONGEST_TRY);
    match link.post(target, CLIENT_REQUEST_PATH, call, deadline).await {
        RequestOutcome::Responded(answer) => Attempt::Answered(reply(&answer)),
        RequestOutcome::NotExecuted => Attempt::NotDone,
        RequestOutcome::Unknown => Attempt::Unknown,
    }
}

fn reply(answer: &Response) -> Response {
    if !answer.status().is_success() {
        log::warn!(
            "the primary answered a client's call with {}",
            answer.status()
        );
        return request::not_understood();
    }
    match parse_json::<ClientResponse>(answer.body()) {
        Ok(reply) => request::answer(&reply),
        Err(error) => {
            log::warn!("the primary's reply to a client: {error}");
            request::not_understood()
        }
    }
}

/// Another primary than the one that was just tried.
fn other_primary(link: &ControlPlaneClient, tried: &Endpoint) -> Option<Endpoint> {
    link.primary()
        .filter(|target| target.address() != tried.address())
}

async fn last_attempt(
    link: &ControlPlaneClient,
    target: &Endpoint,
    call: &ClientRequest,
    until: Instant,
) -> Response {
    match attempt(link, target, call, until).await {
        Attempt::Answered(answer) => answer,
        Attempt::NotDone => request::not_taken(link.outage_ms()),
        Attempt::Unknown => request::unknown(),
    }
}

/// Further tries of a call that can be repeated, whenever a primary answers.
async fn repeat(link: &ControlPlaneClient, call: &ClientRequest, until: Instant) -> Response {
    let latest = until.checked_sub(WORTH_A_TRY).unwrap_or(until);
    for _ in 0..MOST_REPEATS {
        let Some(target) = link.wait_for_primary(latest).await else {
            break;
        };
        if let Attempt::Answered(answer) = attempt(link, &target, call, until).await {
            return answer;
        }
    }
    request::unknown()
}
