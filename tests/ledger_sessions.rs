//! Tests that results received by batch tools in job sessions agree with the bill.

mod support;

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::thread::JoinHandle;
use std::time::Duration;
use support::*;

/// Time without progress after which the program is taken to read no more calls.
const STALLED: Duration = Duration::from_millis(500);
const LAST_SEQ: usize = 6;
/// Number of calls of one session after which a task of another session has had its turn.
const ROUND_TRIPS: usize = 500;
/// Number of replies, of about a kilobyte each, that exceeds the buffers of a connection whose client does
/// not read.
const UNREAD_REPLIES: usize = 30_000;

struct Session(BufReader<TcpStream>);

impl Session {
    fn open(program: &Program) -> Session {
        Session(BufReader::new(connect(program.drmaa.unwrap())))
    }

    fn send(&mut self, call: &Value) {
        let line = format!("{call}\n");
        self.0.get_mut().write_all(line.as_bytes()).unwrap();
    }

    /// Reads replies until the one to the call `seq`, and returns it.
    fn reply_to(&mut self, seq: usize) -> Value {
        loop {
            let mut line = String::new();
            assert!(
                self.0.read_line(&mut line).unwrap() > 0,
                "the session ended"
            );
            let reply: Value = serde_json::from_str(&line).unwrap();
            if reply["seq"] == seq {
                return reply;
            }
        }
    }

    fn call(&mut self, call: &Value) -> Value {
        self.send(call);
        self.reply_to(call["seq"].as_u64().unwrap() as usize)
    }

    fn run(&mut self, seq: usize, name: &str) -> String {
        let template = json!({"remoteCommand": "/depth-log/bh-7", "streamusher_input": "core", "jobName": name});
        let reply = self.call(&json!({"seq": seq, "call": "runJob", "jobTemplate": template}));
        reply["jobId"].as_str().unwrap().to_string()
    }
}

/// Queries the state of a job repeatedly without reading the replies. Returns once the program cannot write
/// any more.
fn flood(session: &Session, job: &str) -> JoinHandle<()> {
    let mut stream = session.0.get_ref().try_clone().unwrap();
    let call = json!({"seq": 5, "call": "getInfo", "jobId": job});
    let last = json!({"seq": LAST_SEQ, "call": "getState", "jobId": job});
    let (sent, progress) = channel();
    let flood = std::thread::spawn(move || {
        for _ in 0..UNREAD_REPLIES {
            stream.write_all(format!("{call}\n").as_bytes()).unwrap();
            sent.send(()).unwrap();
        }
        stream.write_all(format!("{last}\n").as_bytes()).unwrap();
    });
    while progress.recv_timeout(STALLED).is_ok() {}
    // The rest is sent while the replies are being read.
    std::thread::spawn(move || while progress.recv().is_ok() {});
    flood
}

fn served(dir: &std::path::Path) -> u64 {
    let (code, text) = ledger(dir, &["show", "--json"]);
    assert_eq!(code, 0, "{text}");
    let shown: Value = serde_json::from_str(&text).unwrap();
    let lines = shown.as_array().unwrap().iter();
    let lines = lines.flat_map(|period| period["lines"].as_array().unwrap());
    lines
        .map(|line| line["sums"]["served"].as_u64().unwrap())
        .sum()
}

/// Guards against a result that a session receives and no bill contains: another session reaped the job while
/// the reply with the result still waited for the first session to read it.
#[test]
fn result_queued_for_a_session_is_billed_although_the_job_is_reaped_meanwhile() {
    let (worker, files) = (Worker::start("s-1", RUNS_ON), Files::new());
    let dir = files.0.join("ledger");
    let mut config = config(&[&worker]);
    config["operators"] = format!(
        "[drmaa]\nlisten = '127.0.0.1:0'\n[ledger]\ndir = '{}'\nperiod = 'hour'\n",
        dir.display()
    )
    .into();
    let mut program = Program::with(Files::new(), &config, None, &[&worker]);
    let mut reader = Session::open(&program);
    let name = "n".repeat(1_000);
    let operation_sent = || match worker.next() {
        Sent::Job { id, .. } => id,
        Sent::Cancel(id) => panic!("{id} is cancelled"),
    };
    let first = reader.run(1, &name);
    let first_operation = operation_sent();
    let second = reader.run(2, &name);
    let second_operation = operation_sent();
    reader.send(&json!({"seq": 3, "call": "waitTerminated", "jobId": second, "timeout": 20}));
    assert_eq!(
        call_back(program.addr, &first_operation, "s-1", "done"),
        204
    );
    reader.call(&json!({"seq": 4, "call": "waitTerminated", "jobId": first, "timeout": 20}));

    let flood = flood(&reader, &first);
    let mut other = Session::open(&program);
    assert_eq!(
        call_back(program.addr, &second_operation, "s-1", "done"),
        204
    );
    other.call(&json!({"seq": 1, "call": "waitTerminated", "jobId": first, "timeout": 20}));
    let is_done = |reply: &Value| reply["jobState"] == "DONE";
    let ask_state = json!({"seq": 2, "call": "getState", "jobId": second});
    while !is_done(&other.call(&ask_state)) {}
    // Gives the reply time to get into the first session's queue.
    for _ in 0..ROUND_TRIPS {
        other.call(&ask_state);
    }
    let reaped = other.call(&json!({"seq": 3, "call": "reap", "jobId": second}));
    assert_eq!(reaped["error"], Value::Null);

    let reply = reader.reply_to(3);
    let result = &reply["jobInfo"]["streamusher_output"];
    let has_result = *result == format!("log of {second_operation}");
    // The reap may still come first: then the session waits for a job that no longer exists, and gets no
    // result.
    assert!(
        has_result || reply["error"] == "INVALID_ARGUMENT",
        "{reply}"
    );
    reader.reply_to(LAST_SEQ);
    flood.join().unwrap();
    program.signal("TERM");
    assert!(program.child.wait().unwrap().success());
    assert_eq!(served(&dir), 1 + u64::from(has_result));
}
