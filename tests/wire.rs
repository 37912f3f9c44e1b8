//! Adapter for the JSON-lines protocol: message formats, malformed input, and independence from how
//! dispatchers share processes.

use streamusher::wire::run;

const SETUP: &str = r#"{"balancers":2,"discovery":"pushed","familyInfo":{"classKind":[-1,-1,-1],"classPriority":[0,0,1],"classStretch":[2,2,2],"progressUs":0,"reportX0":"free slots","tellsStart":true,"news":1},"feedback":{"fields":["active","x0"],"via":"inline"},"kinds":["a","b"],"limits":{"cancel":true,"maxAttempts":6,"maxRetryAfterUs":2000000,"mayDuplicate":true,"retryAfter":true},"me":0,"myZone":"east","realms":[{"name":"t","quotaRps":24.0,"share":0.35}],"requestClasses":[{"deadlineUs":5000000,"keyScope":"all","name":"free","onTimeUs":100000,"semantics":"free","windowUs":5000000,"worth":5},{"deadlineUs":5000000,"keyScope":"cell","name":"keyed","onTimeUs":100000,"semantics":"guarded","windowUs":7500000,"worth":3},{"deadlineUs":15000000,"keyScope":"all","name":"once","onTimeUs":600000,"semantics":"single_shot","worth":10}],"rules":{"answerSlackUs":16000,"askWithinUs":10000000,"drainGraceUs":1000000,"fallUs":2000000,"startCapacity":0.3,"tipMultiple":2.5,"warmAfterUs":8800000},"tickUs":4000,"weights":"rough","zones":["east","west"]}"#;

fn entry(n: u32) -> String {
    let zone = ["east", "west"][n as usize % 2];
    let model = ["a", "b"][n as usize % 2];
    format!(
        r#"{{"zone":"{zone}","pod":{},"stageState":"ready","worker":"10.0.0.{n}:9000","model":"{model}","powerHint":1.5}}"#,
        n / 4
    )
}

fn list(number: u32, workers: &[u32]) -> String {
    let elements: Vec<String> = workers.iter().map(|&n| entry(n)).collect();
    format!(
        r#"{{"type":"LIST","rosterId":{number},"elements":[{}]}}"#,
        elements.join(",")
    )
}

fn batch(at: u64, lines: &[String]) -> String {
    format!(
        "{{\"type\":\"SYNC\",\"atTimeUs\":{at}}}\n{}\n{{\"type\":\"OVER_TO_YOU\"}}\n",
        lines.join("\n")
    )
}

fn configure_lines(dispatcher: u32, number: u32) -> Vec<String> {
    vec![
        format!(
            r#"{{"type":"CONFIGURE","dispatcher":{dispatcher},"rngSeed":{},"setup":{SETUP}}}"#,
            dispatcher + 40
        ),
        format!(
            r#"{{"type":"DISCOVERY","dispatcher":{dispatcher},"scope":"Persisted","index":1,"rosterId":{number}}}"#
        ),
    ]
}

fn knock_line(dispatcher: u32, job: u64, profile: &str) -> String {
    format!(
        r#"{{"type":"KNOCK","dispatcher":{dispatcher},"job":{job},"profile":"{profile}","account":"t","targetKey":"k","expiresInUs":5000000,"slots":1,"mem":0.5,"attrs":4}}"#
    )
}

fn outcome_line(dispatcher: u32, job: u64, code: &str, complete: bool) -> String {
    let complete = if complete { r#","complete":true"# } else { "" };
    format!(
        r#"{{"type":"OUTCOME","dispatcher":{dispatcher},"job":{job},"elapsedUs":18500,"worker":"10.0.0.1:9000","stateCode":"{code}","roundNo":0{complete},"usage":{{"active":2,"x0":0.4,"unheard_of":3}}}}"#
    )
}

fn run_ok(input: &str) -> String {
    let mut out = Vec::new();
    run(input.as_bytes(), &mut out).expect("well-formed input");
    String::from_utf8(out).expect("text")
}

fn run_error(input: &str) -> String {
    run(input.as_bytes(), &mut Vec::new()).expect_err("malformed input")
}

fn session(dispatchers: &[u32], number: u32, workers: &[u32]) -> String {
    let mut first = vec![list(number, workers)];
    dispatchers
        .iter()
        .for_each(|&dispatcher| first.extend(configure_lines(dispatcher, number)));
    let mut text = batch(1_000, &first);
    for job in 0..40u64 {
        let lines: Vec<String> = dispatchers
            .iter()
            .flat_map(|&dispatcher| {
                let id = job * 10 + u64::from(dispatcher);
                let profile = ["free", "keyed", "once"][job as usize % 3];
                let mut lines = vec![knock_line(dispatcher, id, profile)];
                if job % 2 == 1 {
                    lines.push(outcome_line(
                        dispatcher,
                        id - 10,
                        ["shed", "delivered"][job as usize / 2 % 2],
                        job % 4 == 3,
                    ));
                }
                lines
            })
            .collect();
        text += &batch(2_000 + job * 4_000, &lines);
    }
    text
}

fn lines_of(out: &str, dispatcher: u32) -> Vec<&str> {
    let mark = format!("\"dispatcher\":{dispatcher},");
    out.lines().filter(|l| l.contains(&mark)).collect()
}

#[test]
fn an_empty_batch_is_answered() {
    assert_eq!(run_ok(&batch(5, &[])), "{\"type\":\"READY\"}\n");
    assert_eq!(run_ok(""), "");
}

#[test]
fn a_request_is_sent_in_the_wire_format() {
    let mut lines = vec![list(0, &[1])];
    lines.extend(configure_lines(3, 0));
    lines.push(knock_line(3, 4_049_554_428_826_052, "free"));
    let out = run_ok(&batch(1_000, &lines));
    let want = r#"{"type":"SEND","dispatcher":3,"job":4049554428826052,"worker":"10.0.0.1:9000"}"#;
    assert!(out.lines().any(|l| l == want), "{out}");
    assert!(
        out.contains(
            r#"{"type":"SCHEDULE","dispatcher":3,"waitUs":5000000,"ctx":"8099108857652104"}"#
        ),
        "{out}"
    );
    assert!(out.ends_with("{\"type\":\"READY\"}\n"));
}

#[test]
fn every_message_is_read_and_unknown_keys_are_skipped() {
    let mut lines = vec![list(0, &[1, 2])];
    lines.extend(configure_lines(3, 0));
    lines.push(knock_line(3, 1, "free"));
    lines.extend(
        [
            r#"{"type":"HEADERS","dispatcher":3,"job":1,"worker":"10.0.0.1:9000","elapsedUs":5,"roundNo":0,"later":{}}"#,
            r#"{"type":"STATUS_NOTE","dispatcher":3,"job":1,"roundNo":0,"worker":"10.0.0.1:9000","what":1}"#,
            r#"{"type":"STATUS_NOTE","dispatcher":3,"job":1,"roundNo":0,"worker":"x","what":2,"level":0.5}"#,
            r#"{"type":"STATUS_NOTE","dispatcher":3,"job":1,"roundNo":0,"worker":"x","what":9}"#,
            r#"{"type":"CHECK_RESULT","dispatcher":3,"worker":"10.0.0.1:9000","stateCode":"delivered","elapsedUs":1,"usage":{"x0":1}}"#,
            r#"{"type":"CHECK_RESULT","dispatcher":3,"worker":"nobody","stateCode":"expired","elapsedUs":1}"#,
            r#"{"type":"MAIL","dispatcher":3,"originPeer":1,"msg":"6869"}"#,
            r#"{"type":"CLIENT_GONE","dispatcher":3,"job":77}"#,
            r#"{"type":"TIMER","dispatcher":3,"ctx":"sweep"}"#,
            r#"{"type":"TIMER","dispatcher":3,"ctx":"2"}"#,
            r#"{"type":"DISCOVERY","dispatcher":3,"scope":"Error","index":1}"#,
            r#"{"type":"DOWN","dispatcher":3}"#,
        ]
        .map(String::from),
    );
    lines.extend(configure_lines(3, 0));
    lines.push(knock_line(3, 2, "once"));
    let out = run_ok(&batch(1_000, &lines));
    assert_eq!(out.matches("\"SEND\"").count(), 2, "{out}");
}

#[test]
fn a_list_number_may_be_used_again_within_a_batch() {
    let mut lines = vec![list(0, &[1])];
    lines.extend(configure_lines(3, 0));
    lines.push(list(0, &[2]));
    lines.extend(configure_lines(4, 0));
    lines.extend([knock_line(3, 1, "free"), knock_line(4, 2, "free")]);
    let out = run_ok(&batch(1_000, &lines));
    assert!(lines_of(&out, 3)
        .iter()
        .any(|l| l.contains("10.0.0.1:9000")));
    assert!(lines_of(&out, 4)
        .iter()
        .any(|l| l.contains("10.0.0.2:9000")));
    assert!(!lines_of(&out, 4)
        .iter()
        .any(|l| l.contains("10.0.0.1:9000")));
}

#[test]
fn dispatchers_act_alike_alone_and_together() {
    let workers: Vec<u32> = (0..12).collect();
    let together = run_ok(&session(&[0, 1, 2], 0, &workers));
    assert!(together.matches("\"SEND\"").count() > 60);
    for dispatcher in 0..3 {
        // Alone, with another list number, and after a list in another order that this dispatcher does not use.
        let other: Vec<u32> = (0..12).rev().collect();
        let input = batch(1, &[list(9, &other)]) + &session(&[dispatcher], 5, &workers);
        assert_eq!(
            lines_of(&together, dispatcher),
            lines_of(&run_ok(&input), dispatcher),
            "dispatcher {dispatcher}"
        );
    }
}

#[test]
fn errors_name_the_malformed_line() {
    let start = "{\"type\":\"SYNC\",\"atTimeUs\":5}\n";
    let configured =
        start.to_string() + &list(0, &[1]) + "\n" + &configure_lines(3, 0).join("\n") + "\n";
    for (input, reason) in [
        (start.to_string() + "nonsense\n", "line 2: not a message"),
        (
            start.to_string() + "{\"type\":\"WHAT\",\"dispatcher\":1}\n",
            "line 2: WHAT for dispatcher 1",
        ),
        (
            configured.clone() + "{\"type\":\"WHAT\",\"dispatcher\":3}\n",
            "line 5: unknown message WHAT",
        ),
        (
            start.to_string() + "{\"atTimeUs\":5}\n",
            "line 2: a message without a type",
        ),
        (start.to_string() + start, "line 2: SYNC inside a batch"),
        (
            "{\"type\":\"OVER_TO_YOU\"}\n".into(),
            "line 1: OVER_TO_YOU outside a batch",
        ),
        (start.to_string(), "line 1: the input ends inside a batch"),
        (
            configured.clone() + &knock_line(3, 1, "unheard"),
            "line 5: no class unheard",
        ),
        (
            configured.clone() + &outcome_line(3, 1, "odd", false),
            "line 5: unknown outcome odd",
        ),
        (
            configured + "{\"type\":\"KNOCK\",\"dispatcher\":3,\"job\":-4}",
            "line 5: not a message",
        ),
    ] {
        let error = run_error(&input);
        assert!(error.starts_with(reason), "{error}, wanted {reason}");
    }
}

struct ClosedOutput;

impl std::io::Write for ClosedOutput {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        Err(std::io::ErrorKind::BrokenPipe.into())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_closed_output_ends_the_adapter_without_error() {
    assert_eq!(run(batch(5, &[]).as_bytes(), ClosedOutput), Ok(()));
}

#[test]
fn the_adapter_exits_with_one_error_line_on_malformed_input() {
    use std::io::Write;
    use std::process::{Command, Stdio};
    for (input, good) in [("nonsense\n", false), ("", true)] {
        let mut child = Command::new(env!("CARGO_BIN_EXE_streamusher-benchlink"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the adapter starts");
        child
            .stdin
            .take()
            .unwrap()
            .write_all(input.as_bytes())
            .expect("written");
        let done = child.wait_with_output().expect("the adapter exits");
        let error_output = String::from_utf8_lossy(&done.stderr).into_owned();
        assert_eq!(done.status.success(), good, "{error_output}");
        assert_eq!(
            error_output.lines().count(),
            usize::from(!good),
            "{error_output}"
        );
        assert!(good || error_output.contains("line 1"), "{error_output}");
    }
}

/// The settings `zonesAllowed`, `servedOn` and `fullMayHaveRun` are passed from the wire to the decisions.
#[test]
fn placement_and_full_may_have_run_are_passed_on() {
    let with = |change: [(&str, &str); 2]| {
        let mut lines = vec![list(0, &[1, 2, 4, 6])];
        lines.extend(configure_lines(3, 0));
        change
            .iter()
            .for_each(|(from, to)| lines[1] = lines[1].replacen(from, to, 1));
        lines.extend((0..12).map(|job| knock_line(3, job, "free")));
        let more: Vec<String> = vec![knock_line(3, 90, "once")];
        let shed = vec![outcome_line(3, 90, "shed", false)];
        run_ok(&(batch(1_000, &lines) + &batch(9_000, &more) + &batch(19_000, &shed)))
    };
    let free = |placement: &str| {
        let out = with([
            ("{\"deadlineUs\":5000000,\"keyScope\":\"all\"", placement),
            ("news", "more news"),
        ]);
        let sent: Vec<String> = out
            .lines()
            .filter(|l| l.contains("SEND") && !l.contains("\"job\":90"))
            .map(|l| l.split("10.0.0.").nth(1).unwrap()[..1].to_string())
            .collect();
        sent
    };
    let class = "{\"deadlineUs\":5000000,\"keyScope\":\"all\"";
    assert!(free(&format!("{class},\"zonesAllowed\":[\"west\"]"))
        .iter()
        .all(|w| w == "1"));
    assert!(free(&format!("{class},\"servedOn\":[\"b\"]"))
        .iter()
        .all(|w| w == "1"));
    assert!(free(&format!("{class},\"servedOn\":[\"unseen\"]")).is_empty());
    for any in ["", ",\"zonesAllowed\":[],\"servedOn\":[]"] {
        let sent = free(&format!("{class}{any}"));
        assert!(
            sent.len() >= 12 && sent.iter().any(|w| w != "1"),
            "{sent:?}"
        );
    }
    let news = ("news", "more news");
    assert!(!with([
        news,
        ("drainGraceUs", "fullMayHaveRun\":false,\"drainGraceUs")
    ])
    .contains("GIVE_UP"));
    assert!(with([
        news,
        ("drainGraceUs", "fullMayHaveRun\":true,\"drainGraceUs")
    ])
    .contains("GIVE_UP"));
}

#[test]
fn settings_of_the_wrong_type_are_rejected_with_a_reason() {
    for (from, to) in [
        ("\"worth\":5", "\"worth\":5,\"servedOn\":\"a\""),
        ("\"worth\":5", "\"worth\":5,\"zonesAllowed\":[1]"),
        ("\"fallUs\"", "\"fullMayHaveRun\":\"yes\",\"fallUs\""),
    ] {
        let mut lines = vec![list(0, &[1])];
        lines.extend(configure_lines(3, 0));
        lines[1] = lines[1].replacen(from, to, 1);
        let error = run_error(&batch(1_000, &lines));
        assert!(error.starts_with("line 3: not a message"), "{error}");
    }
}
