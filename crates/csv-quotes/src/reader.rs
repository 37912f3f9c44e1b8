//! Tracks quotes in a stream while another parser reads it.

use crate::tracker::QuoteTracker;
use std::cell::RefCell;
use std::io::{self, Read};
use std::rc::Rc;

/// Reader that passes all bytes read from an inner reader to a [`QuoteTracker`].
///
/// The tracker is reference-counted, since a CSV parser takes ownership of its reader:
///
/// ```
/// use std::io::Read;
/// use streamusher_csv_quotes::{QuoteTracker, TrackedReader};
///
/// let (mut reader, tracker) = TrackedReader::new(&b"a,\"b"[..], QuoteTracker::new(b',', None));
/// reader.read_to_end(&mut Vec::new()).unwrap();
/// let opened_at = tracker.borrow().unterminated_quote().unwrap();
/// assert_eq!((opened_at.line, opened_at.column), (1, 3));
/// ```
pub struct TrackedReader<R> {
    inner: R,
    tracker: Rc<RefCell<QuoteTracker>>,
}

impl<R: Read> TrackedReader<R> {
    /// Wraps a reader and also returns its tracker, which reports an unterminated quote once the whole stream
    /// is read.
    pub fn new(inner: R, tracker: QuoteTracker) -> (TrackedReader<R>, Rc<RefCell<QuoteTracker>>) {
        let tracker = Rc::new(RefCell::new(tracker));
        let reader = TrackedReader {
            inner,
            tracker: tracker.clone(),
        };
        (reader, tracker)
    }
}

impl<R: Read> Read for TrackedReader<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let length = self.inner.read(buffer)?;
        self.tracker.borrow_mut().feed_all(&buffer[..length]);
        Ok(length)
    }
}
