//! Takes a watch apart: JSON objects, indented or not, in pieces of any size, and the empty lines between them.

/// The longest object.
const MAX_OBJECT_BYTES: usize = 4 << 20;

/// What a watch says.
#[derive(Debug, PartialEq, Eq)]
pub enum WatchItem {
    /// Nothing changed.
    Unchanged,
    /// The text of one object.
    Object(Vec<u8>),
}

/// Why what came is no watch.
#[derive(Debug, PartialEq, Eq)]
pub enum SplitError {
    /// Something stands where an object should begin.
    NotAnObject,
    /// An object without end.
    ObjectTooLong,
}

/// Finds where objects end, looking at each byte once. Line ends inside an object are part of it.
#[derive(Debug, Default)]
pub struct Splitter {
    object: Vec<u8>,
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// Nothing has come on this line yet.
    line_is_empty: bool,
}

impl Splitter {
    /// At the beginning of a watch.
    pub fn new() -> Splitter {
        Splitter {
            line_is_empty: true,
            ..Splitter::default()
        }
    }

    /// Takes a piece; what it completes is added to `out`.
    pub fn feed(&mut self, piece: &[u8], out: &mut Vec<WatchItem>) -> Result<(), SplitError> {
        for &byte in piece {
            if self.depth == 0 {
                match byte {
                    b'{' => {
                        (self.depth, self.line_is_empty) = (1, false);
                        self.object.push(byte);
                    }
                    b'\n' => {
                        // The end of a line that held an object says nothing of its own.
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
