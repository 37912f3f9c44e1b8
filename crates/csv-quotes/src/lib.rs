//! Where a CSV text ends inside quotes.
//!
//! The `csv` crate takes a quote that is never closed for one field up to the end of the text: all rows behind it are
//! swallowed without a word. Its public interface does not tell; this follows the same grammar, byte by byte, and
//! says where the open quote stands. Told bytes, it performs no I/O but for [`Watched`], which looks at what another
//! reader reads.

use std::cell::RefCell;
use std::io::{self, Read};
use std::rc::Rc;

/// A place in a text: line and column, both from 1; columns count characters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// The line.
    pub line: u32,
    /// The column.
    pub column: u32,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    /// A row begins: a comment may too.
    Row,
    Comment,
    /// A field begins: only here does a quote open one.
    Field,
    Plain,
    Quoted(Place),
    /// A quote within quotes: the end of the field, or half of a doubled one.
    Half(Place),
}

/// Follows a text.
#[derive(Clone)]
pub struct Quotes {
    delimiter: u8,
    comment: Option<u8>,
    state: State,
    at: Place,
}

impl Quotes {
    /// At the beginning of a text with this delimiter, and lines that begin with `comment` passed over.
    pub fn new(delimiter: u8, comment: Option<u8>) -> Quotes {
        Quotes {
            delimiter,
            comment,
            state: State::Row,
            at: Place { line: 1, column: 1 },
        }
    }

    /// The next byte.
    pub fn feed(&mut self, byte: u8) {
        let breaks = matches!(byte, b'\n' | b'\r');
        self.state = match self.state {
            State::Row if Some(byte) == self.comment => State::Comment,
            State::Comment if byte != b'\n' => State::Comment,
            State::Quoted(from) if byte == b'"' => State::Half(from),
            State::Quoted(from) => State::Quoted(from),
            State::Half(from) if byte == b'"' => State::Quoted(from),
            State::Row | State::Field if byte == b'"' => State::Quoted(self.at),
            _ if breaks => State::Row,
            _ if byte == self.delimiter => State::Field,
            _ => State::Plain,
        };
        match byte {
            b'\n' => {
                self.at = Place {
                    line: self.at.line + 1,
                    column: 1,
                }
            }
            0x80..=0xbf => {} // the rest of a character
            _ => self.at.column += 1,
        }
    }

    /// Where the quote stands that is open now.
    pub fn open(&self) -> Option<Place> {
        match self.state {
            State::Quoted(from) => Some(from),
            _ => None,
        }
    }
}

/// Where a whole text opens a quote that it never closes.
pub fn left_open(text: &[u8], delimiter: u8, comment: Option<u8>) -> Option<Place> {
    let mut quotes = Quotes::new(delimiter, comment);
    text.iter().for_each(|b| quotes.feed(*b));
    quotes.open()
}

/// Follows what is read through it.
pub struct Watched<R> {
    from: R,
    quotes: Rc<RefCell<Quotes>>,
}

impl<R: Read> Watched<R> {
    /// Reads from there; the other half tells where a quote was left open once all is read.
    pub fn new(from: R, quotes: Quotes) -> (Watched<R>, Rc<RefCell<Quotes>>) {
        let quotes = Rc::new(RefCell::new(quotes));
        (
            Watched {
                from,
                quotes: quotes.clone(),
            },
            quotes,
        )
    }
}

impl<R: Read> Read for Watched<R> {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let n = self.from.read(into)?;
        let mut quotes = self.quotes.borrow_mut();
        into[..n].iter().for_each(|b| quotes.feed(*b));
        Ok(n)
    }
}
