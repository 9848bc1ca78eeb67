//! Collects the problems of one text and puts them in its order.

use crate::locate::Node;
use crate::problem::{Problem, Report};

/// The most problems that a report lists.
const MAX_LISTED: usize = 100;

/// Collects problems with the place of each.
#[derive(Debug)]
pub(crate) struct Findings {
    line_starts: Vec<usize>,
    found: Vec<(usize, Problem)>,
}

impl Findings {
    /// Creates an empty collection for a text.
    pub(crate) fn new(text: &str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self { line_starts: std::iter::once(0).chain(after_breaks).collect(), found: Vec::new() }
    }

    /// Adds a problem with a value.
    pub(crate) fn add(&mut self, node: &Node<'_>, message: String, hint: Option<String>) {
        self.add_at(node.offset(), node.path().to_owned(), message, hint);
    }

    /// Adds a problem at a byte offset.
    pub(crate) fn add_at(
        &mut self,
        offset: usize,
        field: String,
        message: String,
        hint: Option<String>,
    ) {
        let line = Some(self.line_of(offset));
        self.found.push((offset, Problem { field, line, message, hint }));
    }

    /// Returns the line, counted from one, of a byte offset.
    pub(crate) fn line_of(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }

    /// Returns the report, if there is any problem.
    pub(crate) fn into_report(mut self) -> Option<Report> {
        self.found.sort_by_key(|(offset, _)| *offset);
        let more = self.found.len().saturating_sub(MAX_LISTED);
        let listed = self.found.into_iter().take(MAX_LISTED).map(|(_, problem)| problem);
        let mut problems: Vec<Problem> = listed.collect();
        if let Some(last) = problems.last().filter(|_| more > 0) {
            let message = format!("{more} further problems are not listed");
            problems.push(Problem { field: String::new(), line: last.line, message, hint: None });
        }
        (!problems.is_empty()).then_some(Report { problems })
    }
}
