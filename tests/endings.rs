//! Paths that end something, over real connections, each brought into its bad order every time. The table of them all is
//! in `docs/design/endings.md`.

mod support;

use rstest::rstest;
use rustix::net::{AddressFamily, SocketType};
use serde_json::{json, Value};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;
use support::*;

/// A bound address at which nobody listens yet: a dial is refused.
fn bound() -> (rustix::fd::OwnedFd, SocketAddr) {
    let fd = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    rustix::net::bind(&fd, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let addr = rustix::net::getsockname(&fd).unwrap().try_into().unwrap();
    (fd, addr)
}

/// A worker whose connections come up late: its queue of new ones is full until it is opened.
struct Slow {
    listener: TcpListener,
    addr: SocketAddr,
    filled: Vec<TcpStream>,
}

impl Slow {
    fn start() -> Slow {
        let (fd, addr) = bound();
        rustix::net::listen(&fd, 0).unwrap();
        // Full once several dials in a row have not come up: on a busy machine one alone may just be slow.
        let (mut filled, mut late) = (Vec::new(), 0);
        while late < 4 {
            match TcpStream::connect_timeout(&addr, Duration::from_millis(300)) {
                Ok(stream) => (late, _) = (0, filled.push(stream)),
                Err(_) => late += 1,
            }
            assert!(filled.len() < 64, "its queue takes any number");
        }
        Slow {
            listener: TcpListener::from(fd),
            addr,
            filled,
        }
    }

    fn line(&self, name: &str) -> Value {
        json!({"id": name, "addr": self.addr.to_string(), "zone": "pump-house", "kind": "standard",
            "cell": 0, "state": "ready", "weight": 1.0, "started_ms": 0})
    }

    /// Lets connections come up, and waits for the first; gives the ids of the jobs that come on them.
    fn open(self) -> Receiver<String> {
        let (tell, ids) = channel();
        for _ in &self.filled {
            drop(accept(&self.listener));
        }
        drop(self.filled);
        let waiting = accept(&self.listener);
        std::thread::spawn(move || {
            waiting.set_read_timeout(None).unwrap();
            for stream in std::iter::once(waiting).chain(self.listener.incoming().flatten()) {
                let tell = tell.clone();
                std::thread::spawn(move || {
                    let mut reader = BufReader::new(stream);
                    while let Some(request) = read_message(&mut reader) {
                        let id = request
                            .get("x-correlation-id")
                            .unwrap_or(&request.line)
                            .to_string();
                        let _ = tell.send(id);
                        let _ = reader.get_mut().write_all(TAKEN.as_bytes());
                    }
                });
            }
        });
        ids
    }
}

/// Settings under which a connection may come up seconds late.
fn patient(servers: &[Value]) -> Value {
    let mut config = config(&[]);
    config["known"]["servers"] = servers.into();
    config["settings"]["limits"]["connectTimeoutUs"] = 10_000_000.into();
    config
}

/// Workers of several names at one address: each takes few jobs before what waits there looks hopeless.
fn many(addr: SocketAddr, count: usize) -> Value {
    let line = |n| {
        json!({"id": format!("s-{n}"), "addr": addr.to_string(), "zone": "pump-house", "kind": "standard",
            "cell": 0, "state": "ready", "weight": 1.0, "started_ms": 0})
    };
    (0..count).map(line).collect()
}

/// The first list of a watch, before which nothing is sent: nothing changed.
fn unchanged() -> Value {
    json!({"version": 1, "full": false, "servers": []})
}

fn say(watch: &mut TcpStream, list: &Value) {
    write_chunk(watch, format!("{list}\n").as_bytes());
}

/// Guards against an attempt for a client that has gone, begun when its connection comes up at last. Where no cancel may
/// be sent nothing else stops it.
#[test]
fn a_connection_that_comes_up_late_begins_nothing_for_a_client_that_has_gone() {
    let slow = Slow::start();
    let mut config = patient(&[slow.line("s-1")]);
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
        "the job of a client that has gone"
    );
}

/// Guards against new work to a worker that was told to leave while the connection to it came up. The class may not be
/// repeated, so that the other worker's answer shows that this attempt has ended.
#[test]
fn a_connection_that_comes_up_late_begins_nothing_at_a_worker_that_leaves() {
    let (slow, new) = (Slow::start(), Worker::start("s-2", SERVES));
    let discovery = Discovery::start();
    let mut config = patient(&[slow.line("s-1")]);
    config["discovery"] = discovery.addr().into();
    config["settings"]["requestClasses"][0]["semantics"] = "single_shot".into();
    let program = Program::with(Files::new(), &config, None, &[&new]);
    let mut watch = discovery.watch(1, &[unchanged()]);
    program.logged("pool config");
    let mut client = connect(program.addr);
    client
        .write_all(operation("depth-log", "a1", 20_000).as_bytes())
        .unwrap();
    program.until("steps", 1);
    let mut leaving = slow.line("s-1");
    leaving["state"] = "draining".into();
    say(
        &mut watch,
        &json!({"version": 2, "full": false, "servers": [leaving, new.line("ready")]}),
    );
    program.logged("pool config");
    let ids = slow.open();
    assert_eq!(
        read_message(&mut BufReader::new(client)).unwrap().body,
        "log of a1"
    );
    assert_eq!(
        ids.try_recv().ok(),
        None,
        "new work to a worker that leaves"
    );
}

/// Guards against a repeat past a key's window: decided on within it, begun after it.
#[test]
fn a_connection_that_comes_up_late_begins_no_repeat_past_the_window() {
    let breaks = TcpListener::bind("127.0.0.1:0").unwrap();
    let slow = Slow::start();
    let mut first = slow.line("s-0");
    first["addr"] = breaks.local_addr().unwrap().to_string().into();
    let discovery = Discovery::start();
    let mut config = patient(&[first.clone()]);
    config["discovery"] = discovery.addr().into();
    config["settings"]["requestClasses"][2]["windowUs"] = 500_000.into();
    let program = Program::with(Files::new(), &config, None, &[]);
    let mut watch = discovery.watch(1, &[unchanged()]);
    program.logged("pool config");
    let mut client = connect(program.addr);
    client
        .write_all(operation("sample-entry", "a1", 20_000).as_bytes())
        .unwrap();
    let handed = accept(&breaks);
    assert!(read_message(&mut BufReader::new(&handed)).is_some());
    say(
        &mut watch,
        &json!({"version": 2, "full": false, "servers": [slow.line("s-1")]}),
    );
    program.logged("pool config");
    drop(handed); // it may have run; a repeat is decided on at once, and its connection does not come up
    program.until("steps", 2);
    // What is waited for is the end of the window itself: a dial that began late must not come up within it.
    std::thread::sleep(Duration::from_millis(600));
    let ids = slow.open();
    let answer = read_message(&mut BufReader::new(client)).expect("an answer");
    assert_ne!(answer.status(), 200);
    assert_eq!(ids.try_recv().ok(), None, "a repeat past the window");
}

/// Guards against a client whose end stands behind much that it sent, where nothing reads on to it.
#[test]
fn a_client_that_sends_much_and_goes_has_its_job_cancelled() {
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

/// Guards against the second answer to one request that is read as the answer to the next: it says that the job was not
/// begun, while the worker has taken it, and a class that may not be repeated would run twice.
#[test]
fn a_second_answer_is_not_taken_for_the_next_ones() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (tell, jobs) = channel();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let tell = tell.clone();
            std::thread::spawn(move || {
                stream.set_nodelay(true).unwrap();
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let mut twice = false;
                while let Some(request) = read_message(&mut reader) {
                    let answer = if twice { BUSY.answer.unwrap() } else { TAKEN };
                    let id = request.get("x-correlation-id").unwrap_or("").to_string();
                    let _ = (&stream).write_all(answer.as_bytes());
                    let _ = tell.send(id);
                    // The second answer stands before the next request's, or comes by itself if none is there soon.
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
    config["known"]["servers"] = many(addr, 1);
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
    assert_eq!(program.counters()["steps"], 8, "an attempt each");
    assert!(jobs.try_recv().is_err(), "it ran twice");
}

/// Guards against cancels that find no descriptor: all connections to workers are held by hand-overs to one that is silent.
#[test]
fn a_cancel_finds_a_connection_while_all_others_are_held() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (tell, heard) = channel();
    std::thread::spawn(move || {
        let mut taken = false;
        for stream in listener.incoming().flatten() {
            let (tell, first) = (tell.clone(), !std::mem::replace(&mut taken, true));
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                let mut first = first;
                while let Some(request) = read_message(&mut reader) {
                    tell.send(request.line).unwrap();
                    if std::mem::take(&mut first) {
                        reader.get_mut().write_all(TAKEN.as_bytes()).unwrap();
                    }
                }
            });
        }
    });
    let mut config = config(&[]);
    config["limits"]["sockets"] = 96.into();
    config["known"]["servers"] = many(addr, 24);
    config["settings"]["requestClasses"][0]["semantics"] = "single_shot".into(); // no copies
    let program = Program::with(Files::new(), &config, None, &[]);
    let ask_for = |n: u32| {
        let mut client = connect(program.addr);
        // Each of another subject, as those of one go to a few workers.
        let text =
            operation("depth-log", &format!("a{n}"), 60_000).replace("bh-7", &format!("bh-{n}"));
        client.write_all(text.as_bytes()).unwrap();
        client
    };
    let first = ask_for(0);
    assert!(heard.recv_timeout(LONG).unwrap().starts_with("POST"));
    // (96 - 40) * 6 / 16 connections to workers at most: as many hand-overs hold them all.
    let held: Vec<TcpStream> = (1..=21).map(ask_for).collect();
    for _ in &held {
        let line = heard
            .recv_timeout(LONG)
            .unwrap_or_else(|e| panic!("{e}: {}", program.counters()));
        assert!(line.starts_with("POST"));
    }
    drop(first);
    assert_eq!(
        heard.recv_timeout(LONG).expect("a cancel"),
        "DELETE /jobs/a0 HTTP/1.1"
    );
}

/// Guards against idle clients that hold all descriptors of the system while discovery is down: it could not be called
/// again, nor a worker, nor a cancel sent.
#[test]
fn idle_clients_give_way_to_discovery_and_workers() {
    let worker = Worker::start("s-1", SERVES);
    let (down, addr) = bound();
    let mut config = config(&[]);
    config["discovery"] = addr.to_string().into();
    config["limits"]["ulimit"] = 60.into();
    let program = Program::with(Files::new(), &config, None, &[&worker]);
    // Usual clients: each asks once, hears that there is no worker, and keeps its connection, until the oldest is closed
    // for a new one. No descriptor is left then.
    let is_closed = |client: &TcpStream| {
        client.set_nonblocking(true).unwrap();
        let closed = client.peek(&mut [0]).is_ok();
        client.set_nonblocking(false).unwrap();
        closed
    };
    let mut resting: Vec<TcpStream> = Vec::new();
    while !resting.first().is_some_and(is_closed) {
        let mut client = connect(program.addr);
        let text = operation("depth-log", &format!("a{}", resting.len()), 40);
        // One that is closed to make room before it was read comes again, as clients do.
        let Some(answer) = exchange(&mut client, &text) else {
            continue;
        };
        assert_eq!(answer.status(), 429);
        resting.push(client);
        assert!(resting.len() < 200, "the descriptors have no end");
    }
    rustix::net::listen(&down, 16).unwrap();
    let discovery = Discovery(TcpListener::from(down));
    let _watch = discovery.watch(
        1,
        &[json!({"version": 2, "full": true, "servers": [worker.line("ready")]})],
    );
    program.logged("pool config");
    let client = resting.last_mut().unwrap();
    assert_eq!(
        exchange(client, &operation("depth-log", "b1", 20_000))
            .expect("an answer")
            .status(),
        200
    );
}

/// Guards against a close over unread bytes: a client that rests until a stop ends its connection sends a request in that very
/// moment. It hears the end, not a reset, and nothing of it is sent on.
#[test]
fn a_request_that_crosses_the_end_of_a_resting_connection_is_not_reset() {
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
    assert_eq!(client.read(&mut [0]).expect("an end in order"), 0);
    client
        .write_all(operation("depth-log", "a2", 2_000).as_bytes())
        .unwrap();
    client.shutdown(Shutdown::Write).unwrap();
    assert_eq!(client.read(&mut [0]).expect("no reset"), 0);
    assert!(program.child.wait().unwrap().success());
    assert!(
        worker.sent.try_recv().is_err(),
        "a request read after the end was sent on"
    );
}

/// Where there is no room for a connection whose request is there already it hears so, not a reset.
#[test]
fn a_connection_without_room_is_answered_and_not_reset() {
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
    config["known"]["servers"] = many(worker.addr, 24);
    config["settings"]["requestClasses"][0]["semantics"] = "single_shot".into(); // no copies
    let program = Program::with(Files::new(), &config, None, &[&worker]);
    // 10 sockets and a reserve of 2, all busy.
    let busy: Vec<TcpStream> = (0..10)
        .map(|n| {
            let mut client = connect(program.addr);
            // Each of another subject, as those of one go to a few workers, which would look full.
            let text = operation("depth-log", &format!("a{n}"), 60_000)
                .replace("bh-7", &format!("bh-{n}"));
            client.write_all(text.as_bytes()).unwrap();
            // One after another: there are nine connections to workers, and each hand-over takes one for a moment.
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
            .expect("an answer and an end, no reset");
        assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
    }
}

/// What a worker does with a job whose class may not be repeated, and whether that proves that it never ran.
#[rstest]
#[case::turned_away(
    "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 4\r\n\r\nbusy",
    false,
    true
)]
#[case::turned_away_late(
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
#[case::no_word_that_it_never_ran("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false, false)]
#[case::another_word(
    "HTTP/1.1 503 Busy\r\nX-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n",
    false,
    false
)]
#[case::no_http("busy\r\n\r\n", false, false)]
fn an_unsafe_job_is_sent_again_only_where_it_never_ran(
    #[case] says: &'static str,
    #[case] resets: bool,
    #[case] again: bool,
) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (tell, heard) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let Some(request) = read_message(&mut reader) else {
                continue;
            };
            drop(reader);
            tell.send(request.line).unwrap();
            (&stream).write_all(says.as_bytes()).unwrap();
            if resets {
                reset(stream);
            }
        }
    });
    let mut config = config(&[]);
    config["known"]["servers"] = many(addr, 6);
    config["settings"]["requestClasses"][0]["semantics"] = "single_shot".into();
    let program = Program::with(Files::new(), &config, None, &[]);
    let text = operation("depth-log", "a1", 3_000).replace("Idempotency-Key: key-a1\r\n", "");
    let status = ask(program.addr, &text).status();
    let posts = heard.try_iter().filter(|l| l.starts_with("POST")).count();
    match again {
        true => assert_eq!((status, posts), (429, 4), "as many attempts as are allowed"),
        false => assert_eq!((status, posts), (502, 1), "it may have run"),
    }
}

/// Guards against a dial that is waited for without end: it never comes up, so nothing has run, and even a class that may not
/// be repeated goes to another worker.
#[test]
fn a_dial_that_never_comes_up_is_given_up_and_never_ran() {
    let (slow, other) = (Slow::start(), Worker::start("s-2", SERVES));
    let discovery = Discovery::start();
    let mut config = patient(&[slow.line("s-1")]);
    config["discovery"] = discovery.addr().into();
    config["settings"]["limits"]["connectTimeoutUs"] = 400_000.into();
    config["settings"]["requestClasses"][0]["semantics"] = "single_shot".into();
    let program = Program::with(Files::new(), &config, None, &[&other]);
    let mut watch = discovery.watch(1, &[unchanged()]);
    program.logged("pool config");
    let mut client = connect(program.addr);
    client
        .write_all(operation("depth-log", "a1", 20_000).as_bytes())
        .unwrap();
    program.until("steps", 1);
    say(
        &mut watch,
        &json!({"version": 2, "full": false, "servers": [other.line("ready")]}),
    );
    assert_eq!(
        read_message(&mut BufReader::new(client)).unwrap().body,
        "log of a1"
    );
    assert_eq!(program.counters()["endings"]["not_connected"], 1);
}

/// Guards against a cancel that nobody sends, as the 202 comes in the moment in which the attempt is given up: the job would run
/// on for nobody. The two are swept over each other.
#[test]
fn a_202_that_crosses_a_departure_leaves_no_job_running() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let ((tell_job, jobs), (tell_cancel, cancels)) = (channel(), channel());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (tell_job, tell_cancel) = (tell_job.clone(), tell_cancel.clone());
            std::thread::spawn(move || {
                stream.set_nodelay(true).unwrap();
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(request) = read_message(&mut reader) {
                    if request.line.starts_with("DELETE") {
                        tell_cancel.send(request.line).unwrap();
                        let _ = (&stream).write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
                    } else {
                        tell_job.send(stream.try_clone().unwrap()).unwrap();
                    }
                }
            });
        }
    });
    let mut config = config(&[]);
    config["known"]["servers"] = many(addr, 1);
    config["settings"]["requestClasses"][0]["semantics"] = "single_shot".into();
    let program = Program::with(Files::new(), &config, None, &[]);
    for n in 0..600u32 {
        let mut client = connect(program.addr);
        client
            .write_all(operation("depth-log", &format!("a{n}"), 60_000).as_bytes())
            .unwrap();
        let mut handed = jobs.recv_timeout(LONG).expect("a job");
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
            let _ = handed.write_all(TAKEN.as_bytes());
        });
        let cancel = cancels
            .recv_timeout(LONG)
            .unwrap_or_else(|_| panic!("no cancel of a{n}"));
        assert_eq!(cancel, format!("DELETE /jobs/a{n} HTTP/1.1"));
    }
}
