//! Operators' calls, as they are read and answered.

use rstest::rstest;
use streamusher::telemetry::*;

#[rstest]
#[case(&["readyz\n"], Read::Line(Call::Ready))]
#[case(&["re", "ad", "yz\r\n"], Read::Line(Call::Ready))]
#[case(&["t", "elemetry", "\nreadyz\n"], Read::Line(Call::Telemetry))]
#[case(&["stop\n"], Read::Line(Call::Unknown("unknown call \"stop\"".into())))]
fn lines_in_pieces(#[case] pieces: &[&str], #[case] last: Read) {
    let mut reader = LineReader::default();
    let (init, tail) = pieces.split_at(pieces.len() - 1);
    init.iter()
        .for_each(|p| assert_eq!(reader.feed(p.as_bytes()), Read::More));
    assert_eq!(reader.feed(tail[0].as_bytes()), last);
    assert_eq!(
        LineReader::default().feed(b"\xff\n"),
        Read::Line(Call::Unknown("not text".into()))
    );
}

#[test]
fn a_long_line_is_refused() {
    let mut reader = LineReader::default();
    assert_eq!(reader.feed(&[b'a'; LONGEST_CALL]), Read::More);
    assert_eq!(reader.feed(b"a"), Read::TooLong);
}

#[test]
fn answers_begin_with_yes_or_no() {
    let figures = || Figures {
        active: 3,
        ..Figures::default()
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
