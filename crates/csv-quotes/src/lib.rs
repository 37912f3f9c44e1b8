//! Detects unterminated quotes in CSV text.
//!
//! The `csv` crate reads a quoted field that is never closed as one field up to the end of the text. It
//! consumes all rows after the quote without reporting an error, and its public interface does not expose
//! this condition. [`QuoteTracker`] follows the same grammar byte by byte, in constant memory, and records
//! where the quote was opened. Use [`find_unterminated_quote`] for a text in memory, and [`TrackedReader`]
//! for one that another parser reads from a stream.
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
