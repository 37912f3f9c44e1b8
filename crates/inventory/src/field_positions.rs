//! Computes the positions at which the fields of a CSV record start, since the `csv` crate reports only that
//! of the record.

use crate::source_text::{SourcePosition, SourceText};

/// Positions of a record and of its fields.
pub(crate) struct FieldPositions {
    record: SourcePosition,
    fields: Vec<SourcePosition>,
}

impl FieldPositions {
    /// Scans `text`, which starts at the record, for the positions of `field_count` fields.
    pub(crate) fn scan(
        source: SourceText<'_>,
        text: &str,
        line: u32,
        delimiter: u8,
        field_count: usize,
    ) -> FieldPositions {
        let mut scanner = Scanner {
            source,
            delimiter: char::from(delimiter),
            line,
            column: 1,
            at_field_start: true,
            is_quoted: false,
            // Comments and blank lines before the record belong to no field.
            is_skipping: text.starts_with(['#', '\n', '\r']),
            field_count,
            fields: Vec::with_capacity(field_count),
        };
        for character in text.chars() {
            if scanner.feed(character) == Progress::Done {
                break;
            }
        }
        FieldPositions {
            record: source.position(line, 1),
            fields: scanner.fields,
        }
    }

    /// Returns the position of a field, or that of the record if the record has no such field.
    pub(crate) fn field(&self, index: usize) -> SourcePosition {
        self.fields.get(index).copied().unwrap_or(self.record)
    }
}

#[derive(PartialEq, Eq)]
enum Progress {
    Continue,
    Done,
}

/// Scanner over the characters of a record. Quoted fields may contain line breaks.
struct Scanner<'a> {
    source: SourceText<'a>,
    delimiter: char,
    line: u32,
    column: u32,
    at_field_start: bool,
    is_quoted: bool,
    /// Whether the scanner is in a comment or blank line before the record.
    is_skipping: bool,
    field_count: usize,
    fields: Vec<SourcePosition>,
}

impl Scanner<'_> {
    fn feed(&mut self, character: char) -> Progress {
        if self.is_skipping {
            self.skip(character);
            return Progress::Continue;
        }
        if self.fields.is_empty() && self.at_field_start && matches!(character, '#' | '\n' | '\r') {
            self.is_skipping = character != '\n';
            self.line += u32::from(character == '\n');
            return Progress::Continue;
        }
        self.feed_record(character)
    }

    fn skip(&mut self, character: char) {
        if character == '\n' {
            self.is_skipping = false;
        }
        self.advance(character);
    }

    fn feed_record(&mut self, character: char) -> Progress {
        let is_delimiter = character == self.delimiter;
        if self.at_field_start && (!character.is_whitespace() || is_delimiter) {
            let position = self.source.position(self.line, self.column);
            self.fields.push(position);
            self.at_field_start = false;
        }
        let has_all_fields = self.fields.len() >= self.field_count && !self.at_field_start;
        if has_all_fields && is_delimiter && !self.is_quoted {
            return Progress::Done;
        }
        match character {
            '"' => self.is_quoted = !self.is_quoted,
            '\n' if !self.is_quoted => return Progress::Done,
            _ if !self.is_quoted && is_delimiter => self.at_field_start = true,
            _ => {}
        }
        self.advance(character);
        Progress::Continue
    }

    fn advance(&mut self, character: char) {
        if character == '\n' {
            self.line += 1;
            self.column = 1;
        } else {
            self.column += 1;
        }
    }
}
