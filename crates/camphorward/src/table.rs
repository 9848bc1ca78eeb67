//! Tables for people: columns padded to their widest cell.

use std::fmt;

/// The spaces between two columns.
const GAP: &str = "  ";

/// Holds the rows of a table, heads first.
#[derive(Clone, Debug)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with the heads of its columns.
    pub(crate) fn new(heads: &[&str]) -> Self {
        Self { rows: vec![heads.iter().map(|head| (*head).to_owned()).collect()] }
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
            let line = cells.collect::<Vec<String>>().join(GAP);
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
