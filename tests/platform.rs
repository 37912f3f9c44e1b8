//! Tests of the platform's front end: the real program between simulated clients, workers and discovery.

mod support;

use rstest::rstest;
use serde_json::json;
use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use support::*;

#[test]
fn result_is_served_complete_and_the_job_forwarded_unchanged() {
    let worker = Worker::start("s-1", SERVES);
    let program = Program::start(&[&worker]);
    let answer = ask(program.addr, &operation("depth-log", "a1", 4000));
    assert_eq!((answer.status(), answer.body.as_str()), (200, "log of a1"));
    let (id, key) = ("a1".to_string(), Some("key-a1".to_string()));
    assert_eq!(
        worker.next(),
        Sent::Job {
            id,
            key,
            body: "core".into()
        }
    );
    assert_eq!(program.counters()["served"], 1);
    program.signal("USR1");
    assert!(program.logged("counters").contains("\"operations\":1"));
}

#[rstest]
#[case::no_http("hello\r\n\r\n", 400)]
#[case::no_id("POST /depth-log/x HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 400)]
#[case::bad_id(
    "POST /depth-log/x HTTP/1.1\r\nX-Correlation-Id: a/b\r\nContent-Length: 0\r\n\r\n",
    400
)]
#[case::bad_time(
    "POST /depth-log/x HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Time-Left-Ms: soon\r\nContent-Length: 0\r\n\r\n",
    400
)]
#[case::no_key(
    "POST /sample-entry/x HTTP/1.1\r\nX-Correlation-Id: a\r\nContent-Length: 0\r\n\r\n",
    400
)]
#[case::bad_length(
    "POST /depth-log/x HTTP/1.1\r\nX-Correlation-Id: a\r\nContent-Length: -1\r\n\r\n",
    400
)]
#[case::too_large(
    "POST /depth-log/x HTTP/1.1\r\nX-Correlation-Id: a\r\nContent-Length: 65537\r\n\r\n",
    413
)]
#[case::two_framings(
    "POST /depth-log/x HTTP/1.1\r\nX-Correlation-Id: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    400
)]
#[case::two_lengths(
    "POST /depth-log/x HTTP/1.1\r\nX-Correlation-Id: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx",
    400
)]
#[case::two_encodings(
    "POST /depth-log/x HTTP/1.1\r\nX-Correlation-Id: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n0\r\n\r\n",
    400
)]
#[case::two_ids(
    "POST /depth-log/x HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Correlation-Id: b\r\n\r\n",
    400
)]
#[case::signed_time(
    "POST /depth-log/x HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Time-Left-Ms: +50\r\nContent-Length: 0\r\n\r\n",
    400
)]
#[case::odd_target(
    "POST /depth-log/\u{fc} HTTP/1.1\r\nX-Correlation-Id: a\r\nContent-Length: 0\r\n\r\n",
    400
)]
#[case::odd_key(
    "POST /sample-entry/x HTTP/1.1\r\nX-Correlation-Id: a\r\nIdempotency-Key: \u{fc}\r\nContent-Length: 0\r\n\r\n",
    400
)]
#[case::huge_chunk(
    "POST /depth-log/x HTTP/1.1\r\nX-Correlation-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n200000\r\n",
    413
)]
#[case::half_a_request(
    "POST /depth-log/x HTTP/1.1\r\nX-Correlation-Id: a\r\nContent-Length: 9\r\n\r\nhalf",
    408
)]
#[case::half_a_head("POST /depth-log/x HTTP/1.1\r\nX-Corr", 408)]
#[case::two_at_once(
    "POST /depth-log/x HTTP/1.1\r\nX-Correlation-Id: a\r\nContent-Length: 0\r\n\r\nPOST /depth-log/x HTTP/1.1\r\n",
    400
)]
#[case::no_class(
    "POST /render/x HTTP/1.1\r\nX-Correlation-Id: a\r\nContent-Length: 0\r\n\r\n",
    404
)]
#[case::method("GET /depth-log/x HTTP/1.1\r\nX-Correlation-Id: a\r\n\r\n", 405)]
#[case::call_back_method("GET /v1/job-events HTTP/1.1\r\n\r\n", 405)]
#[case::call_back("POST /v1/job-events HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 400)]
#[case::no_result(
    "POST /v1/job-events HTTP/1.1\r\nContent-Length: 38\r\n\r\n{\"id\":\"a\",\"from\":\"s-1\",\"state\":\"done\"}",
    400
)]
#[case::up("GET /up HTTP/1.1\r\n\r\n", 200)]
fn input_is_checked(#[case] text: &str, #[case] status: u16) {
    let program = Program::start(&[]);
    assert_eq!(ask(program.addr, text).status(), status);
    // The program accepted nothing from the input and keeps running.
    assert_eq!(program.counters()["operations"], 0);
}

/// A callback may arrive before the 202, and each callback may be repeated or come from an unrelated worker.
#[test]
fn call_backs_count_once() {
    let manner = Manner {
        answer: Some(TAKEN),
        early: &["started", "done", "done"],
        then: &["done", "lost"],
    };
    let worker = Worker::start("s-1", manner);
    let program = Program::start(&[&worker]);
    assert_eq!(call_back(program.addr, "a1", "s-9", "done"), 204);
    assert_eq!(
        ask(program.addr, &operation("depth-log", "a1", 4000)).status(),
        200
    );
    assert_eq!(call_back(program.addr, "a1", "s-1", "done"), 204);
    let counters = program.counters();
    assert_eq!(
        (&counters["served"], &counters["endings"]["served"]),
        (&json!(1), &json!(1))
    );
}

#[rstest]
#[case::rejected(BUSY)]
#[case::failed(Manner { answer: Some(TAKEN), early: &[], then: &["started", "failed"] })]
#[case::returned(Manner { answer: Some(TAKEN), early: &[], then: &["returned"] })]
#[case::lost(Manner { answer: Some(TAKEN), early: &[], then: &["started", "lost"] })]
#[case::broke(Manner { answer: Some(""), early: &[], then: &[] })]
fn operation_not_served_by_one_worker_is_served_by_another(#[case] manner: Manner) {
    let (bad, good) = (Worker::start("s-1", manner), Worker::start("s-2", SERVES));
    let program = Program::start(&[&bad, &good]);
    for n in 0..12 {
        let answer = ask(
            program.addr,
            &operation("layer-view", &format!("a{n}"), 4000),
        );
        assert_eq!(
            (answer.status(), answer.body),
            (200, format!("log of a{n}"))
        );
    }
    assert_eq!(program.counters()["served"], 12);
}

/// A request received by a worker, with the connection for its response.
struct ReceivedRequest {
    worker: &'static str,
    line: String,
    connection: TcpStream,
}

/// Starts a simulated worker that passes each request to the test, which answers it.
fn manual_worker(name: &'static str, asked: std::sync::mpsc::Sender<ReceivedRequest>) -> Worker {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut worker = Worker::start(name, SERVES);
    worker.addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let asked = asked.clone();
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(message) = read_message(&mut reader) {
                    let _ = asked.send(ReceivedRequest {
                        worker: name,
                        line: message.line,
                        connection: stream.try_clone().unwrap(),
                    });
                }
            });
        }
    });
    worker
}

/// A worker gets one attempt of an operation at a time, and a cancel names only the operation. Guards against
/// a retry that overtakes the cancel of a withdrawn copy at the same worker, which would then cancel the
/// retry.
#[test]
fn retry_waits_for_the_cancel_of_an_earlier_attempt_at_the_same_worker() {
    let (sender, asked) = std::sync::mpsc::channel();
    let workers = [
        manual_worker("s-1", sender.clone()),
        manual_worker("s-2", sender),
    ];
    let program = Program::start(&[&workers[0], &workers[1]]);
    let mut client = connect(program.addr);
    client
        .write_all(operation("layer-view", "a1", 4000).as_bytes())
        .unwrap();
    let next = || asked.recv_timeout(LONG).expect("a request");
    let accept_job = |mut asked: ReceivedRequest| {
        assert!(asked.line.starts_with("POST "), "{}", asked.line);
        asked.connection.write_all(TAKEN.as_bytes()).unwrap();
        asked.worker
    };
    let first = accept_job(next());
    let second = accept_job(next()); // a copy, because the first attempt does not start
    assert_ne!(first, second);
    assert_eq!(call_back(program.addr, "a1", second, "started"), 204);
    let mut cancel = next();
    assert_eq!(cancel.worker, first);
    assert!(cancel.line.starts_with("DELETE /jobs/a1 "));
    assert_eq!(call_back(program.addr, "a1", second, "lost"), 204);
    let early = asked.recv_timeout(std::time::Duration::from_millis(200));
    assert!(
        early.is_err(),
        "the retry was sent before the cancel was answered"
    );
    // The withdrawn copy started before the cancel arrived. That says nothing about the retry, which has not
    // been sent.
    assert_eq!(call_back(program.addr, "a1", first, "started"), 204);
    cancel
        .connection
        .write_all(b"HTTP/1.1 204 No Content\r\n\r\n")
        .unwrap();
    assert_eq!(accept_job(next()), first);
    assert_eq!(call_back(program.addr, "a1", first, "done"), 204);
    let answer = read_message(&mut BufReader::new(client)).expect("an answer");
    assert_eq!((answer.status(), answer.body.as_str()), (200, "log of a1"));
}

/// A refused connection proves that nothing ran. Without another worker the client is asked to retry later.
#[test]
fn refused_connection_ends_in_a_busy_reply_with_retry_after() {
    let mut gone = Worker::start("s-1", SERVES);
    gone.addr = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let program = Program::start(&[&gone]);
    let answer = ask(program.addr, &operation("sample-entry", "a1", 700));
    assert_eq!(answer.status(), 429);
    assert!(answer.get("retry-after").unwrap().parse::<f64>().unwrap() > 0.0);
    assert_eq!(program.counters()["endings"]["not_connected"], 1);
}

/// An operation is answered in time even if no worker is known and discovery is unavailable.
#[test]
fn an_empty_pool_config_ends_in_a_busy_reply() {
    let mut config = config(&[]);
    let unused_address = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    config["discovery"] = unused_address.to_string().into();
    let program = Program::with(Files::new(), &config, None, &[]);
    program.logged("the watch on discovery broke");
    assert_eq!(
        ask(program.addr, &operation("depth-log", "a1", 300)).status(),
        429
    );
}

/// Guards against a shutdown that waits for ever for a client that never completes its request.
#[test]
fn incomplete_request_does_not_delay_shutdown() {
    let mut config = config(&[]);
    for class in config["settings"]["requestClasses"].as_array_mut().unwrap() {
        class["deadlineUs"] = 500000.into();
    }
    let mut program = Program::with(Files::new(), &config, None, &[]);
    let mut half = connect(program.addr);
    half.write_all(b"POST /depth-log/x HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf")
        .unwrap();
    program.signal("TERM");
    assert!(program.child.wait().unwrap().success());
    drop(half);
}

#[rstest]
#[case::silent(SILENT)]
#[case::runs_on(RUNS_ON)]
fn job_that_does_not_end_is_cancelled_at_the_deadline(#[case] manner: Manner) {
    let worker = Worker::start("s-1", manner);
    let program = Program::start(&[&worker]);
    let answer = ask(program.addr, &operation("depth-log", "a1", 300));
    assert!([429, 504].contains(&answer.status()), "{}", answer.line);
    assert!(matches!(worker.next(), Sent::Job { .. }));
    assert_eq!(worker.next(), Sent::Cancel("a1".into()));
}

#[rstest]
#[case::before_the_202(SILENT)]
#[case::after_the_start(RUNS_ON)]
fn job_of_a_disconnected_client_is_cancelled(#[case] manner: Manner) {
    let worker = Worker::start("s-1", manner);
    let program = Program::start(&[&worker]);
    let mut client = connect(program.addr);
    client
        .write_all(operation("depth-log", "a1", 4000).as_bytes())
        .unwrap();
    assert!(matches!(worker.next(), Sent::Job { .. }));
    if manner.answer.is_some() {
        worker.told.recv_timeout(LONG).expect("the job has started");
    }
    drop(client);
    assert_eq!(worker.next(), Sent::Cancel("a1".into()));
    assert_eq!(program.counters()["clients_gone"], 1);
}

#[rstest]
#[case("TERM")]
#[case("INT")]
fn shutdown_answers_accepted_and_later_operations(#[case] signal: &str) {
    let worker = Worker::start("s-1", RUNS_ON);
    let mut program = Program::start(&[&worker]);
    let (mut first, mut kept) = (connect(program.addr), connect(program.addr));
    assert_eq!(
        exchange(&mut kept, "GET /up HTTP/1.1\r\n\r\n")
            .unwrap()
            .status(),
        200
    );
    first
        .write_all(operation("depth-log", "a1", 4000).as_bytes())
        .unwrap();
    assert!(matches!(worker.next(), Sent::Job { .. }));
    program.signal(signal);
    program.logged("stopping");
    kept.write_all(operation("depth-log", "a2", 4000).as_bytes())
        .unwrap();
    assert!(matches!(worker.next(), Sent::Job { .. }));
    let mut new = connect(program.addr);
    new.write_all(operation("depth-log", "a3", 4000).as_bytes())
        .unwrap();
    assert!(matches!(worker.next(), Sent::Job { .. }));
    for (stream, id) in [(&mut first, "a1"), (&mut kept, "a2"), (&mut new, "a3")] {
        assert_eq!(call_back(program.addr, id, "s-1", "done"), 204);
        assert_eq!(
            read_message(&mut BufReader::new(stream))
                .expect("an answer")
                .status(),
            200
        );
    }
    // Existing client connections continue to serve requests until they are closed at the end of the
    // shutdown.
    let (mut served, mut n) = (0, 10);
    while first
        .write_all(operation("depth-log", &format!("a{n}"), 4000).as_bytes())
        .is_ok()
    {
        if let Ok(Sent::Job { id, .. }) =
            worker.sent.recv_timeout(std::time::Duration::from_secs(1))
        {
            call_back(program.addr, &id, "s-1", "done");
        }
        let Some(answer) = read_message(&mut BufReader::new(&first)) else {
            break;
        };
        assert_eq!(answer.status(), 200);
        (served, n) = (served + 1, n + 1);
    }
    assert!(served > 0);
    assert!(program.child.wait().unwrap().success());
}

/// Guards against a shutdown that rejects new connections: workers open new ones for their callbacks, and
/// these callbacks complete the operations that are still unanswered.
#[test]
fn callbacks_on_new_connections_are_accepted_until_the_end_of_shutdown() {
    let worker = Worker::start("s-1", RUNS_ON);
    let mut program = Program::start(&[&worker]);
    let (mut client, mut kept) = (connect(program.addr), connect(program.addr));
    assert_eq!(
        exchange(&mut kept, "GET /up HTTP/1.1\r\n\r\n")
            .unwrap()
            .status(),
        200
    );
    client
        .write_all(operation("depth-log", "a1", 5000).as_bytes())
        .unwrap();
    assert!(matches!(worker.next(), Sent::Job { .. }));
    program.signal("TERM");
    // The end of an idle connection shows that requests on idle connections are no longer awaited.
    assert_eq!(kept.read(&mut [0]).unwrap(), 0);
    assert_eq!(call_back(program.addr, "a1", "s-1", "done"), 204);
    assert_eq!(
        read_message(&mut BufReader::new(client)).unwrap().body,
        "log of a1"
    );
    assert!(program.child.wait().unwrap().success());
}

/// Guards against a shutdown that leaves an operation without an answer because its client would wait for
/// longer than the program may run after SIGTERM.
#[test]
fn shutdown_answers_unfinished_operations_in_time() {
    let worker = Worker::start("s-1", RUNS_ON);
    let mut program = Program::start(&[&worker]);
    let mut client = connect(program.addr);
    client
        .write_all(operation("depth-log", "a1", 3_600_000).as_bytes())
        .unwrap();
    assert!(matches!(worker.next(), Sent::Job { .. }));
    program.signal("TERM");
    let answer = read_message(&mut BufReader::new(client)).expect("an answer");
    assert!([429, 504].contains(&answer.status()), "{}", answer.line);
    assert_eq!(worker.next(), Sent::Cancel("a1".into()));
    assert!(program.child.wait().unwrap().success());
}

/// A cancel that crosses the worker's busy reply must not cost a connection. On a busy machine the reply may
/// come too late to be awaited, but not every time.
#[test]
fn a_busy_reply_that_crosses_a_cancel_keeps_the_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut worker = Worker::start("s-1", SERVES);
    worker.addr = listener.local_addr().unwrap();
    let (sender, jobs) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let sender = sender.clone();
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while read_message(&mut reader).is_some() {
                    sender.send(stream.try_clone().unwrap()).unwrap();
                }
            });
        }
    });
    let program = Program::start(&[&worker]);
    const TRIES: u64 = 20;
    for n in 0..TRIES {
        let mut client = connect(program.addr);
        client
            .write_all(operation("depth-log", &format!("a{n}"), 4000).as_bytes())
            .unwrap();
        let mut job_stream = jobs.recv_timeout(LONG).expect("a job");
        drop(client);
        program.until("clients_gone", n + 1);
        let _ = job_stream.write_all(BUSY.answer.unwrap().as_bytes());
    }
    let opened = program.counters()["worker_connections"].as_u64().unwrap();
    assert!(opened < TRIES, "{opened} connections");
}

#[test]
fn watch_is_reopened_and_a_draining_worker_gets_no_new_jobs() {
    let (old, new) = (Worker::start("s-1", SERVES), Worker::start("s-2", SERVES));
    let discovery = Discovery(TcpListener::bind("127.0.0.1:0").unwrap());
    let mut config = config(&[&old]);
    config["discovery"] = discovery.0.local_addr().unwrap().to_string().into();
    let program = Program::with(Files::new(), &config, None, &[&old, &new]);
    assert_eq!(
        ask(program.addr, &operation("depth-log", "a0", 4000)).status(),
        200
    );
    assert!(matches!(old.next(), Sent::Job { .. }));
    let entries = [old.line("draining"), new.line("ready")];
    let first = discovery.watch(
        1,
        &[json!({"version": 7, "full": false, "servers": entries})],
    );
    program.logged("pool config");
    for n in 1..9 {
        assert_eq!(
            ask(
                program.addr,
                &operation("depth-log", &format!("a{n}"), 4000)
            )
            .status(),
            200
        );
    }
    assert!(old.sent.try_recv().is_err());
    drop(first); // the watch breaks, and is opened again from the last version read
    let silent = discovery.watch(7, &[]);
    // The watch sends nothing, not even that nothing changed: that counts as a broken watch too.
    let _third = discovery.watch(7, &[]);
    drop(silent);
}

/// Guards against a dispatcher that abandons a call queued at a busy discovery service. A call queued there
/// for more than 2 s, but less than discovery's own time-out, is still answered, and its list is applied.
#[test]
fn call_queued_at_discovery_is_not_abandoned() {
    let worker = Worker::start("s-1", SERVES);
    let discovery = Discovery(TcpListener::bind("127.0.0.1:0").unwrap());
    let mut config = config(&[&worker]);
    config["discovery"] = discovery.0.local_addr().unwrap().to_string().into();
    let program = Program::with(Files::new(), &config, None, &[&worker]);
    let (mut queued, _) = discovery.0.accept().unwrap();
    // Discovery processes the earlier calls first, as if a hundred dispatchers had called at once.
    std::thread::sleep(std::time::Duration::from_millis(2_400));
    let list =
        json!({"version": 2, "full": true, "servers": [worker.line("ready")]}).to_string() + "\n";
    let text = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\r\n",
        list.len()
    );
    queued.write_all(text.as_bytes()).unwrap();
    let first = program.logged_first(&["pool config", "the watch on discovery broke"]);
    assert!(first.contains("pool config"), "{first}");
}

#[rstest]
#[case::attempts("/settings/limits/maxAttempts", json!("four"), "settings.limits.maxAttempts: ")]
#[case::classes("/settings/requestClasses", json!([]), "settings.requestClasses: ")]
#[case::listen("/listen", json!("everywhere"), "listen: ")]
#[case::seed("/seed", json!("xyz"), "seed: ")]
#[case::known("/known/servers", json!([{"id": "s-1", "addr": "127.0.0.1:1", "state": "asleep"}]), "known.servers[0].state: ")]
fn invalid_configuration_error_names_its_key(
    #[case] at: &str,
    #[case] value: serde_json::Value,
    #[case] want: &str,
) {
    let mut config = config(&[]);
    *config.pointer_mut(at).unwrap() = value;
    let files = Files::new();
    let done = command(&files, &config, None).output().unwrap();
    let said = String::from_utf8(done.stderr).unwrap();
    assert!(
        !done.status.success() && said.lines().count() == 1 && said.contains(want),
        "{said}"
    );
}

/// Idle front sockets are closed for new ones, so that the descriptor limit never locks clients out.
#[test]
fn more_front_sockets_than_descriptors_are_handled() {
    let worker = Worker::start("s-1", SERVES);
    let mut config = config(&[&worker]);
    config["limits"]["sockets"] = 64.into();
    let program = Program::with(Files::new(), &config, None, &[&worker]);
    let idle: Vec<_> = (0..200).map(|_| connect(program.addr)).collect();
    assert_eq!(
        ask(program.addr, &operation("depth-log", "a1", 4000)).status(),
        200
    );
    let open =
        std::fs::read_dir(format!("/proc/{}/fd", program.child.id())).map_or(0, |d| d.count());
    assert!(open <= 64, "{open} descriptors");
    drop(idle);
}

/// Guards against connections that hold a descriptor without sending anything, or after one request that is
/// not an operation. A client whose operation was accepted is not one of them, however long it sends nothing
/// after that.
#[test]
fn silent_connections_are_closed_and_idle_ones_kept() {
    let worker = Worker::start("s-1", SERVES);
    let program = Program::start(&[&worker]);
    let mut kept = connect(program.addr);
    assert_eq!(
        exchange(&mut kept, &operation("depth-log", "a1", 4000))
            .unwrap()
            .status(),
        200
    );
    assert_eq!(connect(program.addr).read(&mut [0]).unwrap(), 0);
    let mut asks = connect(program.addr);
    assert_eq!(
        exchange(&mut asks, "GET /up HTTP/1.1\r\n\r\n")
            .unwrap()
            .status(),
        200
    );
    assert_eq!(asks.read(&mut [0]).unwrap(), 0);
    assert_eq!(
        exchange(&mut kept, &operation("depth-log", "a2", 4000))
            .unwrap()
            .status(),
        200
    );
}

/// Guards against a misbehaving client that stays connected: it may hold its connection no longer than its
/// answer takes.
#[test]
fn a_connection_is_closed_after_a_bad_request() {
    let program = Program::start(&[]);
    let mut client = connect(program.addr);
    let text = "POST /depth-log/x HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
    let answer = exchange(&mut client, text).unwrap();
    assert_eq!(
        (answer.status(), answer.get("connection")),
        (400, Some("close"))
    );
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
}

/// Guards against a burst that fills the accept queue, so that clients must retry. While the program is
/// stopped it accepts no connection, and all must fit into the queue.
#[test]
fn hundreds_of_simultaneous_connections_are_accepted() {
    let program = Program::start(&[]);
    program.signal("STOP");
    let one = |_| TcpStream::connect_timeout(&program.addr, LONG / 4).expect("a connection");
    let flood: Vec<_> = (0..300).map(one).collect();
    program.signal("CONT");
    drop(flood);
    assert_eq!(ask(program.addr, "GET /up HTTP/1.1\r\n\r\n").status(), 200);
}

/// Guards against request bodies that together take more memory than the limits leave for them: here 64
/// bodies of 64 KiB.
#[test]
fn request_bodies_are_limited_by_memory() {
    let mut config = config(&[]);
    config["limits"]["memory_mb"] = 16.into();
    let program = Program::with(Files::new(), &config, None, &[]);
    let begin = |n| {
        let mut client = connect(program.addr);
        let head = format!(
            "POST /depth-log/x HTTP/1.1\r\nX-Correlation-Id: a{n}\r\nContent-Length: 65536\r\n\r\n"
        );
        client.write_all(head.as_bytes()).unwrap();
        client
    };
    let clients: Vec<_> = (0..72).map(begin).collect();
    let status = |c| {
        read_message(&mut BufReader::new(c))
            .expect("an answer")
            .status()
    };
    let refused = clients
        .into_iter()
        .map(status)
        .filter(|&s| s == 503)
        .count();
    assert_eq!(refused, 8);
}

/// Guards against operations that take the last front sockets from the callbacks that would complete them.
#[test]
fn socket_reserve_is_kept_for_callbacks() {
    let worker = Worker::start("s-1", RUNS_ON);
    let mut config = config(&[&worker]);
    config["limits"]["sockets"] = 64.into();
    let program = Program::with(Files::new(), &config, None, &[&worker]);
    let mut clients = Vec::new();
    let most = streamusher::config::Limits {
        sockets: 64,
        memory_mb: 192,
    }
    .front_sockets();
    for n in 0..most {
        let mut client = connect(program.addr);
        client
            .write_all(operation("depth-log", &format!("a{n}"), 60_000).as_bytes())
            .unwrap();
        assert!(matches!(worker.next(), Sent::Job { .. }));
        worker.told.recv_timeout(LONG).expect("it has started");
        clients.push(client);
    }
    let answer = ask(program.addr, &operation("depth-log", "b", 60_000));
    assert_eq!(
        (answer.status(), answer.get("retry-after")),
        (503, Some("1"))
    );
    assert_eq!(call_back(program.addr, "a0", "s-1", "done"), 204);
    assert_eq!(
        read_message(&mut BufReader::new(&clients[0])).unwrap().body,
        "log of a0"
    );
}

/// Guards against callbacks that lose their connections to each other: workers open them at the same time,
/// and the data of one may still be in transit when the next is accepted.
#[test]
fn connections_in_the_reserve_do_not_close_each_other() {
    let worker = Worker::start("s-1", RUNS_ON);
    let mut config = config(&[&worker]);
    config["limits"]["sockets"] = 64.into();
    let program = Program::with(Files::new(), &config, None, &[&worker]);
    let limits = streamusher::config::Limits {
        sockets: 64,
        memory_mb: 192,
    };
    let clients: Vec<_> = (0..limits.front_sockets())
        .map(|n| {
            let mut client = connect(program.addr);
            let text = operation("depth-log", &format!("a{n}"), 60_000);
            client.write_all(text.as_bytes()).unwrap();
            assert!(matches!(worker.next(), Sent::Job { .. }));
            worker.told.recv_timeout(LONG).expect("it has started");
            client
        })
        .collect();
    let mut silent: Vec<_> = (0..limits.front_reserve())
        .map(|_| connect(program.addr))
        .collect();
    for (n, stream) in silent.iter_mut().enumerate() {
        let body = json!({"id": format!("a{n}"), "from": "s-1", "state": "done", "result": "log"});
        let body = body.to_string();
        let text = format!(
            "POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let answer = exchange(stream, &text).expect("an answer");
        assert_eq!(answer.status(), 204);
    }
    for client in clients.iter().take(limits.front_reserve()) {
        let answer = read_message(&mut BufReader::new(client)).expect("an answer");
        assert_eq!(answer.body, "log");
    }
}

/// Guards against a request head of unbounded length, which must not be buffered.
#[test]
fn oversized_request_head_is_rejected() {
    let program = Program::start(&[]);
    let mut client = connect(program.addr);
    let head = format!(
        "POST /depth-log/x HTTP/1.1\r\nX-Correlation-Id: a\r\nX-A: {}",
        "a".repeat(60_000)
    );
    assert_eq!(
        exchange(&mut client, &head).expect("an answer").status(),
        400
    );
}

/// Guards against clients that keep a connection for each request until they can open no more: the connection
/// idle for longest is closed, and the newest one keeps serving.
#[test]
fn idle_connections_are_kept_up_to_a_limit() {
    let worker = Worker::start("s-1", SERVES);
    let mut config = config(&[&worker]);
    config["limits"]["sockets"] = 64.into();
    let program = Program::with(Files::new(), &config, None, &[&worker]);
    let served = |n| {
        let mut client = connect(program.addr);
        assert_eq!(
            exchange(&mut client, &operation("depth-log", &format!("a{n}"), 4000))
                .unwrap()
                .status(),
            200
        );
        client
    };
    let mut clients: Vec<_> = (0..8).map(served).collect();
    assert_eq!(clients[0].read(&mut [0]).unwrap(), 0);
    assert_eq!(
        exchange(&mut clients[7], &operation("depth-log", "b", 4000))
            .unwrap()
            .status(),
        200
    );
}

/// Guards against floods that displace regular clients: a connection that a client keeps outlives hundreds
/// that send nothing, send incomplete requests or ask for no work. Each of these gets a response or the end
/// of the connection.
#[rstest]
#[case::silent("", "")]
#[case::half("POST /depth-log/x HTTP/1.1\r\nContent-Le", "HTTP/1.1 408 ")]
#[case::asked("GET /up HTTP/1.1\r\n\r\n", "HTTP/1.1 200 ")]
fn flood_does_not_close_a_regular_clients_connection(#[case] text: &str, #[case] response: &str) {
    let worker = Worker::start("s-1", SERVES);
    let mut config = config(&[&worker]);
    config["limits"]["sockets"] = 64.into();
    let program = Program::with(Files::new(), &config, None, &[&worker]);
    let mut kept = connect(program.addr);
    assert_eq!(
        exchange(&mut kept, &operation("depth-log", "a1", 4000))
            .unwrap()
            .status(),
        200
    );
    let flood = |_| {
        let mut one = connect(program.addr);
        let _ = one.write_all(text.as_bytes());
        one
    };
    let flood: Vec<_> = (0..200).map(flood).collect();
    assert_eq!(
        exchange(&mut kept, &operation("depth-log", "a2", 4000))
            .expect("an answer")
            .status(),
        200
    );
    for mut one in flood {
        let mut received = Vec::new();
        let end = one.read_to_end(&mut received).map_err(|e| e.kind());
        assert!(
            end != Err(std::io::ErrorKind::WouldBlock),
            "neither a response nor the end of the connection"
        );
        let received = String::from_utf8(received).unwrap();
        assert!(
            received.is_empty() || received.starts_with(response),
            "{received}"
        );
    }
}

/// Guards against a listener that terminates, or loops without pause, when the system has no descriptor left
/// for a new connection.
#[test]
fn listener_survives_descriptor_exhaustion_on_accept() {
    let worker = Worker::start("s-1", SERVES);
    let mut config = config(&[&worker]);
    config["limits"]["ulimit"] = 40.into();
    let program = Program::with(Files::new(), &config, None, &[&worker]);
    let idle: Vec<_> = (0..80).map(|_| connect(program.addr)).collect();
    program.logged("a front socket could not be accepted");
    drop(idle);
    assert_eq!(
        ask(program.addr, &operation("depth-log", "a1", 4000)).status(),
        200
    );
}

/// An operation with the id of one in flight is rejected, and the first one is answered exactly
/// once.
#[test]
fn operation_with_an_id_in_flight_is_rejected() {
    let worker = Worker::start("s-1", RUNS_ON);
    let program = Program::start(&[&worker]);
    let mut first = connect(program.addr);
    first
        .write_all(operation("depth-log", "a1", 4000).as_bytes())
        .unwrap();
    assert!(matches!(worker.next(), Sent::Job { .. }));
    assert_eq!(
        ask(program.addr, &operation("depth-log", "a1", 4000)).status(),
        409
    );
    assert_eq!(call_back(program.addr, "a1", "s-1", "done"), 204);
    let mut answer = Vec::new();
    let mut reader = BufReader::new(first);
    assert_eq!(read_message(&mut reader).unwrap().status(), 200);
    reader
        .get_mut()
        .shutdown(std::net::Shutdown::Write)
        .unwrap();
    reader.read_to_end(&mut answer).unwrap();
    assert!(answer.is_empty(), "one answer only");
}

/// Guards against a program that terminates on SIGHUP, keeps using the old discovery, or lets
/// `NODE_DISCOVERY`, which was set at the start, take precedence over the new file.
#[test]
fn new_configuration_changes_only_the_watch() {
    let (old, new) = (Worker::start("s-1", RUNS_ON), Worker::start("s-2", SERVES));
    let [before, after] = [(); 2].map(|_| Discovery(TcpListener::bind("127.0.0.1:0").unwrap()));
    let addr = |d: &Discovery| d.0.local_addr().unwrap().to_string();
    let mut config = config(&[&old]);
    config["environment"] = json!({"NODE_DISCOVERY": addr(&before)});
    let mut program = Program::with(Files::new(), &config, None, &[&old, &new]);
    let _still_alive = before.watch(1, &[json!({"version": 7, "full": false, "servers": []})]);
    let mut client = connect(program.addr);
    client
        .write_all(operation("depth-log", "a1", 5000).as_bytes())
        .unwrap();
    assert!(matches!(old.next(), Sent::Job { .. }));

    // Invalid files change nothing, and the log names the key.
    for (text, key) in [
        ("{}".to_string(), "settings: missing"),
        ("{".into(), "EOF"),
        {
            config["discovery"] = "nowhere".into();
            (config.to_string(), "discovery: not an address")
        },
    ] {
        program.reload(&text);
        assert!(program.logged("cannot be used").contains(key));
    }
    config["discovery"] = addr(&after).into();
    program.reload(&config.to_string());
    let entries = [old.line("draining"), new.line("ready")];
    let _watch = after.watch(
        0,
        &[json!({"version": 3, "full": true, "servers": entries})],
    );
    program.logged("pool config");
    for n in 2..6 {
        assert_eq!(
            ask(
                program.addr,
                &operation("depth-log", &format!("a{n}"), 4000)
            )
            .status(),
            200
        );
    }
    // The operation in flight is unaffected.
    assert_eq!(call_back(program.addr, "a1", "s-1", "done"), 204);
    assert_eq!(
        read_message(&mut BufReader::new(&client)).unwrap().body,
        "log of a1"
    );
    let counters = program.counters();
    assert_eq!(
        (&counters["reloads"], &counters["reloads_refused"]),
        (&json!(1), &json!(3))
    );
    drop(client);
    program.signal("TERM");
    assert!(program.child.wait().unwrap().success());
}

/// Guards against a signal that terminates the program while operations are unanswered.
#[test]
fn signals_during_a_stop_are_harmless() {
    let worker = Worker::start("s-1", RUNS_ON);
    let mut program = Program::start(&[&worker]);
    let mut client = connect(program.addr);
    client
        .write_all(operation("depth-log", "a1", 4000).as_bytes())
        .unwrap();
    assert!(matches!(worker.next(), Sent::Job { .. }));
    program.signal("TERM");
    program.logged("stopping");
    for (signal, logged) in [
        ("HUP", "new configuration"),
        ("USR1", "counters"),
        ("TERM", "stopping already"),
    ] {
        program.signal(signal);
        program.logged(logged);
    }
    assert_eq!(call_back(program.addr, "a1", "s-1", "done"), 204);
    assert_eq!(
        read_message(&mut BufReader::new(client)).unwrap().status(),
        200
    );
    assert!(program.child.wait().unwrap().success());
}
