//! Problems found in a settings file, and how they are reported.

use serde::Serialize;
use std::fmt;

/// Describes one problem.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// The path of the field, such as `services[2].depends_on`; empty for the whole text.
    pub field: String,
    /// The line, counted from one, if known.
    pub line: Option<usize>,
    /// What is wrong.
    pub message: String,
    /// What to do about it, if there is advice.
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

/// Holds all problems of one text; never empty.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub struct Report {
    /// The problems in the order of the text.
    pub problems: Vec<Problem>,
}

impl Report {
    /// Creates a report of one problem that concerns the whole text.
    pub(crate) fn new_whole(line: Option<usize>, message: String, hint: Option<&str>) -> Self {
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
