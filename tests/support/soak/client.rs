//! Client of the soak: sends one request after another on a connection that it keeps for as long as the
//! connection is open.

use super::super::restarts::{Receipt, CLASSES};
use super::super::{read_message, Message};
use super::instance::{End, Instance};
use super::Shared;
use rand::Rng;
use rand_pcg::Pcg64;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const CLIENT_TIME: Duration = Duration::from_secs(3);
/// Read time-out. A response that is missing after this time does not arrive any more, even on a busy
/// machine.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// A request may cross the close of an idle connection. If the connection ends later than this after the
/// request was sent, the dispatcher had read the request.
const MAX_CROSSING: Duration = Duration::from_secs(1);
const TENANTS: u32 = 50;
/// Pause after a failed connection attempt.
const RECONNECT_PAUSE: Duration = Duration::from_millis(5);

/// Outcomes of all requests.
#[derive(Default)]
pub(super) struct Outcomes {
    pub(super) receipts: Vec<Receipt>,
    pub(super) statuses: BTreeMap<u16, u64>,
    /// Number of requests whose connection ended without a response.
    pub(super) broken: u64,
}

struct Connection {
    stream: TcpStream,
    opened: Instant,
}

/// Sends requests until the soak is over.
pub(super) fn run(shared: &Shared, mut random: Pcg64) {
    let mut at = random.random_range(0..shared.instances.len());
    let mut connection = None;
    while !shared.is_over() {
        let instance = &shared.instances[at];
        connection = match connection.or_else(|| connect(instance)) {
            Some(open) => exchange(shared, instance, open, &mut random),
            None => {
                std::thread::sleep(RECONNECT_PAUSE);
                None
            }
        };
        if connection.is_none() {
            at = random.random_range(0..shared.instances.len());
        }
    }
}

fn connect(instance: &Instance) -> Option<Connection> {
    let opened = Instant::now();
    let stream = TcpStream::connect(instance.address).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(MAX_WAIT)).ok()?;
    Some(Connection { stream, opened })
}

/// Sends one request and reads the response. Returns the connection if it can be reused.
fn exchange(
    shared: &Shared,
    instance: &Instance,
    mut connection: Connection,
    random: &mut Pcg64,
) -> Option<Connection> {
    let number = shared.next_operation.fetch_add(1, Ordering::Relaxed);
    let id = format!("{number:016x}");
    let tenant = format!("t{}", random.random_range(0..TENANTS));
    let class = CLASSES[random.random_range(0..CLASSES.len())].to_string();
    let text = format!(
        "POST /{class}/bh-7 HTTP/1.1\r\nHost: x\r\nX-Tenant: {tenant}\r\nX-Correlation-Id: {id}\r\n\
         X-Time-Left-Ms: {}\r\nIdempotency-Key: {id}\r\nContent-Length: 4\r\n\r\ncore",
        CLIENT_TIME.as_millis()
    );
    let sent = Instant::now();
    let is_sent = connection.stream.write_all(text.as_bytes()).is_ok();
    let answer = if is_sent {
        read_message(&mut BufReader::new(&connection.stream))
    } else {
        None
    };
    let Some(answer) = answer else {
        check_break(shared, instance, &connection, sent, &id);
        return None;
    };
    check_answer(shared, &answer, &id);
    let mut outcomes = shared.outcomes.lock().unwrap();
    *outcomes.statuses.entry(answer.status()).or_default() += 1;
    if answer.status() == 200 {
        outcomes.receipts.push((id, tenant, class));
    }
    let closes = answer.get("connection").is_some_and(|word| word == "close");
    (!closes).then_some(connection)
}

fn check_answer(shared: &Shared, answer: &Message, id: &str) {
    match answer.status() {
        200 if answer.body == format!("log of {id}") => {}
        // Rejected as busy, failed, not accepted, or timed out.
        429 | 502 | 503 | 504 => {}
        status => shared.fail(format!("{id}: {status} {}", answer.body)),
    }
}

/// A connection may end without a response only if a process was killed, or if the request crossed the close
/// of a connection by a process that is shutting down.
fn check_break(
    shared: &Shared,
    instance: &Instance,
    connection: &Connection,
    sent: Instant,
    id: &str,
) {
    shared.outcomes.lock().unwrap().broken += 1;
    let waited = sent.elapsed();
    let was_killed = instance.has_ended_since(connection.opened, End::Killed);
    let was_terminated = instance.has_ended_since(connection.opened, End::Terminated);
    if was_killed || was_terminated && waited < MAX_CROSSING {
        return;
    }
    shared.fail(format!(
        "{id}: {} ended the connection {waited:?} after the request was sent, terminated {was_terminated}",
        instance.address
    ));
}
