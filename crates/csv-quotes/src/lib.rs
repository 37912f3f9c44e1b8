//! Finds the unterminated quote of a CSV text.
//!
//! The `csv` crate takes a quote that is never closed for one field up to the end of the text: it swallows all rows behind
//! it and reports no error, and its public interface does not tell that this happened. [`QuoteTracker`] follows the same
//! grammar byte by byte, in constant memory, and knows where the quote was opened. Use [`find_unterminated_quote`] for a text
//! in memory, and [`TrackedReader`] for one that another parser reads from a stream.
//!
//! ```
//! use streamusher_csv_quotes::{find_unterminated_quote, TextPosition};
//!
//! let text = b"name,note\ncore-1,\"new\ncore-2,old\n";
//! let opened_at = find_unterminated_quote(text, b',', None);
//! assert_eq!(opened_at, Some(TextPosition { line: 2, column: 8 }));
//!
//! assert_eq!(find_unterminated_quote(b"core-1,\"new\"\n", b',', None), None);
//! ```

mod reader;
mod tracker;

pub use reader::TrackedReader;
pub use tracker::{find_unterminated_quote, QuoteTracker, TextPosition};
