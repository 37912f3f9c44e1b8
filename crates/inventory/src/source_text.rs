//! The texts of the files that are read, and positions in them.

/// Number of a file among those that are read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FileId(usize);

/// A position in a file. Positions are ordered by file, line and column.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SourcePosition {
    pub(crate) file: FileId,
    /// From 1; 0 for the file as a whole.
    pub(crate) line: u32,
    /// In characters, from 1.
    pub(crate) column: u32,
}

/// A value and its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Scalar {
    pub(crate) text: String,
    pub(crate) position: SourcePosition,
}

/// The text of one file.
#[derive(Clone, Copy)]
pub(crate) struct SourceText<'a> {
    pub(crate) file: FileId,
    pub(crate) text: &'a str,
}

impl<'a> SourceText<'a> {
    /// A position in this file.
    pub(crate) fn position(&self, line: u32, column: u32) -> SourcePosition {
        SourcePosition {
            file: self.file,
            line,
            column,
        }
    }

    /// The text without its byte order mark.
    pub(crate) fn without_byte_order_mark(&self) -> &'a str {
        self.text.strip_prefix('\u{feff}').unwrap_or(self.text)
    }
}

/// The files that were read.
#[derive(Clone, Debug, Default)]
pub(crate) struct SourceFiles {
    files: Vec<SourceFile>,
}

#[derive(Clone, Debug)]
struct SourceFile {
    name: String,
    text: String,
}

impl SourceFiles {
    /// Adds a file.
    pub(crate) fn add(&mut self, name: &str, text: String) -> FileId {
        let id = FileId(self.files.len());
        self.files.push(SourceFile {
            name: name.to_owned(),
            text,
        });
        id
    }

    /// The text of a file.
    pub(crate) fn source_text(&self, file: FileId) -> SourceText<'_> {
        let text = self.files.get(file.0).map_or("", |file| &*file.text);
        SourceText { file, text }
    }

    /// The name of a file.
    pub(crate) fn name(&self, file: FileId) -> &str {
        self.files.get(file.0).map_or("", |file| &*file.name)
    }

    /// The text of the first file of this name.
    pub(crate) fn text_of(&self, name: &str) -> &str {
        let file = self.files.iter().find(|file| file.name == name);
        file.map_or("", |file| &*file.text)
    }
}
