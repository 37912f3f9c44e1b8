//! Table of a benchmark run's lost value: its rows add up to the loss, and each loss is attributed to the
//! cause given by the log lines of the jobs.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use rstest::rstest;
use streamusher_emulator::lost_value::{
    parse_missed_objectives, LossCause, LostValue, Report, RequestClass,
};
use streamusher_jobs::LatencyStage;

const CLASSES: &str = r#"[
    {"name": "check", "worth": 1.0, "aim_ms": 800, "priority": 0, "jobs": {"stretch": 1.5}},
    {"name": "batch", "worth": 3.0, "aim_ms": 4000, "priority": 2, "jobs": {"stretch": 4.0}}
]"#;

/// Ten requests of class `check`, two of them late, and ten of class `batch`, one of them rejected.
fn report() -> Report {
    let classes = r#"[
        {"name": "check", "n": 10, "late": 2, "refused": 0, "failed": 0, "not_owed": 0, "worth": 0.9},
        {"name": "batch", "n": 10, "late": 0, "refused": 1, "failed": 0, "not_owed": 0, "worth": 0.9}]"#;
    let windows = r#"[
        {"name": "0", "n": 8, "late": 0, "refused": 0, "failed": 0, "not_owed": 0, "worth": 1.0},
        {"name": "2", "n": 6, "late": 2, "refused": 0, "failed": 0, "not_owed": 0, "worth": 0.7},
        {"name": "4", "n": 6, "late": 0, "refused": 1, "failed": 0, "not_owed": 0, "worth": 0.5}]"#;
    let parts =
        r#"[["whole day", 0.7, 0.9], ["worst windows", 0.15, 0.6], ["worst class", 0.15, 0.9]]"#;
    let text = format!(
        r#"{{"G": 0.82, "parts": {parts}, "prices": [["machine-seconds", 1.0, 0.03], ["bytes", 0.0, 0.0]],
            "classes": {classes}, "windows": {windows}}}"#
    );
    serde_json::from_str(&text).expect("a valid report")
}

fn classes() -> Vec<RequestClass> {
    serde_json::from_str(CLASSES).expect("valid request classes")
}

fn line(ended_s: f64, took_ms: u64, spent: &str) -> String {
    format!(
        r#"  {ended_s:.4} core-1 2026-01-30T07:42:31.000Z INFO streamusher_scheduler::accounts: objective missed: {{"job":"00ff00ff00ff00ff","iteration":0,"queue":"q","service":"s","priority":0,"target_latency_ms":800,"stretch":1.5,"is_done":true,"due_unix_ms":1,"took_ms":{took_ms},"objective_ms":1800,"spent_ms":{spent}}}"#
    )
}

fn approx_eq(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-9
}

fn loss(lost_value: &LostValue, cause: &LossCause) -> f64 {
    lost_value.by_cause.get(cause).copied().unwrap_or_default()
}

#[rstest]
#[case::empty_log("")]
#[case::one_line(&line(5.0, 2_500, r#"{"worked":1000,"waited_for_room":1500}"#))]
#[case::more_lines_than_late_requests(&[
    line(5.0, 2_500, r#"{"worked":1000,"lost":1500}"#),
    line(5.1, 2_500, r#"{"worked":1000,"ordered":1500}"#),
    line(5.2, 2_500, r#"{"worked":1000,"stopped":1500}"#),
].join("\n"))]
fn rows_add_up_to_lost_value(#[case] log: &str) {
    let report = report();
    let lost_value = LostValue::of(&report, &classes(), &parse_missed_objectives(log));
    assert!(
        approx_eq(lost_value.total(), 1.0 - report.score),
        "{lost_value:?}"
    );
    assert!(
        lost_value.by_cause.values().all(|loss| *loss > -0.01),
        "{lost_value:?}"
    );
}

#[rstest]
fn class_loss_is_divided_among_stages() {
    let log = [
        line(5.0, 2_500, r#"{"worked":1000,"waited_for_room":1500}"#),
        line(
            5.5,
            2_500,
            r#"{"worked":1000,"waited_for_room":500,"lost":1000}"#,
        ),
    ];
    let lost_value = LostValue::of(
        &report(),
        &classes(),
        &parse_missed_objectives(&log.join("\n")),
    );
    // The class `check` accounts for a quarter of the whole day's loss of 0.07, by value. Of the three misses
    // in the worst windows, which lose 0.06, the log lines explain two.
    let explained_loss = 0.07 / 4.0 + 0.06 * 2.0 / 3.0 + 0.015;
    let lost = explained_loss / 2.0 * (1_000.0 / 1_500.0);
    assert!(
        approx_eq(
            loss(&lost_value, &LossCause::Stage(LatencyStage::Lost)),
            lost
        ),
        "{lost_value:?}"
    );
    assert!(
        approx_eq(
            loss(
                &lost_value,
                &LossCause::Stage(LatencyStage::WaitedForCapacity)
            ),
            explained_loss - lost
        ),
        "{lost_value:?}"
    );
    assert!(
        approx_eq(loss(&lost_value, &LossCause::Unknown), 0.07 * 0.75 + 0.02),
        "{lost_value:?}"
    );
    assert!(
        approx_eq(
            loss(&lost_value, &LossCause::Price("machine-seconds".into())),
            0.03
        ),
        "{lost_value:?}"
    );
}

#[rstest]
fn lines_represent_suppressed_lines() {
    let late = |ended_s| line(ended_s, 2_500, r#"{"worked":1000,"unknown":1500}"#);
    let log = format!(
        "{}\n{}\n{} (6 more since)\n{}",
        late(5.0),
        late(5.1),
        late(16.0),
        late(16.1)
    );
    let represented_misses: Vec<f64> = parse_missed_objectives(&log)
        .iter()
        .map(|missed| missed.represented_misses)
        .collect();
    assert_eq!(represented_misses, vec![4.0, 4.0, 1.0, 1.0]);
}

#[rstest]
fn other_and_truncated_lines_are_ignored() {
    let log = format!(
        "built in 3 s\n  1.0 core-1 INFO objective missed: {{\"job\":\n{}\n  2.0 core-1 INFO primary from epoch 2 on",
        line(5.0, 2_500, r#"{"worked":1000,"unknown":1500}"#)
    );
    let missed = parse_missed_objectives(&log);
    assert_eq!(missed.len(), 1);
    assert!(approx_eq(missed[0].due_s, 2.5));
}
