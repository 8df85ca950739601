//! Text tables whose columns are as wide as their widest cell.

/// Number of spaces between columns.
const GAP: usize = 2;

/// A table with a heading. A table without rows is formatted as its heading only.
pub struct Table {
    heading: String,
    /// Rows of cells; the first row has the column names.
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates an empty table with a heading and column names.
    pub fn new(heading: impl Into<String>, columns: &[&str]) -> Self {
        Self { heading: heading.into(), rows: vec![columns.iter().map(ToString::to_string).collect()] }
    }

    /// Adds a row with one cell for each column.
    pub fn row<const COLUMNS: usize>(&mut self, cells: [String; COLUMNS]) {
        self.rows.push(Vec::from(cells));
    }

    /// Formats the table as text that ends with a line feed.
    pub fn text(&self) -> String {
        if self.rows.len() == 1 {
            return format!("{}: none\n", self.heading);
        }
        let widths = self.widths();
        let mut text = format!("{}\n", self.heading);
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
            let line = cells.collect::<Vec<_>>().join(&" ".repeat(GAP));
            text.push_str("  ");
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows[0].len();
        let width = |column: usize| self.rows.iter().map(|row| row[column].chars().count()).max();
        (0..columns).map(|column| width(column).unwrap_or(0)).collect()
    }
}

/// Formats a value, or a dash if there is none.
pub fn or_dash(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

/// Formats a boolean as `yes` or `no`.
pub fn yes_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}
