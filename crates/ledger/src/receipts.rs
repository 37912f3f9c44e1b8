//! Client receipts: a CSV file with a header row that lists, by id, the operations whose answers the client
//! has.

use crate::entry::Micros;
use crate::store::{Doubt, Settle, Store, StoreError};
use std::collections::HashSet;
use std::path::Path;
use streamusher_csv_quotes::{QuoteTracker, TrackedReader};

/// Reason for which doubts could not be settled.
#[derive(Debug, thiserror::Error)]
pub enum ReceiptsError {
    /// The receipts file cannot be used. Holds the path and the problem.
    #[error("{0}")]
    File(String),
    /// Reading or writing the store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Returns the operation ids of those `doubts` for which the file holds a receipt. Reads the file row by row,
/// because it may be far larger than the list of doubts.
///
/// # Errors
///
/// [`ReceiptsError::File`] if the file cannot be read, is not valid CSV, or has no column `operation`.
pub fn find_receipts(path: &Path, doubts: &[Doubt]) -> Result<HashSet<String>, ReceiptsError> {
    let path_text = path.display();
    let file_error = |why: String| ReceiptsError::File(format!("{path_text}: {why}"));
    let wanted: HashSet<&str> = doubts.iter().map(|d| d.row.operation.as_str()).collect();
    let file = std::fs::File::open(path).map_err(|e| file_error(e.to_string()))?;
    let (file, quotes) = TrackedReader::new(file, QuoteTracker::new(b',', None));
    let mut rows = csv::ReaderBuilder::new()
        .trim(csv::Trim::All)
        .flexible(false)
        .from_reader(file);
    let header = rows.headers().map_err(|e| file_error(e.to_string()))?;
    let column = header
        .iter()
        .position(|h| h.trim_start_matches('\u{feff}') == "operation");
    let column = column.ok_or_else(|| file_error("line 1: no column 'operation'".into()))?;
    let mut found = HashSet::new();
    let mut row = csv::StringRecord::new();
    // The CSV reader takes everything after an unterminated quote as one field, so the line of the quote is
    // reported instead of the reader's error.
    let unterminated_quote_error = || {
        quotes
            .borrow()
            .unterminated_quote()
            .map(|p| file_error(format!("line {}: unterminated quote", p.line)))
    };
    while rows
        .read_record(&mut row)
        .map_err(|e| unterminated_quote_error().unwrap_or_else(|| file_error(e.to_string())))?
    {
        let operation = row.get(column).unwrap_or_default();
        if wanted.contains(operation) {
            found.insert(operation.to_string());
        }
    }
    unterminated_quote_error().map_or(Ok(found), Err)
}

/// Number of doubts settled by one call, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Settled {
    /// Doubts settled as served.
    pub billed: usize,
    /// Doubts settled as not served.
    pub waived: usize,
}

/// Settles each doubt as `how` decides, in one commit. Doubts that were settled in the meantime are left
/// unchanged.
///
/// # Errors
///
/// Any error of [`Store::correct_all`]; in that case no doubt is settled.
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
    let mut counts = Settled::default();
    for (doubt, number) in doubts.iter().zip(store.correct_all(&corrections)?) {
        match (number, how(doubt)) {
            (0, _) => {}
            (_, Settle::Bill) => counts.billed += 1,
            (_, Settle::Waive) => counts.waived += 1,
        }
    }
    Ok(counts)
}
