//! Passing a client's call to the primary, and what the client is told when that fails.

use super::request;
use crate::core::{CoreLink, Outcome, Target};
use std::time::Duration;
use streamusher_protocol::internal::{ClientCall, ClientMethod, ClientReply, CLIENT_CALL_PATH};
use streamusher_runtime::http::{parse_json, Answer, Call};
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
/// `configuration` is the version of the gate's copy; the primary decides by its own.
pub async fn pass(link: &CoreLink, configuration: u64, call: &Call) -> Answer {
    let until = Instant::now() + request::deadline(call).saturating_sub(KEPT_FOR_CLIENT);
    let call = match request::read(call) {
        Ok(call) => ClientCall {
            configuration,
            ..call
        },
        Err(refusal) => return refusal.answer(),
    };
    let Some(first) = link.primary() else {
        return request::not_taken(link.outage());
    };
    match attempt(link, &first, &call, until).await {
        Attempt::Answered(answer) => answer,
        Attempt::NotDone => match other_primary(link, &first) {
            Some(second) => last_attempt(link, &second, &call, until).await,
            None => request::not_taken(link.outage()),
        },
        Attempt::Unknown if call.method == ClientMethod::Post => request::unknown(),
        Attempt::Unknown => repeat(link, &call, until).await,
    }
}

enum Attempt {
    Answered(Answer),
    NotDone,
    Unknown,
}

async fn attempt(link: &CoreLink, target: &Target, call: &ClientCall, until: Instant) -> Attempt {
    let left = until.saturating_duration_since(Instant::now());
    let deadline = left.clamp(SHORTEST_TRY, LONGEST_TRY);
    match link.post(target, CLIENT_CALL_PATH, call, deadline).await {
        Outcome::Answered(answer) => Attempt::Answered(reply(&answer)),
        Outcome::NotDone => Attempt::NotDone,
        Outcome::Unknown => Attempt::Unknown,
    }
}

fn reply(answer: &Answer) -> Answer {
    if !answer.status().is_success() {
        log::warn!(
            "the primary answered a client's call with {}",
            answer.status()
        );
        return request::not_understood();
    }
    match parse_json::<ClientReply>(answer.body()) {
        Ok(reply) => request::answer(&reply),
        Err(error) => {
            log::warn!("the primary's reply to a client: {error}");
            request::not_understood()
        }
    }
}

/// Another primary than the one that was just tried.
fn other_primary(link: &CoreLink, tried: &Target) -> Option<Target> {
    link.primary()
        .filter(|target| target.address() != tried.address())
}

async fn last_attempt(
    link: &CoreLink,
    target: &Target,
    call: &ClientCall,
    until: Instant,
) -> Answer {
    match attempt(link, target, call, until).await {
        Attempt::Answered(answer) => answer,
        Attempt::NotDone => request::not_taken(link.outage()),
        Attempt::Unknown => request::unknown(),
    }
}

/// Further tries of a call that can be repeated, whenever a primary answers.
async fn repeat(link: &CoreLink, call: &ClientCall, until: Instant) -> Answer {
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
