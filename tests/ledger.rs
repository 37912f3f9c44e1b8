//! The daemon with tenants and a ledger: whose a job is, what is booked, and what happens when nothing can be booked.

mod support;

use rstest::rstest;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::time::{Duration, Instant};
use support::*;

const TENANTS: &str =
    "[tenants]\nlist = ['hydrology', 'a, \"b\"']\nrenamed = { water = 'hydrology' }\n";

/// For how long answers wait for the disk, where a test is not about that: longer than a busy machine's disk takes for a
/// sync, and shorter than clients wait.
const PATIENT_HOLD_MS: u64 = 3_000;
/// The same, where the disk is full.
const SHORT_HOLD_MS: u64 = 250;
/// How long the client waits for whom the disk stands still.
const HURRIED_CLIENT_MS: u64 = 600;

fn operators(dir: &Path, more: &str) -> String {
    operators_with_hold(dir, PATIENT_HOLD_MS, more)
}

fn operators_with_hold(dir: &Path, hold_ms: u64, more: &str) -> String {
    let dir = dir.display();
    format!("{TENANTS}{more}\n[ledger]\ndir = '{dir}'\nperiod = 'hour'\nhold_ms = {hold_ms}\n")
}

fn start(workers: &[&Worker], operators: &str) -> Program {
    let mut config = config(workers);
    config["operators"] = operators.into();
    Program::with(Files::new(), &config, None, workers)
}

fn asked(class: &str, id: &str, tenant: &str) -> String {
    operation(class, id, 4000).replace("Host: x\r\n", &format!("Host: x\r\nX-Tenant: {tenant}\r\n"))
}

/// Sums over all periods: what `pick` names, by tenant and class.
fn sums(dir: &Path, pick: &str) -> Vec<(String, String, u64)> {
    let (code, text) = ledger(dir, &["show", "--json"]);
    assert_eq!(code, 0, "{text}");
    let shown: Value = serde_json::from_str(&text).unwrap();
    let lines = shown
        .as_array()
        .unwrap()
        .iter()
        .flat_map(|p| p["lines"].as_array().unwrap());
    let line = |l: &Value| {
        let text = |k: &str| l[k].as_str().unwrap().to_string();
        (
            text("tenant"),
            text("class"),
            l["sums"][pick].as_u64().unwrap(),
        )
    };
    lines.map(line).filter(|(.., n)| *n > 0).collect()
}

/// Has the program stop in order: all is booked and marked when this returns.
fn stop(mut program: Program) {
    program.signal("TERM");
    assert!(program.child.wait().unwrap().success());
}

#[test]
fn each_answer_is_booked_once_under_the_name_that_its_tenant_goes_by() {
    let (worker, files) = (Worker::start("s-1", SERVES), Files::new());
    let dir = files.0.join("ledger");
    let program = start(&[&worker], &operators(&dir, ""));
    for (id, tenant) in [("a1", "hydrology"), ("a2", "water"), ("a3", "a, \"b\"")] {
        assert_eq!(
            ask(program.addr, &asked("depth-log", id, tenant)).status(),
            200
        );
    }
    let doubts = ledger(&dir, &["doubts", "--json"]);
    assert_eq!(
        doubts,
        (0, "[]\n".into()),
        "what a running dispatcher has in hand is in no doubt"
    );
    stop(program);
    let of = |t: &str, n| (t.to_string(), "depth-log".to_string(), n);
    assert_eq!(
        sums(&dir, "served"),
        [of("a, \"b\"", 1), of("hydrology", 2)]
    );
    assert!(
        sums(&dir, "slot_us").iter().all(|(.., us)| *us > 0),
        "running time is billed"
    );
    assert_eq!(ledger(&dir, &["doubts", "--json"]).1, "[]\n");
    assert_eq!(ledger(&dir, &["verify"]).0, 0);
}

#[rstest]
#[case::unlisted("X-Tenant: render\r\n", 403)]
#[case::none("", 403)]
#[case::long(&format!("X-Tenant: {}\r\n", "x".repeat(200)), 400)]
#[case::very_long(&format!("X-Tenant: {}\r\n", "x".repeat(64 << 10)), 400)]
#[case::control("X-Tenant: a\u{1}b\r\n", 400)]
#[case::control_of_two_bytes("X-Tenant: a\u{85}b\r\n", 400)]
#[case::empty("X-Tenant: \r\n", 400)]
#[case::twice("X-Tenant: hydrology\r\nX-Tenant: water\r\n", 400)]
fn what_names_no_tenant_is_refused_and_does_not_run(#[case] header: &str, #[case] status: u16) {
    let (worker, files) = (Worker::start("s-1", SERVES), Files::new());
    let program = start(&[&worker], &operators(&files.0.join("ledger"), ""));
    let text =
        operation("depth-log", "a1", 4000).replace("Host: x\r\n", &format!("Host: x\r\n{header}"));
    assert_eq!(ask(program.addr, &text).status(), status);
    assert!(worker.sent.try_recv().is_err());
    assert_eq!(program.counters()["operations"], 0);
}

#[test]
fn work_of_others_is_booked_under_the_default_where_the_file_says_so() {
    let (worker, files) = (Worker::start("s-1", SERVES), Files::new());
    let dir = files.0.join("ledger");
    let program = start(
        &[&worker],
        &operators(&dir, "unlisted = 'book'\ndefault = 'rest'"),
    );
    assert_eq!(
        ask(program.addr, &asked("layer-view", "a1", "render")).status(),
        200
    );
    assert_eq!(
        ask(program.addr, &operation("layer-view", "a2", 4000)).status(),
        200
    );
    stop(program);
    assert_eq!(
        sums(&dir, "served"),
        [("rest".to_string(), "layer-view".to_string(), 2)]
    );
}

#[rstest]
#[case::listed("hydrology", Value::Null)]
#[case::unlisted("render", "DENIED_BY_DRMS".into())]
#[case::control("a\u{1}b", "INVALID_ARGUMENT".into())]
#[case::long(&"x".repeat(64 << 10), "INVALID_ARGUMENT".into())]
fn drmaa_names_a_tenant_by_its_accounting_id(#[case] tenant: &str, #[case] error: Value) {
    let (worker, files) = (Worker::start("s-1", SERVES), Files::new());
    let dir = files.0.join("ledger");
    let program = start(
        &[&worker],
        &(operators(&dir, "") + "[drmaa]\nlisten = '127.0.0.1:0'\n"),
    );
    let mut session = BufReader::new(connect(program.drmaa.unwrap()));
    let mut call = |call: Value| {
        session
            .get_mut()
            .write_all(format!("{call}\n").as_bytes())
            .unwrap();
        loop {
            let mut line = String::new();
            session.read_line(&mut line).unwrap();
            let said: Value = serde_json::from_str(&line).unwrap();
            if said["seq"] == call["seq"] {
                return said;
            }
        }
    };
    let template = json!({"remoteCommand": "/depth-log/bh-7", "streamusher_input": "core", "accountingId": tenant});
    let said = call(json!({"seq": 1, "call": "runJob", "jobTemplate": template}));
    assert_eq!(said["error"], error);
    if error.is_null() {
        let ended = call(
            json!({"seq": 2, "call": "waitTerminated", "jobId": said["jobId"], "timeout": 10}),
        );
        assert_eq!(ended["jobInfo"]["jobState"], "DONE");
        stop(program);
        assert_eq!(
            sums(&dir, "served"),
            [(tenant.to_string(), "depth-log".to_string(), 1)]
        );
    } else {
        assert!(worker.sent.try_recv().is_err());
    }
}

#[test]
fn a_client_that_leaves_is_booked_as_gone() {
    let (worker, files) = (Worker::start("s-1", RUNS_ON), Files::new());
    let dir = files.0.join("ledger");
    let program = start(&[&worker], &operators(&dir, ""));
    let mut client = connect(program.addr);
    client
        .write_all(asked("depth-log", "a1", "hydrology").as_bytes())
        .unwrap();
    assert!(matches!(worker.next(), Sent::Job { .. }));
    drop(client);
    assert_eq!(worker.next(), Sent::Cancel("a1".into()));
    stop(program);
    assert_eq!(
        sums(&dir, "gone"),
        [("hydrology".to_string(), "depth-log".to_string(), 1)]
    );
    assert_eq!(sums(&dir, "served"), []);
}

#[rstest]
#[case::refuse("refuse", 503)]
#[case::serve("serve_unbilled", 200)]
fn a_store_that_cannot_be_opened_is_told_and_the_file_says_what_then(
    #[case] rule: &str,
    #[case] status: u16,
) {
    let (worker, files) = (Worker::start("s-1", SERVES), Files::new());
    let dir = files.0.join("ledger");
    std::fs::create_dir(&dir).unwrap();
    files.add("ledger/ledger.db", &"not a database ".repeat(100));
    let program = start(
        &[&worker],
        &(operators(&dir, "") + &format!("on_failure = '{rule}'\n")),
    );
    let told = program.logged("the ledger cannot be written");
    assert!(
        told.contains("ledger.db: damaged: not a database"),
        "{told}"
    );
    let answer = ask(program.addr, &asked("depth-log", "a1", "hydrology"));
    assert_eq!(answer.status(), status);
    assert_eq!(
        answer.get("retry-after").is_some(),
        status == 503,
        "a busy reply says when to come back"
    );
    assert_eq!(
        worker.sent.try_recv().is_ok(),
        status == 200,
        "what is refused does not run"
    );
}

/// Locks the store until an operation, whose client waits for a short time only, and one after it are answered; both
/// answers, and the program that writes again.
fn ask_while_the_store_is_locked(dir: &Path, on_failure: &str) -> (Message, Message, Program) {
    let worker = Worker::start("s-1", SERVES);
    let more = format!("on_failure = '{on_failure}'\n");
    let program = start(&[&worker], &(operators(dir, "") + &more));
    program.logged("the ledger is open");
    let lock = ledger_store::lock(dir);
    let begun = Instant::now();
    let first = operation("depth-log", "a1", HURRIED_CLIENT_MS)
        .replace("Host: x\r\n", "Host: x\r\nX-Tenant: hydrology\r\n");
    let first = ask(program.addr, &first);
    let waited = begun.elapsed();
    assert!(
        waited >= Duration::from_millis(HURRIED_CLIENT_MS / 2),
        "it was held for the disk: {waited:?}"
    );
    let second = ask(program.addr, &asked("depth-log", "a2", "hydrology"));
    drop(lock);
    program.logged("the ledger is written again");
    let third = ask(program.addr, &asked("depth-log", "a3", "hydrology"));
    assert_eq!(third.status(), 200);
    (first, second, program)
}

fn counted(program: &Program, names: [&str; 3]) -> [u64; 3] {
    let counters = program.counters();
    names.map(|name| counters[name].as_u64().unwrap())
}

const COUNTERS: [&str; 3] = [
    "answers_withheld",
    "answers_before_booked",
    "refused_unbilled",
];

/// Guards against a result that is handed out before its entry is durable, and against one that is waited for longer
/// than its client waits.
#[test]
fn a_disk_that_stands_still_holds_no_answer_beyond_its_time_and_nothing_is_counted_wrongly() {
    let files = Files::new();
    let dir = files.0.join("ledger");
    let (first, second, program) = ask_while_the_store_is_locked(&dir, "refuse");
    assert_eq!(first.status(), 502);
    assert!(first.body.contains("could not be booked in time"));
    assert_eq!(
        (second.status(), second.get("retry-after")),
        (503, Some("1"))
    );
    assert_eq!(counted(&program, COUNTERS), [1, 0, 1]);
    stop(program);
    let one = [("hydrology".to_string(), "depth-log".to_string(), 1)];
    assert_eq!(sums(&dir, "served"), one);
    assert_eq!(sums(&dir, "gone"), one, "what was withheld is not billed");
    assert_eq!(ledger(&dir, &["doubts", "--json"]).1, "[]\n");
}

#[test]
fn a_disk_that_stands_still_keeps_no_result_back_where_unbilled_work_is_served() {
    let files = Files::new();
    let dir = files.0.join("ledger");
    let (first, second, program) = ask_while_the_store_is_locked(&dir, "serve_unbilled");
    assert_eq!((first.status(), second.status()), (200, 200));
    assert_eq!(counted(&program, COUNTERS), [0, 2, 0]);
    stop(program);
    assert_eq!(
        sums(&dir, "served"),
        [("hydrology".to_string(), "depth-log".to_string(), 3)]
    );
}

/// Guards against a result that a client has and no bill holds, as its entry found the disk full.
#[test]
fn a_full_disk_ends_no_operation_in_hand_and_new_work_is_refused() {
    let (worker, files) = (Worker::start("s-1", SERVES), Files::new());
    let dir = files.0.join("ledger");
    std::fs::create_dir(&dir).unwrap();
    files.add("ledger/ledger.key", &"07".repeat(32));
    ledger_store::fill(&dir, 1 << 20);
    let program = start(
        &[&worker],
        &(operators_with_hold(&dir, SHORT_HOLD_MS, "") + "max_mb = 1\n"),
    );
    program.logged("the ledger is open");
    let ask_for = |n| {
        let text = asked("depth-log", &format!("a{n}"), "hydrology");
        ask(program.addr, &text).status()
    };
    // What is left of the last pages takes some more.
    let served = (0..2_000).take_while(|n| ask_for(*n) == 200).count() as u64;
    assert!((1..2_000).contains(&served), "{served}");
    assert!(program
        .logged("the ledger cannot be written")
        .contains("the disk is full"));
    assert_eq!(ask_for(2_000), 503);
    let counters = program.counters();
    assert_eq!(
        (
            &counters["served"],
            &counters["answers_withheld"],
            &counters["refused_unbilled"]
        ),
        (&served.into(), &1.into(), &1.into())
    );
    stop(program);
    let booked: u64 = sums(&dir, "served")
        .iter()
        .filter(|l| l.0 == "hydrology")
        .map(|l| l.2)
        .sum();
    assert_eq!(booked, served, "to the unit");
    assert_eq!(ledger(&dir, &["verify"]).0, 0);
}

#[test]
fn a_second_dispatcher_on_one_store_waits_until_the_first_is_gone() {
    let (worker, other, files) = (
        Worker::start("s-1", SERVES),
        Worker::start("s-1", SERVES),
        Files::new(),
    );
    let dir = files.0.join("ledger");
    let first = start(&[&worker], &operators(&dir, ""));
    first.logged("the ledger is open");
    let second = start(&[&other], &operators(&dir, ""));
    second.logged("another process writes to this ledger");
    assert_eq!(
        ask(second.addr, &asked("depth-log", "a1", "hydrology")).status(),
        503
    );
    assert_eq!(
        ask(first.addr, &asked("depth-log", "a2", "hydrology")).status(),
        200
    );
    drop(first); // killed
    second.logged("the ledger is open");
    assert_eq!(
        ask(second.addr, &asked("depth-log", "a3", "hydrology")).status(),
        200
    );
}

#[test]
fn what_was_not_known_to_be_written_at_a_crash_is_settled_by_receipts() {
    let (worker, files) = (Worker::start("s-1", SERVES), Files::new());
    let dir = files.0.join("ledger");
    let program = start(&[&worker], &operators(&dir, ""));
    program.logged("the ledger is open");
    // The entry is durable before the answer comes; its mark may or may not be when the kill comes.
    assert_eq!(
        ask(program.addr, &asked("depth-log", "a1", "hydrology")).status(),
        200
    );
    drop(program);
    let doubts: Value = serde_json::from_str(&ledger(&dir, &["doubts", "--json"]).1).unwrap();
    let receipts = files.add("receipts.csv", "operation,tenant\na1,hydrology\n");
    let file = receipts.to_str().unwrap();
    let (code, text) = ledger(
        &dir,
        &[
            "doubts",
            "--receipts",
            file,
            "--author",
            "A. Weir",
            "--json",
        ],
    );
    let settled: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(
        (code, settled["billed"].as_u64()),
        (0, Some(doubts.as_array().unwrap().len() as u64))
    );
    let billed = sums(&dir, "served").len() as u64 + settled["billed"].as_u64().unwrap();
    assert_eq!(
        billed, 1,
        "billed once, whether the kill came before its mark or after"
    );
}

#[rstest]
#[case::unknown_table("[ledgers]\n", "unknown field `ledgers`")]
#[case::unknown_key("[ledger]\ndir = 'x'\nfolder = 'y'\n", "unknown field `folder`")]
#[case::period("[ledger]\ndir = 'x'\nperiod = 'week'\n", "unknown variant `week`")]
#[case::lateness(
    "[ledger]\ndir = 'x'\nlateness_s = 1\n",
    "ledger.lateness_s: must lie between"
)]
#[case::instance(
    "[ledger]\ndir = 'x'\ninstance = '../n1'\n",
    "ledger.instance: letters"
)]
#[case::header(
    "[tenants]\nheader = 'Content-Length'\n",
    "tenants.header: not the name of a free header"
)]
#[case::name(
    "[tenants]\nlist = ['a\\n']\nrenamed = { x = 'y' }\n",
    "tenants.list: \"x\": its present name \"y\""
)]
#[case::twice("[tenants]\nlist = ['a', 'a']\n", "tenants.list: \"a\": given twice")]
fn a_mistake_in_the_operators_file_is_one_line_with_file_and_key(
    #[case] text: &str,
    #[case] why: &str,
) {
    let files = Files::new();
    let mut config = config(&[]);
    config["operators"] = text.into();
    let done = command(&files, &config, None).output().unwrap();
    let told = String::from_utf8(done.stderr).unwrap();
    assert_eq!(
        (done.status.code(), told.lines().count()),
        (Some(1), 1),
        "{told}"
    );
    assert!(
        told.contains("streamusher.toml: ") && told.contains(why),
        "{told}"
    );
}

#[rstest]
#[case::no_ledger(&["show"], 1, "there is no ledger here")]
#[case::bad_period(&["show", "--period", "2026-13"], 2, "not a period")]
#[case::no_author(&["correct", "--of", "2026-12", "--tenant", "x", "--class", "y", "--author", "", "--reason", "z"], 1, "author: must not be empty")]
#[case::unknown(&["burn"], 2, "unrecognized subcommand")]
fn a_command_that_cannot_be_done_says_why(
    #[case] words: &[&str],
    #[case] code: i32,
    #[case] why: &str,
) {
    let files = Files::new();
    files.add("ledger.key", &"07".repeat(32));
    let (exit, text) = ledger(&files.0, words);
    assert_eq!(exit, code);
    assert!(text.contains(why), "{text}");
}
