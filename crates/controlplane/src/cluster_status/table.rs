//! Text tables: a header row, and columns as wide as their widest cell.

/// Shown in place of an empty cell.
const EMPTY_CELL: &str = "-";
const COLUMN_SEPARATOR: &str = "  ";

/// A table of text cells.
#[derive(Clone, Debug)]
pub struct Table {
    header: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    pub fn new(header: &[&str]) -> Table {
        Table {
            header: header.iter().map(|cell| (*cell).to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row; empty cells are shown as `-`.
    pub fn add_row(&mut self, cells: impl IntoIterator<Item = String>) {
        let row = cells.into_iter().map(|cell| {
            if cell.is_empty() {
                EMPTY_CELL.to_owned()
            } else {
                cell
            }
        });
        self.rows.push(row.collect());
    }

    /// Renders the table as lines. A table without rows is rendered as one line that says `none`.
    pub fn render(&self) -> String {
        if self.rows.is_empty() {
            let title = self.header.first().map_or("", String::as_str);
            return format!("{title}: none\n");
        }
        let widths = self.column_widths();
        let mut text = render_row(&self.header, &widths);
        for row in &self.rows {
            text.push_str(&render_row(row, &widths));
        }
        text
    }

    fn column_widths(&self) -> Vec<usize> {
        let mut widths = Vec::new();
        for row in std::iter::once(&self.header).chain(&self.rows) {
            for (column, cell) in row.iter().enumerate() {
                if column == widths.len() {
                    widths.push(0);
                }
                widths[column] = widths[column].max(cell.chars().count());
            }
        }
        widths
    }
}

fn render_row(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> = row
        .iter()
        .zip(widths)
        .map(|(cell, &width)| format!("{cell:<width$}"))
        .collect();
    format!("{}\n", cells.join(COLUMN_SEPARATOR).trim_end())
}
