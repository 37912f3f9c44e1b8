//! What the worker is answered.

use super::orders::OrdersBook;
use super::worker::Worker;
use super::AgentSettings;
use streamusher_protocol::heartbeat::{HeartbeatResponse, StartCommand, StopCommand};
use streamusher_protocol::Millis;

/// Part of what is left of the lease that is granted, in thousandths: the worker's clock may run 2% slow.
const GRANTED_THOUSANDTHS: Millis = 970;

/// A start needs at least this hold, or it would lapse before the next heartbeat.
const LEAST_HOLD_FOR_START_MS: Millis = 500;

/// A worker drops an answer later than a second after its call; the rest is for the way.
const LATEST_START_MS: Millis = 900;

/// Starts in one answer: with the longest specs well below the 4 MiB that an answer may have.
const MOST_STARTS: usize = 400;

/// Next call while runs are at work or were just ordered: orders wait for it, and so does the news of an end.
const BUSY_RETRY_MS: Millis = 20;

/// Next call after an answer that was held: the waiting happens here, not there.
const IDLE_RETRY_MS: Millis = 20;

/// Next call while the primary is not reached, or while a draining worker has nothing at work.
const NO_CONTACT_RETRY_MS: Millis = 300;

/// Whether an answer now would tell the worker anything to do.
pub(super) fn has_orders(
    settings: &AgentSettings,
    book: &OrdersBook,
    worker: &Worker,
    now: Millis,
) -> bool {
    let hold_ms = hold(settings, book, worker).unwrap_or(0);
    let starts = may_start(worker, hold_ms, now)
        && book
            .starts(&worker.instance)
            .iter()
            .any(|s| worker.wants_start(s));
    starts
        || book
            .stops(&worker.instance)
            .iter()
            .any(|stop| worker.wants_stop(stop))
}

/// The answer to the worker's newest heartbeat; notes at the worker what it hands on.
pub(super) fn answer(
    settings: &AgentSettings,
    book: &OrdersBook,
    worker: &mut Worker,
    now: Millis,
    with_starts: bool,
) -> HeartbeatResponse {
    let hold_ms = hold(settings, book, worker);
    let start = match with_starts && may_start(worker, hold_ms.unwrap_or(0), now) {
        true => starts(book, worker),
        false => Vec::new(),
    };
    let stop = stops(book, worker);
    let used = !start.is_empty() || !worker.heartbeat.running.is_empty();
    let hold_ms = hold_ms.filter(|_| used);
    worker.note_orders(&start, &stop);
    if let Some(hold_ms) = hold_ms {
        worker.note_hold(hold_ms);
    }
    HeartbeatResponse {
        hold_ms,
        last_seen: book.last_seen(&worker.instance),
        fence_token: book.epoch(),
        retry_after_ms: Some(retry_after(book, worker, now, !start.is_empty())),
        start,
        stop,
    }
}

/// The answer to a call that is not the newest, or not of this worker: nothing is ordered by it.
pub(super) fn plain(book: &OrdersBook) -> HeartbeatResponse {
    HeartbeatResponse {
        fence_token: book.epoch(),
        ..HeartbeatResponse::default()
    }
}

/// What may be granted in an answer to the newest heartbeat, counted from its sending, which was before its receipt.
fn hold(settings: &AgentSettings, book: &OrdersBook, worker: &Worker) -> Option<Millis> {
    let left = book.lease_until().saturating_sub(worker.received_at);
    let granted = left.saturating_mul(GRANTED_THOUSANDTHS) / 1_000;
    Some(granted.min(settings.longest_grant_ms())).filter(|hold_ms| *hold_ms > 0)
}

fn may_start(worker: &Worker, hold_ms: Millis, now: Millis) -> bool {
    let in_time = now.saturating_sub(worker.received_at) <= LATEST_START_MS;
    worker.is_ready() && in_time && hold_ms >= LEAST_HOLD_FOR_START_MS
}

fn starts(book: &OrdersBook, worker: &Worker) -> Vec<StartCommand> {
    let ordered = book.starts(&worker.instance).iter();
    ordered
        .filter(|start| worker.wants_start(start))
        .take(MOST_STARTS)
        .cloned()
        .collect()
}

fn stops(book: &OrdersBook, worker: &Worker) -> Vec<StopCommand> {
    let ordered = book.stops(&worker.instance).iter();
    ordered
        .filter(|stop| worker.wants_stop(stop))
        .cloned()
        .collect()
}

fn retry_after(book: &OrdersBook, worker: &Worker, now: Millis, starting: bool) -> Millis {
    if book.lease_until() <= now {
        return NO_CONTACT_RETRY_MS;
    }
    match worker.heartbeat.running.is_empty() {
        _ if starting => BUSY_RETRY_MS,
        true if worker.is_draining() => NO_CONTACT_RETRY_MS,
        true => IDLE_RETRY_MS,
        false => BUSY_RETRY_MS,
    }
}
