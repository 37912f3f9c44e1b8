//! Reads CSV as written by spreadsheets and other tools: delimited by comma, semicolon or tab, with quoted
//! fields, comments, and columns in any order.

use crate::diagnostics::{Finding, Findings};
use crate::field::{FieldAlias, HostField};
use crate::field_positions::FieldPositions;
use crate::host::RawHost;
use crate::source_text::{Scalar, SourceText};
use csv::{ReaderBuilder, StringRecord, Trim};
use std::collections::BTreeMap;
use streamusher_csv_quotes::find_unterminated_quote;

/// First byte of a comment row.
const COMMENT: u8 = b'#';

/// Reads the hosts of a CSV file. Adds a message to `notes` for each column that names no host field.
pub(crate) fn read_csv(
    source: SourceText<'_>,
    findings: &mut Findings,
    notes: &mut Vec<String>,
) -> Vec<RawHost> {
    let text = source.without_byte_order_mark();
    let heading = text
        .lines()
        .find(|line| !line.trim().is_empty() && !line.starts_with(char::from(COMMENT)));
    let Some(heading) = heading else {
        return Vec::new();
    };
    let delimiter = detect_delimiter(heading);
    // The parser would read the rest of the file as one field.
    if let Some(opened_at) = find_unterminated_quote(text.as_bytes(), delimiter, Some(COMMENT)) {
        let position = source.position(opened_at.line, opened_at.column);
        findings.add(Finding::new(position, "a quote without its end"));
        return Vec::new();
    }
    let mut reader = CsvReader {
        source,
        delimiter,
        findings,
        notes,
        columns: None,
        hosts: Vec::new(),
    };
    reader.read_records(text);
    reader.hosts
}

/// Returns the one of comma, semicolon and tab that occurs most often outside quotes. Ties are resolved in
/// this order.
fn detect_delimiter(heading: &str) -> u8 {
    let mut best = b',';
    for candidate in [b';', b'\t'] {
        if count_unquoted(heading, candidate) > count_unquoted(heading, best) {
            best = candidate;
        }
    }
    best
}

fn count_unquoted(heading: &str, delimiter: u8) -> usize {
    let mut is_quoted = false;
    let mut count = 0;
    for byte in heading.bytes() {
        if byte == b'"' {
            is_quoted = !is_quoted;
        }
        if byte == delimiter && !is_quoted {
            count += 1;
        }
    }
    count
}

/// Value of a field, with the rank of the column name. The lowest rank takes precedence.
struct RankedValue {
    rank: usize,
    value: Scalar,
}

struct CsvReader<'a> {
    source: SourceText<'a>,
    delimiter: u8,
    findings: &'a mut Findings,
    notes: &'a mut Vec<String>,
    /// Field of each column, or `None` for a column that names no field. Unset until the heading is read.
    columns: Option<Vec<Option<FieldAlias>>>,
    hosts: Vec<RawHost>,
}

impl CsvReader<'_> {
    fn read_records(&mut self, text: &str) {
        let mut records = ReaderBuilder::new()
            .delimiter(self.delimiter)
            .comment(Some(COMMENT))
            .flexible(true)
            .has_headers(false)
            .trim(Trim::All)
            .from_reader(text.as_bytes());
        let mut record = StringRecord::new();
        loop {
            match records.read_record(&mut record) {
                Ok(true) => self.read_record(text, &record),
                Ok(false) => return,
                Err(error) => {
                    let line = error.position().map_or(1, csv::Position::line);
                    let position = self.source.position(line_number(line), 1);
                    self.findings.add(Finding::new(position, "not text"));
                    return;
                }
            }
        }
    }

    fn read_record(&mut self, text: &str, record: &StringRecord) {
        // Spreadsheets may write rows that contain only delimiters.
        if record.iter().all(str::is_empty) {
            return;
        }
        let Some(position) = record.position() else {
            return;
        };
        let start = usize::try_from(position.byte()).unwrap_or(usize::MAX);
        let positions = FieldPositions::scan(
            self.source,
            text.get(start..).unwrap_or(""),
            line_number(position.line()),
            self.delimiter,
            record.len(),
        );
        match self.columns.take() {
            None => self.columns = Some(self.read_heading(record, &positions)),
            Some(columns) => {
                self.read_row(&columns, record, &positions);
                self.columns = Some(columns);
            }
        }
    }

    fn read_heading(
        &mut self,
        record: &StringRecord,
        positions: &FieldPositions,
    ) -> Vec<Option<FieldAlias>> {
        let columns: Vec<Option<FieldAlias>> = record.iter().map(FieldAlias::parse).collect();
        for (index, heading) in record.iter().enumerate() {
            match columns[index] {
                None if !heading.is_empty() => {
                    let note = format!("column {heading:?} means nothing here");
                    self.notes.push(note);
                }
                Some(alias) if columns[..index].contains(&Some(alias)) => {
                    let message = "a heading that stands twice";
                    let finding = Finding::new(positions.field(index), message);
                    self.findings.add(finding.key(alias.field.name()));
                }
                _ => {}
            }
        }
        let has_name = columns
            .iter()
            .flatten()
            .any(|alias| alias.field == HostField::Name);
        if !has_name {
            let finding = Finding::new(positions.field(0), "no such column in the heading");
            self.findings.add(finding.key(HostField::Name.name()));
        }
        columns
    }

    fn read_row(
        &mut self,
        columns: &[Option<FieldAlias>],
        record: &StringRecord,
        positions: &FieldPositions,
    ) {
        let has_extra_fields = record
            .iter()
            .skip(columns.len())
            .any(|text| !text.is_empty());
        if has_extra_fields {
            let message = format!(
                "{} fields, and the heading has {}",
                record.len(),
                columns.len()
            );
            let position = positions.field(columns.len());
            self.findings.add(Finding::new(position, message));
            return;
        }
        let mut fields = row_fields(columns, record, positions);
        if let Some(name) = fields.remove(&HostField::Name) {
            self.hosts.push(RawHost { name, fields });
            return;
        }
        let finding = Finding::new(positions.field(0), "a row without a name");
        self.findings.add(finding.key(HostField::Name.name()));
    }
}

/// Returns the non-empty fields of a row. If several columns name the same field, the name with the lowest
/// rank takes precedence.
fn row_fields(
    columns: &[Option<FieldAlias>],
    record: &StringRecord,
    positions: &FieldPositions,
) -> BTreeMap<HostField, Scalar> {
    let mut ranked: BTreeMap<HostField, RankedValue> = BTreeMap::new();
    for (index, (text, column)) in record.iter().zip(columns).enumerate() {
        let Some(FieldAlias { field, rank }) = *column else {
            continue;
        };
        let is_outranked = ranked
            .get(&field)
            .is_some_and(|earlier| earlier.rank < rank);
        if text.is_empty() || is_outranked {
            continue;
        }
        let value = Scalar {
            text: text.to_owned(),
            position: positions.field(index),
        };
        ranked.insert(field, RankedValue { rank, value });
    }
    ranked
        .into_iter()
        .map(|(field, ranked)| (field, ranked.value))
        .collect()
}

/// Converts a line number, limiting it to the range of `u32`. Files are at most [`crate::MAX_FILE_BYTES`]
/// long, so the limit is not reached.
fn line_number(line: u64) -> u32 {
    u32::try_from(line).unwrap_or(u32::MAX)
}
