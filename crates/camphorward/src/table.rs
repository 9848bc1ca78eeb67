//! Plain-text tables with columns padded to their widest cell.

use std::fmt;

/// The separator between two columns.
const COLUMN_SEPARATOR: &str = "  ";

/// A table; its first row holds the headers.
#[derive(Clone, Debug)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with the headers of its columns.
    pub(crate) fn new(headers: &[&str]) -> Self {
        Self { rows: vec![headers.iter().map(|header| (*header).to_owned()).collect()] }
    }

    /// Adds a row.
    pub(crate) fn push(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or_default()
        };
        (0..columns).map(width).collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
            let line = cells.collect::<Vec<String>>().join(COLUMN_SEPARATOR);
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
