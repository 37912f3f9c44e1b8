//! Where a text opens a quote that it never closes.

use proptest::prelude::*;
use rstest::rstest;
use std::io::Read;
use streamusher_csv_quotes::*;

#[rstest]
#[case::closed("a,\"b\"\n", None)]
#[case::doubled("a,\"b\"\"\"\n", None)]
#[case::inside_a_plain_field("a,b\"c\nd,e\n", None)]
#[case::behind_a_closed_one("\"a\"b\"c,d\n", None)]
#[case::in_a_comment("# it's 5\" wide\na,b\n", None)]
#[case::open("a,b\nc,\"d\ne,f\n", Some((2, 3)))]
#[case::opened_by_a_doubled_one("a,b\nc,\"d\"\"\n", Some((2, 3)))]
#[case::behind_an_umlaut("ä,\"d\n", Some((1, 3)))]
fn tells_the_open_quote(#[case] text: &str, #[case] want: Option<(u32, u32)>) {
    let got = left_open(text.as_bytes(), b',', Some(b'#')).map(|p| (p.line, p.column));
    assert_eq!(got, want);
    let (mut watched, quotes) = Watched::new(text.as_bytes(), Quotes::new(b',', Some(b'#')));
    watched.read_to_end(&mut Vec::new()).unwrap();
    assert_eq!(quotes.borrow().open().map(|p| (p.line, p.column)), want);
}

proptest! {
    /// A row added behind an open quote is swallowed by the reader of rows, and behind none it is a row.
    #[test]
    fn agrees_with_the_reader_of_rows(text in "[ab,\"\n\r#]{0,24}") {
        let rows = |text: &str| {
            let mut reader = csv::ReaderBuilder::new();
            reader.has_headers(false).flexible(true).comment(Some(b'#'));
            let mut reader = reader.from_reader(text.as_bytes());
            reader.byte_records().filter(|r| r.as_ref().is_ok_and(|r| r.iter().eq([&b"ende"[..], b"z"]))).count()
        };
        let open = left_open(text.as_bytes(), b',', Some(b'#')).is_some();
        prop_assert_eq!(rows(&format!("{text}\nende,z\n")) == 0, open);
    }
}
