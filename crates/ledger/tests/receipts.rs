//! Reading of receipts files.

use streamusher_ledger::receipts::find_receipts;

#[test]
fn unterminated_quote_is_rejected_with_its_line_number() {
    let dir = tempfile::tempdir().expect("a folder");
    let file = dir.path().join("receipts.csv");
    std::fs::write(&file, "operation,tenant\na,t1\n\"b,t1\nc,t1\n").expect("written");
    let why = find_receipts(&file, &[]).expect_err("refused").to_string();
    assert!(
        why.ends_with("receipts.csv: line 3: unterminated quote"),
        "{why}"
    );
}
