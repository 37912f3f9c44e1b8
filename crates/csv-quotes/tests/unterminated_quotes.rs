//! Detection of unterminated quotes: examples, and a comparison with the `csv` crate on random texts.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use proptest::prelude::*;
use rstest::rstest;
use std::io::Read;
use streamusher_csv_quotes::{find_unterminated_quote, QuoteTracker, TextPosition, TrackedReader};

#[rstest]
#[case::closed("a,\"b\"\n", None)]
#[case::escaped("a,\"b\"\"\"\n", None)]
#[case::in_unquoted_field("a,b\"c\nd,e\n", None)]
#[case::after_closing_quote("\"a\"b\"c,d\n", None)]
#[case::in_a_comment("# it's 5\" wide\na,b\n", None)]
#[case::unterminated("a,b\nc,\"d\ne,f\n", Some((2, 3)))]
#[case::escaped_quote_at_end_of_field("a,b\nc,\"d\"\"\n", Some((2, 3)))]
#[case::after_umlaut("ä,\"d\n", Some((1, 3)))]
fn unterminated_quote_is_found(#[case] text: &str, #[case] expected: Option<(u32, u32)>) {
    let expected = expected.map(|(line, column)| TextPosition { line, column });
    let found = find_unterminated_quote(text.as_bytes(), b',', Some(b'#'));
    assert_eq!(found, expected);
    let tracker = QuoteTracker::new(b',', Some(b'#'));
    let (mut reader, tracker) = TrackedReader::new(text.as_bytes(), tracker);
    reader.read_to_end(&mut Vec::new()).unwrap();
    assert_eq!(tracker.borrow().unterminated_quote(), expected);
}

proptest! {
    /// If a text has an unterminated quote, the CSV parser reads a row appended to it as part of the quoted
    /// field. Otherwise the parser returns that row.
    #[test]
    fn tracker_agrees_with_csv_parser(text in "[ab,\"\n\r#]{0,24}") {
        let rows = |text: &str| {
            let mut reader = csv::ReaderBuilder::new();
            reader.has_headers(false).flexible(true).comment(Some(b'#'));
            let mut reader = reader.from_reader(text.as_bytes());
            reader.byte_records().filter(|record| record.as_ref().is_ok_and(|record| record.iter().eq([&b"ende"[..], b"z"]))).count()
        };
        let is_unterminated = find_unterminated_quote(text.as_bytes(), b',', Some(b'#')).is_some();
        prop_assert_eq!(rows(&format!("{text}\nende,z\n")) == 0, is_unterminated);
    }
}
