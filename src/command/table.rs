//! Tables for people: plain lines, with what would break them escaped.

use comfy_table::{presets, CellAlignment, ContentArrangement, Table};

/// A table with these headings; numbers go to the right.
pub(super) fn table(headings: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> String {
    let mut table = Table::new();
    table
        .load_style(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled);
    table.set_header(headings);
    let mut numbers = vec![true; headings.len()];
    for row in rows {
        let row: Vec<String> = row.iter().map(|c| plain(c)).collect();
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

/// Text without control characters: an export may come from anywhere.
pub(super) fn plain(text: &str) -> String {
    let escape = |c: char| match c.is_control() {
        true => c.escape_default().to_string(),
        false => c.to_string(),
    };
    text.chars().map(escape).collect()
}
