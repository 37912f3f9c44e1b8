//! Text tables for people, with control characters escaped.

use comfy_table::{presets, CellAlignment, ContentArrangement, Table};

/// Formats a table with these headings; columns that hold only numbers are right-aligned.
pub(super) fn table(headings: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> String {
    let mut table = Table::new();
    table
        .load_style(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled);
    table.set_header(headings);
    let mut numbers = vec![true; headings.len()];
    for row in rows {
        let row: Vec<String> = row.iter().map(|c| escape_control(c)).collect();
        for (number, cell) in numbers.iter_mut().zip(&row) {
            *number &= cell
                .trim_start_matches('-')
                .bytes()
                .all(|b| b.is_ascii_digit() || b == b'.');
        }
        table.add_row(row);
    }
    for (i, number) in numbers.into_iter().enumerate() {
        if let Some(column) = table.column_mut(i).filter(|_| number) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    table.to_string()
}

/// Escapes control characters: an export may come from an untrusted source.
pub(super) fn escape_control(text: &str) -> String {
    let escape = |c: char| match c.is_control() {
        true => c.escape_default().to_string(),
        false => c.to_string(),
    };
    text.chars().map(escape).collect()
}
