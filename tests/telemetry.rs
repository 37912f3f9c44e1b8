//! Parsing of and responses to the operators' management calls.

use rstest::rstest;
use streamusher::telemetry::*;

#[rstest]
#[case(&["readyz\n"], ReadStatus::Line(Call::Ready))]
#[case(&["re", "ad", "yz\r\n"], ReadStatus::Line(Call::Ready))]
#[case(&["t", "elemetry", "\nreadyz\n"], ReadStatus::Line(Call::Telemetry))]
#[case(&["stop\n"], ReadStatus::Line(Call::Unknown("unknown call \"stop\"".into())))]
fn call_is_assembled_from_chunks(#[case] chunks: &[&str], #[case] status: ReadStatus) {
    let mut reader = LineReader::default();
    let (incomplete, rest) = chunks.split_at(chunks.len() - 1);
    incomplete
        .iter()
        .for_each(|p| assert_eq!(reader.feed(p.as_bytes()), ReadStatus::Incomplete));
    assert_eq!(reader.feed(rest[0].as_bytes()), status);
    assert_eq!(
        LineReader::default().feed(b"\xff\n"),
        ReadStatus::Line(Call::Unknown("not text".into()))
    );
}

#[test]
fn too_long_line_is_rejected() {
    let mut reader = LineReader::default();
    assert_eq!(reader.feed(&[b'a'; MAX_CALL_BYTES]), ReadStatus::Incomplete);
    assert_eq!(reader.feed(b"a"), ReadStatus::TooLong);
}

#[test]
fn readiness_response_begins_with_yes_or_no() {
    let metrics = || Metrics {
        active: 3,
        ..Metrics::default()
    };
    assert_eq!(
        answer(&Call::Ready, Readiness::Serving, metrics, |_| None),
        "YES\n"
    );
    assert_eq!(
        answer(&Call::Ready, Readiness::Stopping, metrics, |_| None),
        "NO stopping\n"
    );
    let response = answer(&Call::Telemetry, Readiness::Starting, metrics, |_| None);
    let lines: Vec<&str> = response.lines().collect();
    assert_eq!((lines[1], lines.len()), ("END", 2));
    let json: serde_json::Value = serde_json::from_str(lines[0]).expect("json");
    assert_eq!(json["active"], 3);
    assert_eq!(LineReader::default().end(), None);
}
