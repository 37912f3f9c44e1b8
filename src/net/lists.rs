//! Takes a watch apart: JSON objects, indented or not, in pieces of any size, and the empty lines between them.

/// The longest object.
const LONGEST: usize = 4 << 20;

/// What a watch says.
#[derive(Debug, PartialEq, Eq)]
pub enum Said {
    /// Nothing changed.
    Nothing,
    /// The text of one object.
    Object(Vec<u8>),
}

/// Why what came is no watch.
#[derive(Debug, PartialEq, Eq)]
pub enum Spoilt {
    /// Something stands where an object should begin.
    NoObject,
    /// An object without end.
    Endless,
}

/// Finds where objects end, looking at each byte once. Line ends inside an object are part of it.
#[derive(Debug, Default)]
pub struct Splitter {
    object: Vec<u8>,
    depth: usize,
    text: bool,
    escaped: bool,
    /// Nothing has come on this line yet.
    blank: bool,
}

impl Splitter {
    /// At the beginning of a watch.
    pub fn new() -> Splitter {
        Splitter {
            blank: true,
            ..Splitter::default()
        }
    }

    /// Takes a piece; what it completes is added to `out`.
    pub fn feed(&mut self, piece: &[u8], out: &mut Vec<Said>) -> Result<(), Spoilt> {
        for &byte in piece {
            if self.depth == 0 {
                match byte {
                    b'{' => {
                        (self.depth, self.blank) = (1, false);
                        self.object.push(byte);
                    }
                    b'\n' => {
                        // The end of a line that held an object says nothing of its own.
                        if std::mem::replace(&mut self.blank, true) {
                            out.push(Said::Nothing);
                        }
                    }
                    b if b.is_ascii_whitespace() => {}
                    _ => return Err(Spoilt::NoObject),
                }
                continue;
            }
            self.object.push(byte);
            match (self.text, byte) {
                (true, _) if self.escaped => self.escaped = false,
                (true, b'\\') => self.escaped = true,
                (true, b'"') => self.text = false,
                (true, _) => {}
                (false, b'"') => self.text = true,
                (false, b'{' | b'[') => self.depth += 1,
                (false, b'}' | b']') => self.depth -= 1,
                (false, _) => {}
            }
            if self.depth == 0 {
                out.push(Said::Object(std::mem::take(&mut self.object)));
            } else if self.object.len() > LONGEST {
                return Err(Spoilt::Endless);
            }
        }
        Ok(())
    }
}
