//! Clients' receipts: the operations whose answers they have, by id, from a CSV file with a heading.

use crate::entry::Micros;
use crate::store::{Doubt, Settle, Store, StoreError};
use std::collections::HashSet;
use std::path::Path;
use streamusher_csv_quotes::{QuoteTracker, TrackedReader};

/// Why doubts could not be settled.
#[derive(Debug, thiserror::Error)]
pub enum ReceiptsError {
    /// The file cannot be used.
    #[error("{0}")]
    File(String),
    /// The store.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Which of these doubts the file holds a receipt for, by operation. Reads it row by row: it may be far larger than
/// the doubts.
///
/// # Errors
///
/// [`ReceiptsError::File`] if the file cannot be read, is no CSV, or has no column `operation`.
pub fn find_receipts(path: &Path, doubts: &[Doubt]) -> Result<HashSet<String>, ReceiptsError> {
    let at = path.display();
    let bad = |why: String| ReceiptsError::File(format!("{at}: {why}"));
    let sought: HashSet<&str> = doubts.iter().map(|d| d.row.operation.as_str()).collect();
    let file = std::fs::File::open(path).map_err(|e| bad(e.to_string()))?;
    let (file, quotes) = TrackedReader::new(file, QuoteTracker::new(b',', None));
    let mut rows = csv::ReaderBuilder::new()
        .trim(csv::Trim::All)
        .flexible(false)
        .from_reader(file);
    let heading = rows.headers().map_err(|e| bad(e.to_string()))?;
    let column = heading
        .iter()
        .position(|h| h.trim_start_matches('\u{feff}') == "operation");
    let column = column.ok_or_else(|| bad("line 1: no column 'operation'".into()))?;
    let mut found = HashSet::new();
    let mut row = csv::StringRecord::new();
    // A quote left open swallows the rest: its place is the mistake, not what the reader makes of the row.
    let open = || {
        quotes
            .borrow()
            .unterminated_quote()
            .map(|p| bad(format!("line {}: a quote without its end", p.line)))
    };
    while rows
        .read_record(&mut row)
        .map_err(|e| open().unwrap_or_else(|| bad(e.to_string())))?
    {
        let operation = row.get(column).unwrap_or_default();
        if sought.contains(operation) {
            found.insert(operation.to_string());
        }
    }
    open().map_or(Ok(found), Err)
}

/// How many doubts were settled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Settled {
    /// As served.
    pub billed: usize,
    /// As not served.
    pub waived: usize,
}

/// Settles doubts, each by `how`, in one commit. Those that another has settled meanwhile stay as they are.
///
/// # Errors
///
/// What [`Store::correct_all`] reports; then none is settled.
pub fn settle(
    store: &mut Store,
    doubts: &[Doubt],
    now: Micros,
    author: &str,
    reason: &str,
    how: impl Fn(&Doubt) -> Settle,
) -> Result<Settled, StoreError> {
    let corrections: Vec<_> = doubts
        .iter()
        .map(|d| d.settle(how(d), now, author, reason))
        .collect();
    let mut done = Settled::default();
    for (doubt, no) in doubts.iter().zip(store.correct_all(&corrections)?) {
        match (no, how(doubt)) {
            (0, _) => {}
            (_, Settle::Bill) => done.billed += 1,
            (_, Settle::Waive) => done.waived += 1,
        }
    }
    Ok(done)
}
