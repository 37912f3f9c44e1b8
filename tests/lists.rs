//! Pool configs over real connections from discoveries that fail: silent, reset, stalled, refusing, indented, in each
//! way by which a list may come.

mod support;

use rstest::rstest;
use serde_json::{json, Value};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use support::*;

/// A program that knows `old`, and hears at this discovery.
fn begin(mode: &str, discovery: &Discovery, old: &Worker, new: &Worker) -> Program {
    let mut config = config(&[old]);
    config["discovery"] = discovery.addr().into();
    config["settings"]["discovery"] = mode.into();
    Program::with(Files::new(), &config, None, &[old, new])
}

fn handed_on(old: &Worker, new: &Worker, version: u64) -> Value {
    json!({"version": version, "full": false, "servers": [old.line("draining"), new.line("ready")]})
}

/// From here on all work goes to the new worker, none to the one that leaves.
fn is_told(program: &Program, old: &Worker) {
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
        "new work to a worker that leaves"
    );
}

/// Guards against a list that is not listened to until something asks for it: what the agent has counts as told from a
/// process's first moment, and no operation has come yet.
#[rstest]
fn the_list_is_watched_from_the_first_moment(#[values("pushed", "on_request")] mode: &str) {
    let (old, new) = (Worker::start("s-1", SERVES), Worker::start("s-2", SERVES));
    let discovery = Discovery::start();
    let program = begin(mode, &discovery, &old, &new);
    let _watch = discovery.watch(1, &[handed_on(&old, &new, 2)]);
    is_told(&program, &old);
}

/// Guards against taking a line for an object: lists may come indented, and in pieces of any size.
#[rstest]
fn an_indented_list_is_read(
    #[values("pushed", "on_request")] mode: &str,
    #[values(1, 7, 100_000)] piece: usize,
) {
    let (old, new) = (Worker::start("s-1", SERVES), Worker::start("s-2", SERVES));
    let discovery = Discovery::start();
    let program = begin(mode, &discovery, &old, &new);
    let mut watch = discovery.watch(1, &[]);
    let mut text =
        serde_json::to_string_pretty(&json!({"version": 2, "full": false, "servers": [],
        "note": "a brace } and a \" quote\n"}))
        .unwrap();
    text += "\n\n\r\n";
    text += &serde_json::to_string_pretty(&handed_on(&old, &new, 3)).unwrap();
    text += "\n";
    text.as_bytes()
        .chunks(piece)
        .for_each(|p| write_chunk(&mut watch, p));
    assert!(program.logged("pool config").contains("version: 2"));
    is_told(&program, &old);
}

/// What a discovery does to a call or watch before it is well again.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The watch is open and says nothing more.
    Silent,
    /// The watch is reset.
    Reset,
    /// The watch is ended in order.
    Ended,
    /// The call is taken and never answered.
    Stalled,
    /// The call is answered 503.
    Refused,
    /// The call is reset.
    CallReset,
    /// Half an object, and nothing more.
    Half,
    /// What is no list.
    NoList,
    /// A chunk that says it is huge.
    Huge,
}

/// Guards against a dispatcher that holds to a watch or call that will never say anything again, or leaves it at one.
#[rstest]
fn a_failing_discovery_is_asked_anew(
    #[values("pushed", "on_request")] mode: &str,
    #[values(
        Fault::Silent,
        Fault::Reset,
        Fault::Ended,
        Fault::Stalled,
        Fault::Refused,
        Fault::CallReset,
        Fault::Half,
        Fault::NoList,
        Fault::Huge
    )]
    fault: Fault,
) {
    let (old, new) = (Worker::start("s-1", SERVES), Worker::start("s-2", SERVES));
    let discovery = Discovery::start();
    let program = begin(mode, &discovery, &old, &new);
    let mut held = Vec::new();
    let mut after = 1;
    match fault {
        Fault::Silent | Fault::Reset | Fault::Ended | Fault::Half | Fault::NoList | Fault::Huge => {
            let mut watch =
                discovery.watch(1, &[json!({"version": 2, "full": false, "servers": []})]);
            program.logged("pool config");
            after = 2;
            match fault {
                Fault::Reset => reset(watch),
                Fault::Ended => drop(watch),
                _ => {
                    match fault {
                        Fault::Half => {
                            write_chunk(&mut watch, b"{\"version\": 9, \"full\": true, \"ser")
                        }
                        Fault::NoList => write_chunk(&mut watch, b"{\"version\": \"none\"}\n"),
                        Fault::Huge => watch.write_all(b"ffffffff\r\n").unwrap(),
                        _ => {}
                    }
                    held.push(watch);
                }
            }
        }
        Fault::Stalled => held.push(discovery.call().0),
        Fault::Refused => {
            let (mut call, _) = discovery.call();
            call.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                .unwrap();
            held.push(call);
        }
        Fault::CallReset => reset(discovery.call().0),
    }
    held.push(discovery.watch(after, &[handed_on(&old, &new, 3)]));
    is_told(&program, &old);
    assert_eq!(program.counters()["watches_broken"], 1);
}

/// Guards against a list of a discovery that is no longer the one: the old watch still says something after SIGHUP.
#[rstest]
fn a_signal_moves_the_watch_at_once(#[values("pushed", "on_request")] mode: &str) {
    let (old, new) = (Worker::start("s-1", SERVES), Worker::start("s-2", SERVES));
    let [before, after] = [(); 2].map(|_| Discovery::start());
    let mut config = config(&[&old]);
    config["discovery"] = before.addr().into();
    config["settings"]["discovery"] = mode.into();
    let program = Program::with(Files::new(), &config, None, &[&old, &new]);
    let mut alive = before.watch(1, &[json!({"version": 7, "full": false, "servers": []})]);
    program.logged("pool config");
    config["discovery"] = after.addr().into();
    program.reload(&config.to_string());
    let _watch = after.watch(
        0,
        &[json!({"version": 3, "full": true, "servers": [new.line("ready")]})],
    );
    program.logged("pool config");
    let line = json!({"version": 8, "full": true, "servers": [old.line("ready")]}).to_string();
    let _ = alive.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes());
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
        "the old discovery's list still counts"
    );
}

/// Guards against processes that are not ready until they have a list: thirty begin at once, with discovery full, and each
/// serves before a single call is answered.
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
        let begun: Vec<_> = (0..30)
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
        begun
            .into_iter()
            .map(|b| b.join().expect("ready"))
            .collect()
    });
    // They serve from the list that they were given, too.
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

/// A program that knows `old` from its earlier life and has taken an operation, `a1`, before it has heard anything; and the
/// client that waits for its answer. Nothing may be sent yet.
fn asked_early(discovery: &str, old: &Worker, new: &Worker) -> (Program, TcpStream) {
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

fn answered(client: TcpStream) -> Message {
    read_message(&mut BufReader::new(client)).expect("an answer")
}

/// Guards against work sent by an earlier life's list: a worker that left since then may be up at its address again, not
/// listed yet, and discovery has had the change for long.
#[test]
fn a_new_process_sends_nothing_before_its_first_list() {
    let (old, new) = (Worker::start("s-1", SERVES), Worker::start("s-2", SERVES));
    let discovery = Discovery::start();
    let (program, client) = asked_early(&discovery.addr(), &old, &new);
    assert_eq!(
        program.counters()["steps"],
        0,
        "sent by the list of an earlier life"
    );
    let mut left = handed_on(&old, &new, 2);
    left["servers"][0]["state"] = "gone".into();
    let _watch = discovery.watch(1, &[left]);
    assert_eq!(answered(client).body, "log of a1");
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
        "new work to a worker that has left"
    );
}

/// Guards against operations that wait for a list that is not to be had: the first call's end is the end of the waiting,
/// and the list that is known serves.
#[rstest]
fn a_first_call_that_fails_ends_the_waiting(
    #[values(
        Fault::Refused,
        Fault::CallReset,
        Fault::Stalled,
        Fault::Reset,
        Fault::NoList
    )]
    fault: Fault,
) {
    let (old, new) = (Worker::start("s-1", SERVES), Worker::start("s-2", SERVES));
    let discovery = Discovery::start();
    let (program, client) = asked_early(&discovery.addr(), &old, &new);
    assert_eq!(
        program.counters()["steps"],
        0,
        "sent by the list of an earlier life"
    );
    let (mut call, _) = discovery.call();
    match fault {
        Fault::Refused => call
            .write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            .unwrap(),
        Fault::CallReset => reset(call.try_clone().unwrap()),
        Fault::NoList => {
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
    assert_eq!(answered(client).body, "log of a1");
    assert!(
        matches!(old.next(), Sent::Job { .. }),
        "the list that is known serves"
    );
}

/// The same where nobody listens at discovery's address.
#[test]
fn a_discovery_that_is_down_holds_nothing_up() {
    let (old, new) = (Worker::start("s-1", SERVES), Worker::start("s-2", SERVES));
    let addr = Discovery::start().addr(); // closed again
    let (_program, client) = asked_early(&addr, &old, &new);
    assert_eq!(answered(client).body, "log of a1");
}
