//! CSV as spreadsheets and tools write it: comma, semicolon or tab, quoted fields, comments, columns in any order.

use crate::host::{Field, Raw};
use crate::problem::{At, Found, Scalar, Texts};
use std::collections::BTreeMap;

/// Reads the hosts of a text; headings that mean nothing here are told in `notes`.
pub fn read(texts: &Texts, file: u32, found: &mut Found, notes: &mut Vec<String>) -> Vec<Raw> {
    let whole = texts.text(file);
    let text = whole.strip_prefix('\u{feff}').unwrap_or(whole);
    let at = |line: u32, column: u32| At { file, line, column };
    let Some(heading) = text
        .lines()
        .find(|l| !l.trim().is_empty() && !l.starts_with('#'))
    else {
        return Vec::new();
    };
    let delimiter = delimiter(heading);
    if let Some(open) = streamusher_csv_quotes::find_unterminated_quote(text.as_bytes(), delimiter, Some(b'#')) {
        // All rows behind it would be taken for one field.
        found.add(
            texts,
            at(open.line, open.column),
            None,
            None,
            "a quote without its end",
        );
        return Vec::new();
    }
    let mut rows = csv::ReaderBuilder::new()
        .delimiter(delimiter)
        .comment(Some(b'#'))
        .flexible(true)
        .has_headers(false)
        .trim(csv::Trim::All)
        .from_reader(text.as_bytes());
    let mut columns: Option<Vec<Option<(Field, usize)>>> = None;
    let mut raws = Vec::new();
    let mut record = csv::StringRecord::new();
    loop {
        match rows.read_record(&mut record) {
            Ok(true) => {}
            Ok(false) => break,
            Err(e) => {
                let line = e.position().map_or(1, |p| p.line() as u32);
                found.add(texts, at(line, 1), None, None, "not text");
                break;
            }
        }
        let position = record
            .position()
            .expect("a record that was read has one")
            .clone();
        if record.iter().all(str::is_empty) {
            continue; // spreadsheets leave rows of bare delimiters
        }
        let places = places(
            &text[position.byte() as usize..],
            delimiter,
            position.line() as u32,
            record.len(),
        );
        let place = |n: usize| {
            places
                .get(n)
                .map_or(at(position.line() as u32, 1), |&(l, c)| at(l, c))
        };
        let Some(columns) = &columns else {
            columns = Some(headings(&record, texts, &place, found, notes));
            continue;
        };
        if record.len() > columns.len() && record.iter().skip(columns.len()).any(|f| !f.is_empty())
        {
            let why = format!(
                "{} fields, and the heading has {}",
                record.len(),
                columns.len()
            );
            found.add(texts, place(columns.len()), None, None, why);
            continue;
        }
        let mut fields: BTreeMap<Field, (usize, Scalar)> = BTreeMap::new();
        for (n, text) in record
            .iter()
            .enumerate()
            .filter(|(_, text)| !text.is_empty())
        {
            let Some(Some((field, rank))) = columns.get(n) else {
                continue;
            };
            let scalar = Scalar {
                text: text.to_string(),
                at: place(n),
            };
            match fields.get(field) {
                Some((earlier, _)) if earlier < rank => {}
                _ => drop(fields.insert(*field, (*rank, scalar))),
            }
        }
        let mut fields: BTreeMap<Field, Scalar> =
            fields.into_iter().map(|(f, (_, s))| (f, s)).collect();
        match fields.remove(&Field::Name) {
            Some(name) => raws.push(Raw { name, fields }),
            None => found.add(texts, place(0), None, Some("name"), "a row without a name"),
        }
    }
    raws
}

fn headings(
    record: &csv::StringRecord,
    texts: &Texts,
    place: &impl Fn(usize) -> At,
    found: &mut Found,
    notes: &mut Vec<String>,
) -> Vec<Option<(Field, usize)>> {
    let columns: Vec<Option<(Field, usize)>> = record.iter().map(Field::of).collect();
    for (n, heading) in record.iter().enumerate() {
        match columns[n] {
            None if !heading.is_empty() => {
                notes.push(format!("column {heading:?} means nothing here"))
            }
            Some(same) if columns[..n].contains(&Some(same)) => {
                found.add(
                    texts,
                    place(n),
                    None,
                    Some(same.0.word()),
                    "a heading that stands twice",
                );
            }
            _ => {}
        }
    }
    if !columns
        .iter()
        .flatten()
        .any(|(field, _)| *field == Field::Name)
    {
        found.add(
            texts,
            place(0),
            None,
            Some("name"),
            "no such column in the heading",
        );
    }
    columns
}

/// The one of comma, semicolon and tab that stands most often outside quotes.
fn delimiter(heading: &str) -> u8 {
    let count = |delimiter: u8| {
        let mut quoted = false;
        let outside = |b: u8| {
            quoted ^= b == b'"';
            !quoted && b == delimiter
        };
        heading.bytes().map(outside).filter(|hit| *hit).count()
    };
    let mut best = b',';
    for other in [b';', b'\t'] {
        if count(other) > count(best) {
            best = other;
        }
    }
    best
}

/// Where the fields of a record begin, by line and column, as quoted fields may hold line breaks.
fn places(record: &str, delimiter: u8, line: u32, fields: usize) -> Vec<(u32, u32)> {
    let (mut line, mut column, mut quoted) = (line, 1, false);
    let mut places = Vec::with_capacity(fields);
    let mut begins = true;
    // Comments and blank lines in front of the record belong to no field.
    let mut skip = record.starts_with(['#', '\n', '\r']);
    for c in record.chars() {
        if skip {
            match c {
                '\n' => {
                    line += 1;
                    column = 1;
                    skip = false;
                }
                _ => column += 1,
            }
            continue;
        }
        if places.is_empty() && begins && matches!(c, '#' | '\n' | '\r') {
            skip = c != '\n';
            line += u32::from(c == '\n');
            continue;
        }
        if begins && (!c.is_whitespace() || c == delimiter as char) {
            places.push((line, column));
            begins = false;
        }
        if places.len() >= fields && !begins && c == delimiter as char && !quoted {
            break;
        }
        match c {
            '"' => quoted = !quoted,
            '\n' if !quoted => break,
            _ if !quoted && c == delimiter as char => begins = true,
            _ => {}
        }
        match c {
            '\n' => (line, column) = (line + 1, 1),
            _ => column += 1,
        }
    }
    places
}
