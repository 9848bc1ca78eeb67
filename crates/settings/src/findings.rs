//! Collects the problems of a text and sorts them by position.

use crate::locate::Node;
use crate::problem::{Problem, Report};

/// The maximum number of problems in a report.
const MAX_LISTED: usize = 100;

/// The problems found so far, each with its byte offset.
#[derive(Debug)]
pub(crate) struct Findings {
    line_starts: Vec<usize>,
    problems: Vec<(usize, Problem)>,
}

impl Findings {
    /// Creates an empty collection for a text.
    pub(crate) fn new(text: &str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self { line_starts: std::iter::once(0).chain(after_breaks).collect(), problems: Vec::new() }
    }

    /// Adds a problem at the position of a value.
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
        self.problems.push((offset, Problem { field, line, message, hint }));
    }

    /// Returns the 1-based line number of a byte offset.
    pub(crate) fn line_of(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }

    /// Returns the report, or `None` if there are no problems.
    pub(crate) fn into_report(mut self) -> Option<Report> {
        self.problems.sort_by_key(|(offset, _)| *offset);
        let omitted = self.problems.len().saturating_sub(MAX_LISTED);
        let listed = self.problems.into_iter().take(MAX_LISTED).map(|(_, problem)| problem);
        let mut problems: Vec<Problem> = listed.collect();
        if let Some(last) = problems.last().filter(|_| omitted > 0) {
            let message = format!("{omitted} further problems are not listed");
            problems.push(Problem { field: String::new(), line: last.line, message, hint: None });
        }
        (!problems.is_empty()).then_some(Report { problems })
    }
}
