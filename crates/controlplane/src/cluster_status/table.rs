//! Text tables: a head, and columns as wide as their widest cell.

/// A table of texts.
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with these heads of columns.
    pub fn new(heads: &[&str]) -> Table {
        Table {
            rows: vec![heads.iter().map(|head| (*head).to_owned()).collect()],
        }
    }

    /// Adds a row; empty cells are shown as `-`.
    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        let shown = |cell: String| {
            if cell.is_empty() {
                "-".to_owned()
            } else {
                cell
            }
        };
        self.rows.push(cells.into_iter().map(shown).collect());
    }

    /// The table as lines; one without rows says so.
    pub fn render(&self) -> String {
        if let [heads] = self.rows.as_slice() {
            return format!("{}: none\n", heads.first().map_or("", String::as_str));
        }
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns).map(|column| self.width(column)).collect();
        self.rows.iter().map(|row| line(row, &widths)).collect()
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> = row
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}", width = *width))
        .collect();
    format!("{}\n", cells.join("  ").trim_end())
}
