//! Splits the body of a discovery watch into JSON objects, indented or not, and the empty lines between them.
//! The input arrives in pieces of any size.

/// Maximum length of one object in bytes.
const MAX_OBJECT_BYTES: usize = 4 << 20;

/// One item of a watch.
#[derive(Debug, PartialEq, Eq)]
pub enum WatchItem {
    /// An empty line: the list has not changed.
    Unchanged,
    /// The text of one JSON object.
    Object(Vec<u8>),
}

/// Reason why the input is not a valid watch.
#[derive(Debug, PartialEq, Eq)]
pub enum SplitError {
    /// A character other than `{` where an object should begin.
    NotAnObject,
    /// An object longer than 4 MiB.
    ObjectTooLong,
}

/// Finds the ends of objects and reads each byte only once. Line ends inside an object belong to it.
#[derive(Debug, Default)]
pub struct Splitter {
    object: Vec<u8>,
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// The current line contains no object so far.
    line_is_empty: bool,
}

impl Splitter {
    /// A splitter at the beginning of a watch.
    pub fn new() -> Splitter {
        Splitter {
            line_is_empty: true,
            ..Splitter::default()
        }
    }

    /// Processes one piece and appends the items that it completes to `out`.
    pub fn feed(&mut self, piece: &[u8], out: &mut Vec<WatchItem>) -> Result<(), SplitError> {
        for &byte in piece {
            if self.depth == 0 {
                match byte {
                    b'{' => {
                        (self.depth, self.line_is_empty) = (1, false);
                        self.object.push(byte);
                    }
                    b'\n' => {
                        // The end of a line that contained an object is not an item of its own.
                        if std::mem::replace(&mut self.line_is_empty, true) {
                            out.push(WatchItem::Unchanged);
                        }
                    }
                    b if b.is_ascii_whitespace() => {}
                    _ => return Err(SplitError::NotAnObject),
                }
                continue;
            }
            self.object.push(byte);
            match (self.in_string, byte) {
                (true, _) if self.escaped => self.escaped = false,
                (true, b'\\') => self.escaped = true,
                (true, b'"') => self.in_string = false,
                (true, _) => {}
                (false, b'"') => self.in_string = true,
                (false, b'{' | b'[') => self.depth += 1,
                (false, b'}' | b']') => self.depth -= 1,
                (false, _) => {}
            }
            if self.depth == 0 {
                out.push(WatchItem::Object(std::mem::take(&mut self.object)));
            } else if self.object.len() > MAX_OBJECT_BYTES {
                return Err(SplitError::ObjectTooLong);
            }
        }
        Ok(())
    }
}
