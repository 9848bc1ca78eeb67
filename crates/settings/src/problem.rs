//! Problems found in a settings file, and how they are reported.

use jsonc_parser::ParseOptions;
use serde::de::DeserializeOwned;
use std::fmt;

/// Describes one problem.
#[derive(Clone, Debug, Eq, PartialEq)]
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

/// Reads JSON with comments into a typed value.
pub(crate) fn read_jsonc<T: DeserializeOwned>(text: &str) -> Result<T, Report> {
    let value = jsonc_parser::parse_to_serde_value(text, &ParseOptions::default())
        .map_err(|error| single(Some(error.line_display()), error.kind().to_string()))?
        .ok_or_else(|| single(None, "the text is empty".to_owned()))?;
    serde_json::from_value(value).map_err(|error| single(None, error.to_string()))
}

fn single(line: Option<usize>, message: String) -> Report {
    Report { problems: vec![Problem { field: String::new(), line, message, hint: None }] }
}
