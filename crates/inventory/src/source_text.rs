//! Contents of the files that were read, and positions within them.

/// Index of a file in [`SourceFiles`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FileId(usize);

/// A position in a file. Positions are ordered by file, then line, then column.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SourcePosition {
    pub(crate) file: FileId,
    /// Line number from 1; 0 stands for the file as a whole.
    pub(crate) line: u32,
    /// Column in characters, from 1.
    pub(crate) column: u32,
}

/// A value as text, with its position in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Scalar {
    pub(crate) text: String,
    pub(crate) position: SourcePosition,
}

/// The contents of one file.
#[derive(Clone, Copy)]
pub(crate) struct SourceText<'a> {
    pub(crate) file: FileId,
    pub(crate) text: &'a str,
}

impl<'a> SourceText<'a> {
    /// Returns a position in this file.
    pub(crate) fn position(&self, line: u32, column: u32) -> SourcePosition {
        SourcePosition {
            file: self.file,
            line,
            column,
        }
    }

    /// Returns the text without a leading byte order mark.
    pub(crate) fn without_byte_order_mark(&self) -> &'a str {
        self.text.strip_prefix('\u{feff}').unwrap_or(self.text)
    }
}

/// Names and contents of all files that were read.
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
    /// Adds a file and returns its index.
    pub(crate) fn add(&mut self, name: &str, text: String) -> FileId {
        let id = FileId(self.files.len());
        self.files.push(SourceFile {
            name: name.to_owned(),
            text,
        });
        id
    }

    /// Returns the contents of a file; empty for an unknown index.
    pub(crate) fn source_text(&self, file: FileId) -> SourceText<'_> {
        let text = self.files.get(file.0).map_or("", |file| &*file.text);
        SourceText { file, text }
    }

    /// Returns the name of a file; empty for an unknown index.
    pub(crate) fn name(&self, file: FileId) -> &str {
        self.files.get(file.0).map_or("", |file| &*file.name)
    }

    /// Returns the contents of the first file with this name; empty if there is none.
    pub(crate) fn text_of(&self, name: &str) -> &str {
        let file = self.files.iter().find(|file| file.name == name);
        file.map_or("", |file| &*file.text)
    }
}
