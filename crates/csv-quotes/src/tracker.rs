//! State machine that tracks the quotes of a CSV text.

/// A position in a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TextPosition {
    /// Line number from 1.
    pub line: u32,
    /// The column in characters, from 1.
    pub column: u32,
}

/// Position in the CSV grammar, before the next byte.
#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    /// At the start of a row, where a comment may start.
    RowStart,
    /// In a comment, which ends at the line feed.
    Comment,
    /// At the start of a field. A quote opens a quoted field only here and at the start of a row.
    FieldStart,
    /// In an unquoted field, or after the closing quote of a field.
    Unquoted,
    /// In a quoted field.
    Quoted {
        /// Position of the opening quote.
        opened_at: TextPosition,
    },
    /// After a quote within a quoted field: it either closes the field or is the first byte of an escaped
    /// quote.
    QuoteInQuoted {
        /// Position of the opening quote.
        opened_at: TextPosition,
    },
}

/// Tracks the quotes of a CSV text byte by byte.
#[derive(Clone)]
pub struct QuoteTracker {
    delimiter: u8,
    comment: Option<u8>,
    state: State,
    /// Position of the next byte.
    position: TextPosition,
}

impl QuoteTracker {
    /// Creates a tracker for a text with this delimiter. Rows that start with the byte `comment` are
    /// comments.
    pub fn new(delimiter: u8, comment: Option<u8>) -> QuoteTracker {
        QuoteTracker {
            delimiter,
            comment,
            state: State::RowStart,
            position: TextPosition { line: 1, column: 1 },
        }
    }

    /// Processes the next byte of the text.
    pub fn feed(&mut self, byte: u8) {
        self.state = self.next_state(byte);
        self.advance(byte);
    }

    /// Processes the next bytes of the text.
    pub fn feed_all(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.feed(*byte);
        }
    }

    /// Returns the position of the opening quote if the text processed so far ends within a quoted field.
    pub fn unterminated_quote(&self) -> Option<TextPosition> {
        match self.state {
            State::Quoted { opened_at } => Some(opened_at),
            _ => None,
        }
    }

    fn next_state(&self, byte: u8) -> State {
        match self.state {
            State::RowStart if Some(byte) == self.comment => State::Comment,
            State::Comment if byte != b'\n' => State::Comment,
            State::Quoted { opened_at } if byte == b'"' => State::QuoteInQuoted { opened_at },
            State::Quoted { opened_at } => State::Quoted { opened_at },
            State::QuoteInQuoted { opened_at } if byte == b'"' => State::Quoted { opened_at },
            State::RowStart | State::FieldStart if byte == b'"' => State::Quoted {
                opened_at: self.position,
            },
            _ if matches!(byte, b'\n' | b'\r') => State::RowStart,
            _ if byte == self.delimiter => State::FieldStart,
            _ => State::Unquoted,
        }
    }

    fn advance(&mut self, byte: u8) {
        match byte {
            b'\n' => {
                self.position = TextPosition {
                    line: self.position.line + 1,
                    column: 1,
                }
            }
            // Continuation bytes of a UTF-8 character do not count as columns.
            0x80..=0xbf => {}
            _ => self.position.column += 1,
        }
    }
}

/// Returns the position of the opening quote if the text ends within a quoted field.
pub fn find_unterminated_quote(
    text: &[u8],
    delimiter: u8,
    comment: Option<u8>,
) -> Option<TextPosition> {
    let mut tracker = QuoteTracker::new(delimiter, comment);
    tracker.feed_all(text);
    tracker.unterminated_quote()
}
