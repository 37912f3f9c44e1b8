//! The DRMAA front and its worker driver: the real program between simulated sessions and simulated workers of
//! both protocols, the platform's and DRMAA.

mod support;

use rstest::rstest;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::thread::spawn;
use support::*;

const LISTEN: &str = "listen = \"127.0.0.1:0\"\n";

/// A batch tool's session. `notifications` collects messages that are not the response to a call.
struct Session {
    stream: BufReader<TcpStream>,
    seq: u64,
    notifications: Vec<Value>,
}

impl Session {
    fn open(program: &Program) -> Session {
        let stream = BufReader::new(connect(program.drmaa.expect("the front listens")));
        Session {
            stream,
            seq: 0,
            notifications: Vec::new(),
        }
    }

    fn send(&mut self, call: Value) -> u64 {
        self.seq += 1;
        let mut call = call;
        call["seq"] = self.seq.into();
        self.stream
            .get_mut()
            .write_all(format!("{call}\n").as_bytes())
            .unwrap();
        self.seq
    }

    fn receive(&mut self) -> Value {
        let mut line = String::new();
        self.stream.read_line(&mut line).expect("a line");
        serde_json::from_str(&line).expect("JSON")
    }

    fn call(&mut self, call: Value) -> Value {
        let seq = self.send(call);
        loop {
            let message = self.receive();
            if message["seq"] == seq {
                return message;
            }
            self.notifications.push(message);
        }
    }

    fn run(&mut self, command: &str, key: &str) -> String {
        let template = json!({"remoteCommand": command, "streamusher_input": "core",
            "streamusher_idempotencyKey": key});
        let message = self.call(json!({"call": "runJob", "jobTemplate": template}));
        message["jobId"]
            .as_str()
            .unwrap_or_else(|| panic!("{message}"))
            .to_string()
    }

    fn wait(&mut self, job: &str, what: &str) -> Value {
        self.call(json!({"call": what, "jobId": job, "timeout": 20}))["jobInfo"].clone()
    }
}

/// Starts the program with the DRMAA front, `workers` that use the platform's protocol, and DRMAA workers
/// (`sheds`) from an inventory.
fn program(workers: &[&Worker], sheds: &[&Shed]) -> Program {
    let files = Files::new();
    let rows = sheds
        .iter()
        .enumerate()
        .map(|(i, s)| format!("{i},127.0.0.1,{},standard,pump-house\n", s.addr.port()));
    files.add(
        "workers.csv",
        &("name,address,port,kind,zone\n".to_string() + &rows.collect::<String>()),
    );
    let text = format!("{LISTEN}inventory = \"workers.csv\"\n");
    Program::with(files, &config(workers), Some(&text), workers)
}

#[test]
fn job_runs_and_its_states_are_notified() {
    let worker = Worker::start("s-1", SERVES);
    let program = program(&[&worker], &[]);
    let mut session = Session::open(&program);
    let job = session.run("/depth-log/bh-7", "");
    let info = session.wait(&job, "waitTerminated");
    assert_eq!(
        (&info["jobState"], &info["exitStatus"]),
        (&json!("DONE"), &json!(0)),
        "{info}"
    );
    assert!(
        info["streamusher_output"]
            .as_str()
            .unwrap()
            .starts_with("log of drmaa-"),
        "{info}"
    );
    // Other sessions may query the job until it is reaped.
    let mut other = Session::open(&program);
    assert_eq!(
        other.call(json!({"call": "getState", "jobId": job}))["jobState"],
        "DONE"
    );
    assert_eq!(
        other.call(json!({"call": "terminate", "jobId": job}))["error"],
        "INVALID_STATE"
    );
    assert_eq!(
        other
            .call(json!({"call": "reap", "jobId": job}))
            .get("error"),
        None
    );
    assert_eq!(
        other.call(json!({"call": "getInfo", "jobId": job}))["error"],
        "INVALID_ARGUMENT"
    );
    let states: Vec<&Value> = session
        .notifications
        .iter()
        .map(|t| &t["jobState"])
        .collect();
    assert_eq!(states, [&json!("RUNNING"), &json!("DONE")]);
}

#[rstest]
#[case::class(json!({"remoteCommand": "/render/x"}), "INVALID_ARGUMENT")]
#[case::other_class(json!({"remoteCommand": "/depth-log/x", "jobCategory": "layer-view"}), "INVALID_ARGUMENT")]
#[case::no_path(json!({"remoteCommand": "depth log"}), "INVALID_ARGUMENT")]
#[case::no_key(json!({"remoteCommand": "/sample-entry/x"}), "INVALID_ARGUMENT")]
#[case::past_deadline(json!({"remoteCommand": "/depth-log/x", "deadlineTime": 1}), "INVALID_ARGUMENT")]
#[case::long_name(json!({"remoteCommand": "/depth-log/x", "jobName": "x".repeat(2000)}), "INVALID_ARGUMENT")]
#[case::unknown_attribute(json!({"remoteCommand": "/depth-log/x", "colour": "blue"}), "INVALID_ARGUMENT")]
#[case::unsupported(json!({"remoteCommand": "/depth-log/x", "workingDirectory": "/"}), "UNSUPPORTED_ATTRIBUTE")]
#[case::large(json!({"remoteCommand": "/depth-log/x", "streamusher_input": "x".repeat(65537)}), "OUT_OF_RESOURCE")]
fn invalid_template_is_rejected(#[case] template: Value, #[case] error: &str) {
    let program = program(&[], &[]);
    let mut session = Session::open(&program);
    assert_eq!(
        session.call(json!({"call": "runJob", "jobTemplate": template}))["error"],
        error
    );
    assert_eq!(
        session.call(json!({"call": "hold", "jobId": "1"}))["error"],
        "UNSUPPORTED_OPERATION"
    );
    assert_eq!(
        session.call(json!({"call": "dance"}))["error"],
        "INVALID_ARGUMENT"
    );
    assert_eq!(program.counters()["operations"], 0);
}

#[rstest]
#[case::silent(RUNS_ON, 0.4, &["TIMEOUT", "TRY_LATER"])]
#[case::turned_away(BUSY, 0.4, &["TRY_LATER"])]
#[case::failed(Manner { answer: Some(TAKEN), early: &[], then: &["started", "failed"] }, 0.4, &["TRY_LATER"])]
fn unserved_job_fails_by_its_deadline(
    #[case] manner: Manner,
    #[case] left: f64,
    #[case] errors: &[&str],
) {
    let worker = Worker::start("s-1", manner);
    let program = program(&[&worker], &[]);
    let mut session = Session::open(&program);
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_secs_f64();
    let template = json!({"remoteCommand": "/depth-log/x", "deadlineTime": now + left});
    let job = session.call(json!({"call": "runJob", "jobTemplate": template}))["jobId"].clone();
    let info = session.wait(job.as_str().unwrap(), "waitTerminated");
    assert_eq!(info["jobState"], "FAILED");
    assert!(
        errors.iter().any(|e| info["streamusher_error"] == *e),
        "{info}"
    );
}

#[rstest]
#[case::platform(true)]
#[case::drmaa(false)]
fn job_cancelled_while_running_ends_exactly_once(#[case] platform: bool) {
    let (worker, shed) = (Worker::start("s-1", RUNS_ON), Shed::start("runs on"));
    let program = if platform {
        program(&[&worker], &[])
    } else {
        program(&[], &[&shed])
    };
    let sent = if platform { &worker.sent } else { &shed.sent };
    let mut session = Session::open(&program);
    let job = session.run("/depth-log/bh-7", "");
    assert_eq!(session.wait(&job, "waitStarted")["jobState"], "RUNNING");
    let Sent::Job { id, .. } = sent.recv_timeout(LONG).unwrap() else {
        panic!("a job")
    };
    assert_eq!(
        session
            .call(json!({"call": "terminate", "jobId": job}))
            .get("error"),
        None
    );
    assert_eq!(sent.recv_timeout(LONG).unwrap(), Sent::Cancel(id.clone()));
    assert_eq!(call_back(program.addr, &id, "s-1", "done"), 204); // a call-back after the cancellation has no effect
    let info = session.wait(&job, "waitTerminated");
    assert_eq!(
        (&info["jobState"], &info["terminatingSignal"]),
        (&json!("FAILED"), &json!("SIGTERM"))
    );
    assert_eq!(
        session.call(json!({"call": "terminate", "jobId": job}))["error"],
        "INVALID_STATE"
    );
    let ends = session
        .notifications
        .iter()
        .filter(|t| t["jobState"] == "FAILED" || t["jobState"] == "DONE");
    assert_eq!(ends.count(), 1);
    assert_eq!(program.counters()["served"], 0);
}

/// With both fronts, workers of both protocols, and workers that fail in several ways, every job ends exactly once
/// and none is lost.
#[test]
fn both_fronts_give_every_job_one_final_answer() {
    let workers = [Worker::start("s-1", SERVES), Worker::start("s-2", BUSY)];
    let sheds = ["serves", "turns away", "breaks", "fails", "is lost"].map(Shed::start);
    let program = program(&workers.each_ref(), &sheds.each_ref());
    let addr = program.addr;
    const JOBS: usize = 40;
    let http = spawn(move || {
        let mut stream = connect(addr);
        let ids = (0..JOBS).map(|n| (["depth-log", "sample-entry"][n % 2], format!("h{n}")));
        let answers = ids.map(|(class, id)| {
            let answer = exchange(&mut stream, &operation(class, &id, 4000)).expect("an answer");
            assert!(answer.status() != 200 || answer.body == format!("log of {id}"));
            answer.status()
        });
        answers.collect::<Vec<_>>()
    });
    let mut session = Session::open(&program);
    let class = |n: usize| ["/layer-view/bh-1", "/sample-entry/bh-2"][n % 2];
    let jobs: Vec<String> = (0..JOBS)
        .map(|n| session.run(class(n), &format!("d{n}")))
        .collect();
    let terminated = [3, 8];
    for n in terminated {
        session.call(json!({"call": "terminate", "jobId": jobs[n]}));
    }
    let infos: Vec<Value> = jobs
        .iter()
        .map(|j| session.wait(j, "waitTerminated"))
        .collect();
    let statuses = http.join().expect("the client");
    let mut ends: HashMap<String, usize> = HashMap::new();
    for notifications in &session.notifications {
        if notifications["jobState"] == "DONE" || notifications["jobState"] == "FAILED" {
            *ends
                .entry(notifications["jobId"].as_str().unwrap().to_string())
                .or_default() += 1;
        }
    }
    assert!(jobs.iter().all(|j| ends[j] == 1), "{ends:?}");
    assert!(
        infos
            .iter()
            .all(|i| i["jobState"] == "DONE" || i["jobState"] == "FAILED"),
        "{infos:?}"
    );
    let c = program.counters();
    let count = |name: &str| c[name].as_u64().unwrap() as usize;
    let answered = count("served") + count("busy_replies") + count("failed") + count("failed_late");
    assert_eq!(
        (count("operations"), answered + count("clients_gone")),
        (2 * JOBS, 2 * JOBS),
        "{c}"
    );
    assert_eq!(statuses.len(), JOBS);
    let served = statuses.iter().filter(|s| **s == 200).count();
    assert!(served > 0 && infos.iter().any(|i| i["jobState"] == "DONE"));
}

/// A keyed job submitted twice runs once, whichever fronts it is submitted to; the second submission gets the result
/// of the first.
#[rstest]
#[case::drmaa_then_platform(false)]
#[case::platform_then_drmaa(true)]
fn a_sample_entry_submitted_twice_runs_once(#[case] platform_first: bool) {
    let (worker, shed) = (Worker::start("s-1", SERVES), Shed::start("serves"));
    let program = program(&[&worker], &[&shed]);
    let mut session = Session::open(&program);
    let mut drmaa = || {
        let job = session.run("/sample-entry/bh-7", "key-a1");
        session.wait(&job, "waitTerminated")["streamusher_output"]
            .as_str()
            .unwrap()
            .to_string()
    };
    let http = || {
        let answer = ask(program.addr, &operation("sample-entry", "a1", 4000));
        assert_eq!(answer.status(), 200);
        answer.body
    };
    let (first, second) = if platform_first {
        (http(), drmaa())
    } else {
        (drmaa(), http())
    };
    assert_eq!(first, second);
    assert_eq!(drmaa(), first);
    assert_eq!(
        worker.sent.try_iter().count() + shed.sent.try_iter().count(),
        1
    );
    assert_eq!(program.counters()["repeats_joined"], 2);
}

/// A repeat waits for the result of the first submission while that runs. After a failure in which the job may have
/// run, a repeat is not run again.
#[rstest]
#[case::served("done", "DONE")]
#[case::lost("lost", "FAILED")]
fn repeat_joins_the_operation_in_flight(#[case] state: &str, #[case] want: &str) {
    let worker = Worker::start("s-1", RUNS_ON);
    let program = program(&[&worker], &[]);
    let mut session = Session::open(&program);
    let (one, two) = (
        session.run("/sample-entry/b", "k"),
        session.run("/sample-entry/b", "k"),
    );
    assert_eq!(session.wait(&one, "waitStarted")["jobState"], "RUNNING");
    let Sent::Job { id, .. } = worker.next() else {
        panic!("a job")
    };
    // Terminating a joined repeat does not end the first submission.
    session.call(json!({"call": "terminate", "jobId": two}));
    let three = session.run("/sample-entry/b", "k");
    assert_eq!(call_back(program.addr, &id, "s-1", state), 204);
    let four = session.run("/sample-entry/b", "k");
    for job in [one, three, four] {
        assert_eq!(session.wait(&job, "waitTerminated")["jobState"], want);
    }
    assert!(worker.sent.try_recv().is_err());
}

#[test]
fn shutdown_answers_jobs_in_flight() {
    let worker = Worker::start("s-1", RUNS_ON);
    let mut program = program(&[&worker], &[]);
    let mut session = Session::open(&program);
    let job = session.run("/depth-log/bh-7", "");
    let Sent::Job { id, .. } = worker.next() else {
        panic!("a job")
    };
    let wait = session.send(json!({"call": "waitTerminated", "jobId": job, "timeout": -1}));
    program.signal("TERM");
    program.logged("stopping");
    let late = session.run("/layer-view/bh-8", "");
    let Sent::Job { id: second, .. } = worker.next() else {
        panic!("a job")
    };
    let wait_late = session.send(json!({"call": "waitTerminated", "jobId": late, "timeout": -1}));
    [id, second]
        .iter()
        .for_each(|id| assert_eq!(call_back(program.addr, id, "s-1", "done"), 204));
    let mut done = 0;
    while done < 2 {
        let message = session.receive();
        if message["seq"] == wait || message["seq"] == wait_late {
            assert_eq!(message["jobInfo"]["jobState"], "DONE");
            done += 1;
        }
    }
    assert!(program.child.wait().unwrap().success());
}

const YAML: &str = "all:\n  vars: {zone: pump-house, kind: standard}\n  children:\n    sheds:\n      vars:\n        drmaa_port: PORT\n      hosts:\n        shed-a:\n          ansible_host: 127.0.0.1\n";

#[test]
fn workers_are_read_from_a_yaml_inventory() {
    let shed = Shed::start("serves");
    let files = Files::new();
    files.add(
        "workers.yml",
        &YAML.replace("PORT", &shed.addr.port().to_string()),
    );
    let text = format!("{LISTEN}inventory = \"workers.yml\"\n");
    let program = Program::with(files, &config(&[]), Some(&text), &[]);
    let answer = ask(program.addr, &operation("depth-log", "a1", 4000));
    assert_eq!((answer.status(), answer.body.as_str()), (200, "log of a1"));
}

#[rstest]
#[case::row("workers.csv", "name,address,port,zone,kind\nshed-a,127.0.0.1,1,pump-house,standard\nshed-b,127.0.0.1,nine,pump-house,standard\n", "workers.csv:3:18: host shed-b: port: ")]
#[case::building(
    "workers.csv",
    "name,address,zone,kind\nshed-a,127.0.0.1,,standard\n",
    "workers.csv:2:1: host shed-a: zone: missing"
)]
#[case::kind(
    "workers.csv",
    "name,address,zone,kind\nshed-a,127.0.0.1,pump-house,standart\n",
    "did you mean \"standard\"?"
)]
#[case::heading(
    "workers.csv",
    "zone\npump-house\n",
    "workers.csv:1:1: name: no such column"
)]
#[case::address(
    "workers.yml",
    "all:\n  hosts:\n    shed-a: {ansible_host: nowhere}\n",
    "host shed-a: "
)]
#[case::no_yaml("workers.yml", "all: [\n", "workers.yml:1:6: ")]
fn inventory_error_names_its_row(#[case] name: &str, #[case] text: &str, #[case] want: &str) {
    let files = Files::new();
    files.add(name, text);
    let drmaa = format!("{LISTEN}inventory = \"{name}\"\n");
    let done = command(&files, &config(&[]), Some(&drmaa))
        .output()
        .unwrap();
    let message = String::from_utf8(done.stderr).unwrap();
    assert!(
        !done.status.success() && message.lines().count() == 1 && message.contains(want),
        "{message}"
    );
}

#[rstest]
#[case("listen = 5\n", "listen: ")]
#[case("max_jobs = 0\n", "max_jobs: ")]
#[case("lsiten = \"127.0.0.1:0\"\n", "lsiten")]
fn drmaa_file_error_names_its_key(#[case] text: &str, #[case] want: &str) {
    let files = Files::new();
    let done = command(&files, &config(&[]), Some(text)).output().unwrap();
    let message = String::from_utf8(done.stderr).unwrap();
    assert!(
        !done.status.success() && message.lines().count() == 1 && message.contains(want),
        "{message}"
    );
}
