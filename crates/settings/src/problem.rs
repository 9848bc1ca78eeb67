//! Problems of a settings file, and their report.

use serde::Serialize;
use std::fmt;

/// A problem of a text.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// The path of the field, such as `services[2].depends_on`; empty if the problem concerns the
    /// whole text.
    pub field: String,
    /// The 1-based line number, if known.
    pub line: Option<usize>,
    /// What is wrong.
    pub message: String,
    /// How to fix it, if a hint is available.
    pub hint: Option<String>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.message)?;
        if let Some(hint) = &self.hint {
            write!(f, " (hint: {hint})")?;
        }
        Ok(())
    }
}

/// All problems of a text; never empty.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub struct Report {
    /// The problems in the order of the text.
    pub problems: Vec<Problem>,
}

impl Report {
    /// Creates a report of a single problem that concerns the whole text.
    pub(crate) fn for_text(line: Option<usize>, message: String, hint: Option<&str>) -> Self {
        let hint = hint.map(str::to_owned);
        Self { problems: vec![Problem { field: String::new(), line, message, hint }] }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            problem.fmt(f)?;
        }
        Ok(())
    }
}
