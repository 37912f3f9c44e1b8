//! Operators' calls, as they are read and answered.

use rstest::rstest;
use streamusher::telemetry::*;

#[rstest]
#[case(&["readyz\n"], ReadStatus::Line(Call::Ready))]
#[case(&["re", "ad", "yz\r\n"], ReadStatus::Line(Call::Ready))]
#[case(&["t", "elemetry", "\nreadyz\n"], ReadStatus::Line(Call::Telemetry))]
#[case(&["stop\n"], ReadStatus::Line(Call::Unknown("unknown call \"stop\"".into())))]
fn lines_in_pieces(#[case] pieces: &[&str], #[case] last: ReadStatus) {
    let mut reader = LineReader::default();
    let (init, tail) = pieces.split_at(pieces.len() - 1);
    init.iter()
        .for_each(|p| assert_eq!(reader.feed(p.as_bytes()), ReadStatus::Incomplete));
    assert_eq!(reader.feed(tail[0].as_bytes()), last);
    assert_eq!(
        LineReader::default().feed(b"\xff\n"),
        ReadStatus::Line(Call::Unknown("not text".into()))
    );
}

#[test]
fn a_long_line_is_refused() {
    let mut reader = LineReader::default();
    assert_eq!(reader.feed(&[b'a'; MAX_CALL_BYTES]), ReadStatus::Incomplete);
    assert_eq!(reader.feed(b"a"), ReadStatus::TooLong);
}

#[test]
fn answers_begin_with_yes_or_no() {
    let figures = || Metrics {
        active: 3,
        ..Metrics::default()
    };
    assert_eq!(
        answer(&Call::Ready, Readiness::Serving, figures, |_| None),
        "YES\n"
    );
    assert_eq!(
        answer(&Call::Ready, Readiness::Stopping, figures, |_| None),
        "NO stopping\n"
    );
    let told = answer(&Call::Telemetry, Readiness::Starting, figures, |_| None);
    let lines: Vec<&str> = told.lines().collect();
    assert_eq!((lines[1], lines.len()), ("END", 2));
    let json: serde_json::Value = serde_json::from_str(lines[0]).expect("json");
    assert_eq!(json["active"], 3);
    assert_eq!(LineReader::default().end(), None);
}
