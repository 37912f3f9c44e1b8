//! Endpoint lists over real connections from a discovery that fails: silent, reset, stalled, refusing or
//! sending indented lists. Covers both kinds of discovery.

mod support;

use rstest::rstest;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use support::*;

/// Starts a program that knows `old` and watches this discovery.
fn start_program(mode: &str, discovery: &Discovery, old: &Worker, new: &Worker) -> Program {
    let mut config = config(&[old]);
    config["discovery"] = discovery.addr().into();
    config["settings"]["discovery"] = mode.into();
    Program::with(Files::new(), &config, None, &[old, new])
}

fn replacement_list(old: &Worker, new: &Worker, version: u64) -> Value {
    json!({"version": version, "full": false, "servers": [old.line("draining"), new.line("ready")]})
}

/// Checks that from here on all work goes to the new worker and none to the leaving one.
fn assert_list_is_applied(program: &Program, old: &Worker) {
    program.logged("pool config");
    for n in 0..6 {
        assert_eq!(
            ask(
                program.addr,
                &operation("depth-log", &format!("t{n}"), 4000)
            )
            .status(),
            200
        );
    }
    assert!(
        old.sent.try_recv().is_err(),
        "new work for a leaving worker"
    );
}

/// Guards against a program that opens the watch only when the first operation arrives: changes that the
/// agent has are effective from the start of the process, when no operation has arrived yet.
#[rstest]
fn the_list_is_watched_from_process_start(#[values("pushed", "on_request")] mode: &str) {
    let (old, new) = (Worker::start("s-1", SERVES), Worker::start("s-2", SERVES));
    let discovery = Discovery::start();
    let program = start_program(mode, &discovery, &old, &new);
    let _watch = discovery.watch(1, &[replacement_list(&old, &new, 2)]);
    assert_list_is_applied(&program, &old);
}

/// Guards against treating each line as an object: lists may be indented and arrive in pieces of any size.
#[rstest]
fn an_indented_list_is_read(
    #[values("pushed", "on_request")] mode: &str,
    #[values(1, 7, 100_000)] piece: usize,
) {
    let (old, new) = (Worker::start("s-1", SERVES), Worker::start("s-2", SERVES));
    let discovery = Discovery::start();
    let program = start_program(mode, &discovery, &old, &new);
    let mut watch = discovery.watch(1, &[]);
    let mut text =
        serde_json::to_string_pretty(&json!({"version": 2, "full": false, "servers": [],
        "note": "a brace } and a \" quote\n"}))
        .unwrap();
    text += "\n\n\r\n";
    text += &serde_json::to_string_pretty(&replacement_list(&old, &new, 3)).unwrap();
    text += "\n";
    text.as_bytes()
        .chunks(piece)
        .for_each(|p| write_chunk(&mut watch, p));
    assert!(program.logged("pool config").contains("version: 2"));
    assert_list_is_applied(&program, &old);
}

/// Fault of a call or watch before discovery recovers.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The watch stays open and sends nothing more.
    Silent,
    /// The watch is reset.
    Reset,
    /// The watch is closed in order.
    Closed,
    /// The call is accepted and never answered.
    Stalled,
    /// The call is answered with 503.
    Refused,
    /// The call is reset.
    CallReset,
    /// The watch sends half an object and nothing more.
    Truncated,
    /// The watch sends an object that is not a list.
    InvalidList,
    /// The watch sends a chunk header that announces a huge size.
    HugeChunk,
}

/// Guards against a dispatcher that keeps a dead watch or call open, or does not call again after a failure.
#[rstest]
fn a_failing_discovery_is_called_again(
    #[values("pushed", "on_request")] mode: &str,
    #[values(
        Fault::Silent,
        Fault::Reset,
        Fault::Closed,
        Fault::Stalled,
        Fault::Refused,
        Fault::CallReset,
        Fault::Truncated,
        Fault::InvalidList,
        Fault::HugeChunk
    )]
    fault: Fault,
) {
    let (old, new) = (Worker::start("s-1", SERVES), Worker::start("s-2", SERVES));
    let discovery = Discovery::start();
    let program = start_program(mode, &discovery, &old, &new);
    let mut open_connections = Vec::new();
    let mut after = 1;
    match fault {
        Fault::Silent
        | Fault::Reset
        | Fault::Closed
        | Fault::Truncated
        | Fault::InvalidList
        | Fault::HugeChunk => {
            let mut watch =
                discovery.watch(1, &[json!({"version": 2, "full": false, "servers": []})]);
            program.logged("pool config");
            after = 2;
            match fault {
                Fault::Reset => reset(watch),
                Fault::Closed => drop(watch),
                _ => {
                    match fault {
                        Fault::Truncated => {
                            write_chunk(&mut watch, b"{\"version\": 9, \"full\": true, \"ser")
                        }
                        Fault::InvalidList => write_chunk(&mut watch, b"{\"version\": \"none\"}\n"),
                        Fault::HugeChunk => watch.write_all(b"ffffffff\r\n").unwrap(),
                        _ => {}
                    }
                    open_connections.push(watch);
                }
            }
        }
        Fault::Stalled => open_connections.push(discovery.call().0),
        Fault::Refused => {
            let (mut call, _) = discovery.call();
            call.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                .unwrap();
            open_connections.push(call);
        }
        Fault::CallReset => reset(discovery.call().0),
    }
    open_connections.push(discovery.watch(after, &[replacement_list(&old, &new, 3)]));
    assert_list_is_applied(&program, &old);
    assert_eq!(program.counters()["watches_broken"], 1);
}

/// Guards against accepting a list of the previous discovery: the old watch still sends one after SIGHUP.
#[rstest]
fn a_signal_moves_the_watch_at_once(#[values("pushed", "on_request")] mode: &str) {
    let (old, new) = (Worker::start("s-1", SERVES), Worker::start("s-2", SERVES));
    let [before, after] = [(); 2].map(|_| Discovery::start());
    let mut config = config(&[&old]);
    config["discovery"] = before.addr().into();
    config["settings"]["discovery"] = mode.into();
    let program = Program::with(Files::new(), &config, None, &[&old, &new]);
    let mut old_watch = before.watch(1, &[json!({"version": 7, "full": false, "servers": []})]);
    program.logged("pool config");
    config["discovery"] = after.addr().into();
    program.reload(&config.to_string());
    let _watch = after.watch(
        0,
        &[json!({"version": 3, "full": true, "servers": [new.line("ready")]})],
    );
    program.logged("pool config");
    let line = json!({"version": 8, "full": true, "servers": [old.line("ready")]}).to_string();
    let _ = old_watch.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes());
    for n in 0..6 {
        assert_eq!(
            ask(
                program.addr,
                &operation("depth-log", &format!("t{n}"), 4000)
            )
            .status(),
            200
        );
    }
    assert!(
        old.sent.try_recv().is_err(),
        "a list of the previous discovery was applied"
    );
}

/// Guards against processes that become ready only with their first list: thirty start at the same time while
/// discovery answers no call, and each must serve before any call is answered.
#[test]
fn processes_are_ready_while_discovery_answers_nobody() {
    let worker = Worker::start(
        "s-1",
        Manner {
            answer: Some(TAKEN),
            early: &[],
            then: &[],
        },
    );
    let discovery = Discovery::start();
    let (addr, site) = (discovery.addr(), config(&[&worker]));
    let ready: Vec<Program> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..30)
            .map(|n| {
                let (addr, site) = (&addr, &site);
                scope.spawn(move || {
                    let mut config = site.clone();
                    config["discovery"] = addr.as_str().into();
                    config["name"] = format!("n{n}").into();
                    config["settings"]["balancers"] = 30.into();
                    let program = Program::with(Files::new(), &config, None, &[]);
                    assert_eq!(
                        ask(program.addr, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status(),
                        200
                    );
                    program
                })
            })
            .collect();
        threads
            .into_iter()
            .map(|b| b.join().expect("ready"))
            .collect()
    });
    // They also serve operations, with the list from their configuration.
    for (n, program) in ready.iter().enumerate() {
        let id = format!("a{n}");
        let mut client = connect(program.addr);
        std::io::Write::write_all(&mut client, operation("depth-log", &id, 20_000).as_bytes())
            .unwrap();
        assert!(matches!(worker.next(), Sent::Job { .. }));
        assert_eq!(call_back(program.addr, &id, "s-1", "done"), 204);
        assert_eq!(
            read_message(&mut std::io::BufReader::new(client))
                .expect("an answer")
                .status(),
            200
        );
    }
}

/// Starts a program that knows `old` from a previous run and has accepted operation `a1` before its first
/// list arrived. Also returns the client that waits for the answer. The program may not send any work yet.
fn start_with_waiting_operation(
    discovery: &str,
    old: &Worker,
    new: &Worker,
) -> (Program, TcpStream) {
    let mut config = config(&[old]);
    config["discovery"] = discovery.into();
    config["settings"]["discovery"] = "on_request".into();
    let program = Program::with(Files::new(), &config, None, &[old, new]);
    let mut client = connect(program.addr);
    client
        .write_all(operation("depth-log", "a1", 20_000).as_bytes())
        .unwrap();
    program.until("operations", 1);
    (program, client)
}

fn read_answer(client: TcpStream) -> Message {
    read_message(&mut BufReader::new(client)).expect("an answer")
}

/// Guards against work that is sent according to the list of a previous run: a worker that has left since may
/// be up at its address again without being listed, and discovery may have had the change for a long time.
#[test]
fn a_new_process_sends_nothing_before_its_first_list() {
    let (old, new) = (Worker::start("s-1", SERVES), Worker::start("s-2", SERVES));
    let discovery = Discovery::start();
    let (program, client) = start_with_waiting_operation(&discovery.addr(), &old, &new);
    assert_eq!(
        program.counters()["steps"],
        0,
        "sent according to the list of a previous run"
    );
    let mut left = replacement_list(&old, &new, 2);
    left["servers"][0]["state"] = "gone".into();
    let _watch = discovery.watch(1, &[left]);
    assert_eq!(read_answer(client).body, "log of a1");
    assert_eq!(
        new.next(),
        Sent::Job {
            id: "a1".into(),
            key: Some("key-a1".into()),
            body: "core".into()
        }
    );
    assert!(
        old.sent.try_recv().is_err(),
        "new work for a worker that has left"
    );
}

/// Guards against operations that wait for a list that does not arrive: the wait ends with the first call,
/// and the known list is used.
#[rstest]
fn a_failed_first_call_ends_the_wait(
    #[values(
        Fault::Refused,
        Fault::CallReset,
        Fault::Stalled,
        Fault::Reset,
        Fault::InvalidList
    )]
    fault: Fault,
) {
    let (old, new) = (Worker::start("s-1", SERVES), Worker::start("s-2", SERVES));
    let discovery = Discovery::start();
    let (program, client) = start_with_waiting_operation(&discovery.addr(), &old, &new);
    assert_eq!(
        program.counters()["steps"],
        0,
        "sent according to the list of a previous run"
    );
    let (mut call, _) = discovery.call();
    match fault {
        Fault::Refused => call
            .write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            .unwrap(),
        Fault::CallReset => reset(call.try_clone().unwrap()),
        Fault::InvalidList => {
            call.write_all(WATCHED.as_bytes()).unwrap();
            write_chunk(&mut call, b"{\"version\": \"none\"}\n");
        }
        Fault::Reset => {
            call.write_all(WATCHED.as_bytes()).unwrap();
            reset(call.try_clone().unwrap());
        }
        _ => {}
    }
    if matches!(fault, Fault::CallReset | Fault::Reset) {
        drop(call);
    }
    assert_eq!(read_answer(client).body, "log of a1");
    assert!(
        matches!(old.next(), Sent::Job { .. }),
        "the known list is used"
    );
}

/// Guards against a dispatcher that keeps operations waiting for a first list while nothing listens at the
/// address of discovery.
#[test]
fn a_discovery_that_is_down_does_not_block_operations() {
    let (old, new) = (Worker::start("s-1", SERVES), Worker::start("s-2", SERVES));
    let addr = Discovery::start().addr(); // dropped at once, so that nothing listens at its address
    let (_program, client) = start_with_waiting_operation(&addr, &old, &new);
    assert_eq!(read_answer(client).body, "log of a1");
}
