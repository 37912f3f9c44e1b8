//! Tests of the daemon with tenants and a ledger: the tenant of a job, the recorded entries, and the
//! behaviour when nothing can be recorded.

mod support;

use rstest::rstest;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::time::{Duration, Instant};
use support::*;

const TENANTS: &str =
    "[tenants]\nlist = ['hydrology', 'a, \"b\"']\nrenamed = { water = 'hydrology' }\n";

/// Time for which answers wait for the disk in tests that do not test the hold: longer than a sync takes on a
/// busy machine, and shorter than clients wait.
const LONG_HOLD_MS: u64 = 3_000;
/// Time for which answers wait for the disk in tests of a full disk.
const SHORT_HOLD_MS: u64 = 250;
/// Time for which the client waits in tests of a stalled disk.
const SHORT_CLIENT_TIMEOUT_MS: u64 = 600;

fn operators_file(dir: &Path, extra: &str) -> String {
    operators_file_with_hold(dir, LONG_HOLD_MS, extra)
}

fn operators_file_with_hold(dir: &Path, hold_ms: u64, extra: &str) -> String {
    let dir = dir.display();
    format!("{TENANTS}{extra}\n[ledger]\ndir = '{dir}'\nperiod = 'hour'\nhold_ms = {hold_ms}\n")
}

fn start(workers: &[&Worker], operators_file: &str) -> Program {
    let mut config = config(workers);
    config["operators"] = operators_file.into();
    Program::with(Files::new(), &config, None, workers)
}

fn operation_of_tenant(class: &str, id: &str, tenant: &str) -> String {
    operation(class, id, 4000).replace("Host: x\r\n", &format!("Host: x\r\nX-Tenant: {tenant}\r\n"))
}

/// Returns the sum named `pick` over all periods, by tenant and class.
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

/// Shuts the program down in order: when this returns, all entries are written and marked.
fn stop(mut program: Program) {
    program.signal("TERM");
    assert!(program.child.wait().unwrap().success());
}

#[test]
fn each_answer_is_recorded_once_under_its_tenants_current_name() {
    let (worker, files) = (Worker::start("s-1", SERVES), Files::new());
    let dir = files.0.join("ledger");
    let program = start(&[&worker], &operators_file(&dir, ""));
    for (id, tenant) in [("a1", "hydrology"), ("a2", "water"), ("a3", "a, \"b\"")] {
        assert_eq!(
            ask(program.addr, &operation_of_tenant("depth-log", id, tenant)).status(),
            200
        );
    }
    let doubts = ledger(&dir, &["doubts", "--json"]);
    assert_eq!(
        doubts,
        (0, "[]\n".into()),
        "operations in flight at a running dispatcher are not in doubt"
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
fn job_without_valid_tenant_is_rejected_and_does_not_run(
    #[case] header: &str,
    #[case] status: u16,
) {
    let (worker, files) = (Worker::start("s-1", SERVES), Files::new());
    let program = start(&[&worker], &operators_file(&files.0.join("ledger"), ""));
    let text =
        operation("depth-log", "a1", 4000).replace("Host: x\r\n", &format!("Host: x\r\n{header}"));
    assert_eq!(ask(program.addr, &text).status(), status);
    assert!(worker.sent.try_recv().is_err());
    assert_eq!(program.counters()["operations"], 0);
}

#[test]
fn job_of_unlisted_tenant_is_recorded_under_the_default_if_configured() {
    let (worker, files) = (Worker::start("s-1", SERVES), Files::new());
    let dir = files.0.join("ledger");
    let program = start(
        &[&worker],
        &operators_file(&dir, "unlisted = 'book'\ndefault = 'rest'"),
    );
    let operations = [
        operation_of_tenant("layer-view", "a1", "render"),
        operation("layer-view", "a2", 4000),
    ];
    for text in operations {
        let answer = ask(program.addr, &text);
        // A 502 is either a failed job or a result whose entry was not on the disk in time; its body tells.
        assert_eq!(answer.status(), 200, "{}", answer.body);
    }
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
        &(operators_file(&dir, "") + "[drmaa]\nlisten = '127.0.0.1:0'\n"),
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
            let reply: Value = serde_json::from_str(&line).unwrap();
            if reply["seq"] == call["seq"] {
                return reply;
            }
        }
    };
    let template = json!({"remoteCommand": "/depth-log/bh-7", "streamusher_input": "core", "accountingId": tenant});
    let reply = call(json!({"seq": 1, "call": "runJob", "jobTemplate": template}));
    assert_eq!(reply["error"], error);
    if error.is_null() {
        let ended = call(
            json!({"seq": 2, "call": "waitTerminated", "jobId": reply["jobId"], "timeout": 10}),
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
fn disconnected_client_is_recorded_as_gone() {
    let (worker, files) = (Worker::start("s-1", RUNS_ON), Files::new());
    let dir = files.0.join("ledger");
    let program = start(&[&worker], &operators_file(&dir, ""));
    let mut client = connect(program.addr);
    client
        .write_all(operation_of_tenant("depth-log", "a1", "hydrology").as_bytes())
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
fn unopenable_store_is_logged_and_handled_as_configured(#[case] rule: &str, #[case] status: u16) {
    let (worker, files) = (Worker::start("s-1", SERVES), Files::new());
    let dir = files.0.join("ledger");
    std::fs::create_dir(&dir).unwrap();
    files.add("ledger/ledger.db", &"not a database ".repeat(100));
    let program = start(
        &[&worker],
        &(operators_file(&dir, "") + &format!("on_failure = '{rule}'\n")),
    );
    let line = program.logged("the ledger cannot be written");
    assert!(
        line.contains("ledger.db: damaged: not a database"),
        "{line}"
    );
    let answer = ask(
        program.addr,
        &operation_of_tenant("depth-log", "a1", "hydrology"),
    );
    assert_eq!(answer.status(), status);
    assert_eq!(
        answer.get("retry-after").is_some(),
        status == 503,
        "a busy reply has a Retry-After header"
    );
    assert_eq!(
        worker.sent.try_recv().is_ok(),
        status == 200,
        "a rejected job does not run"
    );
}

/// Locks the store until two operations are answered: one whose client waits for a short time only, and one
/// after it. Returns both answers, and the program once it writes to the store again.
fn ask_while_the_store_is_locked(dir: &Path, on_failure: &str) -> (Message, Message, Program) {
    let worker = Worker::start("s-1", SERVES);
    let extra = format!("on_failure = '{on_failure}'\n");
    let program = start(&[&worker], &(operators_file(dir, "") + &extra));
    program.logged("the ledger is open");
    let lock = ledger_store::lock(dir);
    let begun = Instant::now();
    let first = operation("depth-log", "a1", SHORT_CLIENT_TIMEOUT_MS)
        .replace("Host: x\r\n", "Host: x\r\nX-Tenant: hydrology\r\n");
    let first = ask(program.addr, &first);
    let waited = begun.elapsed();
    assert!(
        waited >= Duration::from_millis(SHORT_CLIENT_TIMEOUT_MS / 2),
        "the answer waited for the disk: {waited:?}"
    );
    let second = ask(
        program.addr,
        &operation_of_tenant("depth-log", "a2", "hydrology"),
    );
    drop(lock);
    program.logged("the ledger is written again");
    let third = ask(
        program.addr,
        &operation_of_tenant("depth-log", "a3", "hydrology"),
    );
    assert_eq!(third.status(), 200);
    (first, second, program)
}

fn read_counters(program: &Program, names: [&str; 3]) -> [u64; 3] {
    let counters = program.counters();
    names.map(|name| counters[name].as_u64().unwrap())
}

const COUNTERS: [&str; 3] = [
    "answers_withheld",
    "answers_before_booked",
    "refused_unbilled",
];

/// Guards against a result that is sent before its entry is durable, and against an answer that is held for
/// longer than its client waits.
#[test]
fn stalled_disk_delays_no_answer_beyond_its_hold_and_bill_stays_correct() {
    let files = Files::new();
    let dir = files.0.join("ledger");
    let (first, second, program) = ask_while_the_store_is_locked(&dir, "refuse");
    assert_eq!(first.status(), 502);
    assert!(first.body.contains("could not be booked in time"));
    assert_eq!(
        (second.status(), second.get("retry-after")),
        (503, Some("1"))
    );
    assert_eq!(read_counters(&program, COUNTERS), [1, 0, 1]);
    stop(program);
    let one = [("hydrology".to_string(), "depth-log".to_string(), 1)];
    assert_eq!(sums(&dir, "served"), one);
    assert_eq!(sums(&dir, "gone"), one, "a withheld result is not billed");
    assert_eq!(ledger(&dir, &["doubts", "--json"]).1, "[]\n");
}

#[test]
fn stalled_disk_withholds_no_result_if_unbilled_work_is_served() {
    let files = Files::new();
    let dir = files.0.join("ledger");
    let (first, second, program) = ask_while_the_store_is_locked(&dir, "serve_unbilled");
    assert_eq!((first.status(), second.status()), (200, 200));
    assert_eq!(read_counters(&program, COUNTERS), [0, 2, 0]);
    stop(program);
    assert_eq!(
        sums(&dir, "served"),
        [("hydrology".to_string(), "depth-log".to_string(), 3)]
    );
}

/// Guards against a result that a client received and no bill contains because the disk was full when its
/// entry was written.
#[test]
fn full_disk_loses_no_served_operation_and_new_work_is_rejected() {
    let (worker, files) = (Worker::start("s-1", SERVES), Files::new());
    let dir = files.0.join("ledger");
    std::fs::create_dir(&dir).unwrap();
    files.add("ledger/ledger.key", &"07".repeat(32));
    ledger_store::fill(&dir, 1 << 20);
    let program = start(
        &[&worker],
        &(operators_file_with_hold(&dir, SHORT_HOLD_MS, "") + "max_mb = 1\n"),
    );
    program.logged("the ledger is open");
    let ask_for = |n| {
        let text = operation_of_tenant("depth-log", &format!("a{n}"), "hydrology");
        ask(program.addr, &text).status()
    };
    // The free space in the last pages still takes some entries.
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
    assert_eq!(
        booked, served,
        "each served operation has exactly one entry"
    );
    assert_eq!(ledger(&dir, &["verify"]).0, 0);
}

#[test]
fn second_dispatcher_on_one_store_waits_until_the_first_ends() {
    let (worker, other, files) = (
        Worker::start("s-1", SERVES),
        Worker::start("s-1", SERVES),
        Files::new(),
    );
    let dir = files.0.join("ledger");
    let first = start(&[&worker], &operators_file(&dir, ""));
    first.logged("the ledger is open");
    let second = start(&[&other], &operators_file(&dir, ""));
    second.logged("another process writes to this ledger");
    assert_eq!(
        ask(
            second.addr,
            &operation_of_tenant("depth-log", "a1", "hydrology")
        )
        .status(),
        503
    );
    assert_eq!(
        ask(
            first.addr,
            &operation_of_tenant("depth-log", "a2", "hydrology")
        )
        .status(),
        200
    );
    drop(first); // killed
    second.logged("the ledger is open");
    assert_eq!(
        ask(
            second.addr,
            &operation_of_tenant("depth-log", "a3", "hydrology")
        )
        .status(),
        200
    );
}

#[test]
fn doubtful_entries_after_a_crash_are_settled_by_receipts() {
    let (worker, files) = (Worker::start("s-1", SERVES), Files::new());
    let dir = files.0.join("ledger");
    let program = start(&[&worker], &operators_file(&dir, ""));
    program.logged("the ledger is open");
    // The entry is durable before the answer is sent. Its mark may or may not be durable when the process is
    // killed.
    assert_eq!(
        ask(
            program.addr,
            &operation_of_tenant("depth-log", "a1", "hydrology")
        )
        .status(),
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
        "billed once, whether the process was killed before or after the mark"
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
fn invalid_operators_file_gives_one_error_line_with_file_and_key(
    #[case] text: &str,
    #[case] expected_error: &str,
) {
    let files = Files::new();
    let mut config = config(&[]);
    config["operators"] = text.into();
    let done = command(&files, &config, None).output().unwrap();
    let stderr = String::from_utf8(done.stderr).unwrap();
    assert_eq!(
        (done.status.code(), stderr.lines().count()),
        (Some(1), 1),
        "{stderr}"
    );
    assert!(
        stderr.contains("streamusher.toml: ") && stderr.contains(expected_error),
        "{stderr}"
    );
}

#[rstest]
#[case::no_ledger(&["show"], 1, "there is no ledger here")]
#[case::bad_period(&["show", "--period", "2026-13"], 2, "not a period")]
#[case::no_author(&["correct", "--of", "2026-12", "--tenant", "x", "--class", "y", "--author", "", "--reason", "z"], 1, "author: must not be empty")]
#[case::unknown(&["burn"], 2, "unrecognized subcommand")]
fn failing_command_reports_the_reason(
    #[case] arguments: &[&str],
    #[case] code: i32,
    #[case] expected_error: &str,
) {
    let files = Files::new();
    files.add("ledger.key", &"07".repeat(32));
    let (exit, text) = ledger(&files.0, arguments);
    assert_eq!(exit, code);
    assert!(text.contains(expected_error), "{text}");
}
