//! Tests of the paths that end an operation, attempt or connection, over real connections, each forced into
//! its critical order every time. `docs/design/endings.md` lists all of them.

mod support;

use rstest::rstest;
use rustix::net::{AddressFamily, SocketType};
use serde_json::{json, Value};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;
use support::*;

/// Returns a bound address without a listener: connections to it are refused.
fn bound_address() -> (rustix::fd::OwnedFd, SocketAddr) {
    let fd = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    rustix::net::bind(&fd, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let addr = rustix::net::getsockname(&fd).unwrap().try_into().unwrap();
    (fd, addr)
}

/// Worker whose connections are established late: its accept queue is full until `open` is called.
struct SlowWorker {
    listener: TcpListener,
    addr: SocketAddr,
    queued: Vec<TcpStream>,
}

impl SlowWorker {
    fn start() -> SlowWorker {
        let (fd, addr) = bound_address();
        rustix::net::listen(&fd, 0).unwrap();
        // The queue counts as full once several connection attempts in a row time out: on a busy machine a
        // single one may just be slow.
        let (mut queued, mut late) = (Vec::new(), 0);
        while late < 4 {
            match TcpStream::connect_timeout(&addr, Duration::from_millis(300)) {
                Ok(stream) => (late, _) = (0, queued.push(stream)),
                Err(_) => late += 1,
            }
            assert!(queued.len() < 64, "the accept queue has no limit");
        }
        SlowWorker {
            listener: TcpListener::from(fd),
            addr,
            queued,
        }
    }

    fn line(&self, name: &str) -> Value {
        json!({"id": name, "addr": self.addr.to_string(), "zone": "pump-house", "kind": "standard",
            "cell": 0, "state": "ready", "weight": 1.0, "started_ms": 0})
    }

    /// Lets connections be established and waits for the first. Returns the ids of the jobs that arrive on
    /// them.
    fn open(self) -> Receiver<String> {
        let (sender, ids) = channel();
        for _ in &self.queued {
            drop(accept(&self.listener));
        }
        drop(self.queued);
        let waiting = accept(&self.listener);
        std::thread::spawn(move || {
            waiting.set_read_timeout(None).unwrap();
            for stream in std::iter::once(waiting).chain(self.listener.incoming().flatten()) {
                let sender = sender.clone();
                std::thread::spawn(move || {
                    let mut reader = BufReader::new(stream);
                    while let Some(request) = read_message(&mut reader) {
                        let id = request
                            .get("x-correlation-id")
                            .unwrap_or(&request.line)
                            .to_string();
                        let _ = sender.send(id);
                        let _ = reader.get_mut().write_all(TAKEN.as_bytes());
                    }
                });
            }
        });
        ids
    }
}

/// Returns a configuration under which a connection may be established seconds late.
fn config_with_long_connect_timeout(servers: &[Value]) -> Value {
    let mut config = config(&[]);
    config["known"]["servers"] = servers.into();
    config["settings"]["limits"]["connectTimeoutUs"] = 10_000_000.into();
    config
}

/// Lists workers of several names at one address, because each accepts only few jobs before its queue is
/// estimated to be too long.
fn workers_at(addr: SocketAddr, count: usize) -> Value {
    let line = |n| {
        json!({"id": format!("s-{n}"), "addr": addr.to_string(), "zone": "pump-house", "kind": "standard",
            "cell": 0, "state": "ready", "weight": 1.0, "started_ms": 0})
    };
    (0..count).map(line).collect()
}

/// First list of a watch, before which nothing is sent. It changes nothing.
fn unchanged_list() -> Value {
    json!({"version": 1, "full": false, "servers": []})
}

fn send_list(watch: &mut TcpStream, list: &Value) {
    write_chunk(watch, format!("{list}\n").as_bytes());
}

/// Guards against an attempt that starts for a disconnected client once its connection is established. Where
/// no cancel may be sent, nothing else stops it.
#[test]
fn late_connection_starts_no_attempt_for_a_disconnected_client() {
    let slow = SlowWorker::start();
    let mut config = config_with_long_connect_timeout(&[slow.line("s-1")]);
    config["settings"]["limits"]["cancel"] = false.into();
    let program = Program::with(Files::new(), &config, None, &[]);
    let mut client = connect(program.addr);
    client
        .write_all(operation("depth-log", "a1", 20_000).as_bytes())
        .unwrap();
    program.until("steps", 1);
    drop(client);
    program.until("clients_gone", 1);
    let ids = slow.open();
    let mut next = connect(program.addr);
    next.write_all(operation("depth-log", "a2", 20_000).as_bytes())
        .unwrap();
    assert_eq!(ids.recv_timeout(LONG).expect("a job"), "a2");
    assert_eq!(
        program.counters()["classes"]["depth-log"]["tries"],
        1,
        "the job of a disconnected client was sent"
    );
}

/// Guards against new work for a worker that started draining while the connection to it was being
/// established. The class may not be repeated, so that the other worker's answer shows that this attempt has
/// ended.
#[test]
fn late_connection_starts_no_attempt_on_a_draining_worker() {
    let (slow, new) = (SlowWorker::start(), Worker::start("s-2", SERVES));
    let discovery = Discovery::start();
    let mut config = config_with_long_connect_timeout(&[slow.line("s-1")]);
    config["discovery"] = discovery.addr().into();
    config["settings"]["requestClasses"][0]["semantics"] = "single_shot".into();
    let program = Program::with(Files::new(), &config, None, &[&new]);
    let mut watch = discovery.watch(1, &[unchanged_list()]);
    program.logged("pool config");
    let mut client = connect(program.addr);
    client
        .write_all(operation("depth-log", "a1", 20_000).as_bytes())
        .unwrap();
    program.until("steps", 1);
    let mut leaving = slow.line("s-1");
    leaving["state"] = "draining".into();
    send_list(
        &mut watch,
        &json!({"version": 2, "full": false, "servers": [leaving, new.line("ready")]}),
    );
    program.logged("pool config");
    let ids = slow.open();
    assert_eq!(
        read_message(&mut BufReader::new(client)).unwrap().body,
        "log of a1"
    );
    assert_eq!(ids.try_recv().ok(), None, "new work for a draining worker");
}

/// Guards against a repeat outside a key's window that was decided on within the window and starts after it.
#[test]
fn late_connection_starts_no_repeat_outside_the_key_window() {
    let failing_listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let slow = SlowWorker::start();
    let mut first = slow.line("s-0");
    first["addr"] = failing_listener.local_addr().unwrap().to_string().into();
    let discovery = Discovery::start();
    let mut config = config_with_long_connect_timeout(&[first.clone()]);
    config["discovery"] = discovery.addr().into();
    config["settings"]["requestClasses"][2]["windowUs"] = 500_000.into();
    let program = Program::with(Files::new(), &config, None, &[]);
    let mut watch = discovery.watch(1, &[unchanged_list()]);
    program.logged("pool config");
    let mut client = connect(program.addr);
    client
        .write_all(operation("sample-entry", "a1", 20_000).as_bytes())
        .unwrap();
    let job_stream = accept(&failing_listener);
    assert!(read_message(&mut BufReader::new(&job_stream)).is_some());
    send_list(
        &mut watch,
        &json!({"version": 2, "full": false, "servers": [slow.line("s-1")]}),
    );
    program.logged("pool config");
    drop(job_stream); // the job may have run; a repeat is decided on at once, and its connection is not established
    program.until("steps", 2);
    // Waits for the end of the window itself: a connection attempt that began late must not be established
    // within it.
    std::thread::sleep(Duration::from_millis(600));
    let ids = slow.open();
    let answer = read_message(&mut BufReader::new(client)).expect("an answer");
    assert_ne!(answer.status(), 200);
    assert_eq!(ids.try_recv().ok(), None, "a repeat outside the window");
}

/// Guards against a client disconnect that is never noticed because it follows a large amount of unread data.
#[test]
fn client_that_disconnects_after_much_unread_data_has_its_job_cancelled() {
    let worker = Worker::start("s-1", RUNS_ON);
    let program = Program::start(&[&worker]);
    let mut client = connect(program.addr);
    client
        .write_all(operation("depth-log", "a1", 60_000).as_bytes())
        .unwrap();
    assert!(matches!(worker.next(), Sent::Job { .. }));
    client.write_all(&[b'x'; 100 << 10]).unwrap();
    drop(client);
    assert_eq!(worker.next(), Sent::Cancel("a1".into()));
}

/// Guards against a second response to one request that is read as the response to the next: it says that the
/// job was not started although the worker has accepted it, and a class that may not be repeated would run
/// twice.
#[test]
fn second_response_is_not_read_as_the_next_requests_response() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (sender, jobs) = channel();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let sender = sender.clone();
            std::thread::spawn(move || {
                stream.set_nodelay(true).unwrap();
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let mut twice = false;
                while let Some(request) = read_message(&mut reader) {
                    let answer = if twice { BUSY.answer.unwrap() } else { TAKEN };
                    let id = request.get("x-correlation-id").unwrap_or("").to_string();
                    let _ = (&stream).write_all(answer.as_bytes());
                    let _ = sender.send(id);
                    // The second response is sent before the next request's, or by itself if no request
                    // arrives soon.
                    stream
                        .set_read_timeout(Some(Duration::from_millis(8)))
                        .unwrap();
                    if reader.get_ref().peek(&mut [0]).is_err() {
                        let _ = (&stream).write_all(BUSY.answer.unwrap().as_bytes());
                    }
                    stream.set_read_timeout(None).unwrap();
                    twice = true;
                }
            });
        }
    });
    let mut config = config(&[]);
    config["known"]["servers"] = workers_at(addr, 1);
    config["settings"]["requestClasses"][0]["semantics"] = "single_shot".into();
    let program = Program::with(Files::new(), &config, None, &[]);
    let mut client = connect(program.addr);
    for n in 0..8 {
        let id = format!("a{n}");
        client
            .write_all(operation("depth-log", &id, 20_000).as_bytes())
            .unwrap();
        assert_eq!(jobs.recv_timeout(LONG).expect("a job"), id);
        assert_eq!(call_back(program.addr, &id, "s-0", "done"), 204);
        let answer = read_message(&mut BufReader::new(&client)).expect("an answer");
        assert_eq!(
            (answer.status(), answer.body),
            (200, format!("log of {id}"))
        );
    }
    assert_eq!(program.counters()["steps"], 8, "one attempt per operation");
    assert!(jobs.try_recv().is_err(), "a job ran twice");
}

/// Guards against cancels that get no descriptor: requests to an unresponsive worker hold all connections to
/// workers.
#[test]
fn cancel_gets_a_connection_while_all_others_are_in_use() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (sender, requests) = channel();
    std::thread::spawn(move || {
        let mut first_accepted = false;
        for stream in listener.incoming().flatten() {
            let (sender, first) = (
                sender.clone(),
                !std::mem::replace(&mut first_accepted, true),
            );
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                let mut first = first;
                while let Some(request) = read_message(&mut reader) {
                    sender.send(request.line).unwrap();
                    if std::mem::take(&mut first) {
                        reader.get_mut().write_all(TAKEN.as_bytes()).unwrap();
                    }
                }
            });
        }
    });
    let mut config = config(&[]);
    config["limits"]["sockets"] = 96.into();
    config["known"]["servers"] = workers_at(addr, 24);
    config["settings"]["requestClasses"][0]["semantics"] = "single_shot".into(); // no copies
    let program = Program::with(Files::new(), &config, None, &[]);
    let ask_for = |n: u32| {
        let mut client = connect(program.addr);
        // Each operation has a different subject, because those of one subject go to a few workers.
        let text =
            operation("depth-log", &format!("a{n}"), 60_000).replace("bh-7", &format!("bh-{n}"));
        client.write_all(text.as_bytes()).unwrap();
        client
    };
    let first = ask_for(0);
    assert!(requests.recv_timeout(LONG).unwrap().starts_with("POST"));
    // At most (96 - 40) * 6 / 16 connections to workers are open: as many requests hold them all.
    let held_clients: Vec<TcpStream> = (1..=21).map(ask_for).collect();
    for _ in &held_clients {
        let line = requests
            .recv_timeout(LONG)
            .unwrap_or_else(|e| panic!("{e}: {}", program.counters()));
        assert!(line.starts_with("POST"));
    }
    drop(first);
    assert_eq!(
        requests.recv_timeout(LONG).expect("a cancel"),
        "DELETE /jobs/a0 HTTP/1.1"
    );
}

/// Guards against idle clients that hold all descriptors of the process while discovery is down: discovery
/// and workers could not be reached again, and no cancel could be sent.
#[test]
fn idle_clients_are_closed_for_discovery_and_workers() {
    let worker = Worker::start("s-1", SERVES);
    let (down, addr) = bound_address();
    let mut config = config(&[]);
    config["discovery"] = addr.to_string().into();
    config["limits"]["ulimit"] = 60.into();
    let program = Program::with(Files::new(), &config, None, &[&worker]);
    // Typical clients: each sends one request, gets the answer that there is no worker, and keeps its
    // connection, until the oldest connection is closed for a new one. No descriptor is left then.
    let is_closed = |client: &TcpStream| {
        client.set_nonblocking(true).unwrap();
        let closed = client.peek(&mut [0]).is_ok();
        client.set_nonblocking(false).unwrap();
        closed
    };
    let mut idle_clients: Vec<TcpStream> = Vec::new();
    while !idle_clients.first().is_some_and(is_closed) {
        let mut client = connect(program.addr);
        let text = operation("depth-log", &format!("a{}", idle_clients.len()), 40);
        // A client whose connection is closed to free a descriptor before its request was read connects
        // again, as clients do.
        let Some(answer) = exchange(&mut client, &text) else {
            continue;
        };
        assert_eq!(answer.status(), 429);
        idle_clients.push(client);
        assert!(
            idle_clients.len() < 200,
            "the descriptor limit was never reached"
        );
    }
    rustix::net::listen(&down, 16).unwrap();
    let discovery = Discovery(TcpListener::from(down));
    let _watch = discovery.watch(
        1,
        &[json!({"version": 2, "full": true, "servers": [worker.line("ready")]})],
    );
    program.logged("pool config");
    let client = idle_clients.last_mut().unwrap();
    assert_eq!(
        exchange(client, &operation("depth-log", "b1", 20_000))
            .expect("an answer")
            .status(),
        200
    );
}

/// Guards against a close with unread bytes: an idle client sends a request at the moment in which a shutdown
/// ends its connection. The client must see an orderly end, not a reset, and its request must not be
/// forwarded.
#[test]
fn request_that_crosses_the_end_of_an_idle_connection_is_not_reset() {
    let worker = Worker::start("s-1", SERVES);
    let mut program = Program::start(&[&worker]);
    let mut client = connect(program.addr);
    assert_eq!(
        exchange(&mut client, &operation("depth-log", "a1", 2_000))
            .unwrap()
            .status(),
        200
    );
    assert!(matches!(worker.next(), Sent::Job { .. }));
    program.signal("TERM");
    assert_eq!(client.read(&mut [0]).expect("an orderly end"), 0);
    client
        .write_all(operation("depth-log", "a2", 2_000).as_bytes())
        .unwrap();
    client.shutdown(Shutdown::Write).unwrap();
    assert_eq!(client.read(&mut [0]).expect("no reset"), 0);
    assert!(program.child.wait().unwrap().success());
    assert!(
        worker.sent.try_recv().is_err(),
        "a request read after the end was forwarded"
    );
}

/// A connection beyond the limit whose request has already arrived is answered with 503, not reset.
#[test]
fn connection_beyond_the_limit_is_answered_and_not_reset() {
    let worker = Worker::start(
        "s-1",
        Manner {
            answer: Some(TAKEN),
            early: &[],
            then: &[],
        },
    );
    let mut config = config(&[&worker]);
    config["limits"]["sockets"] = 64.into();
    config["known"]["servers"] = workers_at(worker.addr, 24);
    config["settings"]["requestClasses"][0]["semantics"] = "single_shot".into(); // no copies
    let program = Program::with(Files::new(), &config, None, &[&worker]);
    // 10 sockets and a reserve of 2, all busy.
    let busy: Vec<TcpStream> = (0..10)
        .map(|n| {
            let mut client = connect(program.addr);
            // Each operation has a different subject, because those of one subject go to a few workers, which
            // would look full.
            let text = operation("depth-log", &format!("a{n}"), 60_000)
                .replace("bh-7", &format!("bh-{n}"));
            client.write_all(text.as_bytes()).unwrap();
            // The operations are sent one after another: there are nine connections to workers, and each
            // request occupies one for a moment.
            assert!(matches!(worker.next(), Sent::Job { .. }));
            client
        })
        .collect();
    assert_eq!(busy.len(), 10);
    program.signal("STOP");
    let mut late: Vec<TcpStream> = (0..24).map(|_| connect(program.addr)).collect();
    for (n, client) in late.iter_mut().enumerate() {
        client
            .write_all(operation("depth-log", &format!("b{n}"), 60_000).as_bytes())
            .unwrap();
    }
    program.signal("CONT");
    for client in &mut late {
        let mut text = String::new();
        client
            .read_to_string(&mut text)
            .expect("a response and an orderly end, no reset");
        assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
    }
}

/// Responses of a worker to a job whose class may not be repeated, and whether each proves that the job never
/// ran.
#[rstest]
#[case::rejected(
    "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 4\r\n\r\nbusy",
    false,
    true
)]
#[case::rejected_late(
    "HTTP/1.1 504 Late\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n",
    false,
    true
)]
#[case::nothing("", false, false)]
#[case::reset("", true, false)]
#[case::half_a_head("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nConte", false, false)]
#[case::half_a_body(
    "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 4\r\n\r\nbu",
    false,
    false
)]
#[case::half_a_body_and_reset(
    "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 4\r\n\r\nbu",
    true,
    false
)]
#[case::a_body_to_the_end_that_is_reset(
    "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\n\r\nbusy",
    true,
    false
)]
#[case::half_a_chunk(
    "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbu",
    false,
    false
)]
#[case::two_lengths(
    "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 4\r\nContent-Length: 0\r\n\r\nbusy",
    false,
    false
)]
#[case::without_unprocessed_header("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false, false)]
#[case::other_unprocessed_value(
    "HTTP/1.1 503 Busy\r\nX-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n",
    false,
    false
)]
#[case::no_http("busy\r\n\r\n", false, false)]
fn unsafe_job_is_retried_only_if_it_never_ran(
    #[case] response: &'static str,
    #[case] reset_after: bool,
    #[case] retried: bool,
) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (sender, requests) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let Some(request) = read_message(&mut reader) else {
                continue;
            };
            drop(reader);
            sender.send(request.line).unwrap();
            (&stream).write_all(response.as_bytes()).unwrap();
            if reset_after {
                reset(stream);
            }
        }
    });
    let mut config = config(&[]);
    config["known"]["servers"] = workers_at(addr, 6);
    config["settings"]["requestClasses"][0]["semantics"] = "single_shot".into();
    let program = Program::with(Files::new(), &config, None, &[]);
    let text = operation("depth-log", "a1", 3_000).replace("Idempotency-Key: key-a1\r\n", "");
    let status = ask(program.addr, &text).status();
    let posts = requests
        .try_iter()
        .filter(|l| l.starts_with("POST"))
        .count();
    match retried {
        true => assert_eq!((status, posts), (429, 4), "all allowed attempts are used"),
        false => assert_eq!((status, posts), (502, 1), "the job may have run"),
    }
}

/// Guards against waiting for ever for a connection that is never established. Nothing has run then, so even
/// a class that may not be repeated goes to another worker.
#[test]
fn connection_that_is_never_established_times_out_and_counts_as_not_run() {
    let (slow, other) = (SlowWorker::start(), Worker::start("s-2", SERVES));
    let discovery = Discovery::start();
    let mut config = config_with_long_connect_timeout(&[slow.line("s-1")]);
    config["discovery"] = discovery.addr().into();
    config["settings"]["limits"]["connectTimeoutUs"] = 400_000.into();
    config["settings"]["requestClasses"][0]["semantics"] = "single_shot".into();
    let program = Program::with(Files::new(), &config, None, &[&other]);
    let mut watch = discovery.watch(1, &[unchanged_list()]);
    program.logged("pool config");
    let mut client = connect(program.addr);
    client
        .write_all(operation("depth-log", "a1", 20_000).as_bytes())
        .unwrap();
    program.until("steps", 1);
    send_list(
        &mut watch,
        &json!({"version": 2, "full": false, "servers": [other.line("ready")]}),
    );
    assert_eq!(
        read_message(&mut BufReader::new(client)).unwrap().body,
        "log of a1"
    );
    assert_eq!(program.counters()["endings"]["not_connected"], 1);
}

/// Guards against a missing cancel when the 202 arrives at the moment in which the attempt is abandoned: the
/// job would run on without a client. The test sweeps the time between the two events.
#[test]
fn response_202_that_crosses_a_disconnect_leaves_no_job_running() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let ((job_sender, jobs), (cancel_sender, cancels)) = (channel(), channel());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (job_sender, cancel_sender) = (job_sender.clone(), cancel_sender.clone());
            std::thread::spawn(move || {
                stream.set_nodelay(true).unwrap();
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(request) = read_message(&mut reader) {
                    if request.line.starts_with("DELETE") {
                        cancel_sender.send(request.line).unwrap();
                        let _ = (&stream).write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
                    } else {
                        job_sender.send(stream.try_clone().unwrap()).unwrap();
                    }
                }
            });
        }
    });
    let mut config = config(&[]);
    config["known"]["servers"] = workers_at(addr, 1);
    config["settings"]["requestClasses"][0]["semantics"] = "single_shot".into();
    let program = Program::with(Files::new(), &config, None, &[]);
    for n in 0..600u32 {
        let mut client = connect(program.addr);
        client
            .write_all(operation("depth-log", &format!("a{n}"), 60_000).as_bytes())
            .unwrap();
        let mut job_stream = jobs.recv_timeout(LONG).expect("a job");
        let together = std::sync::Barrier::new(2);
        std::thread::scope(|scope| {
            scope.spawn(|| {
                together.wait();
                drop(client);
            });
            together.wait();
            let begun = std::time::Instant::now();
            while begun.elapsed() < Duration::from_micros(u64::from(n % 120) * 3) {
                std::hint::spin_loop();
            }
            let _ = job_stream.write_all(TAKEN.as_bytes());
        });
        let cancel = cancels
            .recv_timeout(LONG)
            .unwrap_or_else(|_| panic!("no cancel of a{n}"));
        assert_eq!(cancel, format!("DELETE /jobs/a{n} HTTP/1.1"));
    }
}
