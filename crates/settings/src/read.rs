//! Parses a text into a validated value, or into a report of all its problems.

use crate::findings::Findings;
use crate::locate::Node;
use crate::problem::Report;
use crate::shape::{self, Shape};
use crate::source;
use serde::de::DeserializeOwned;

/// A check of a property that the shape of a text cannot express.
pub(crate) type Check = fn(&Node<'_>, &mut Findings);

/// Parses a text that must match a shape and pass further checks.
///
/// # Errors
///
/// Returns all problems in the order of the text.
pub(crate) fn read<T: DeserializeOwned>(
    text: &str,
    shape: &Shape,
    checks: &[Check],
) -> Result<T, Report> {
    let tree = source::parse(text)?;
    let root = Node::new_root(&tree);
    let mut findings = Findings::new(text);
    shape::check(&root, shape, &mut findings);
    for check in checks {
        check(&root, &mut findings);
    }
    if let Some(report) = findings.into_report() {
        return Err(report);
    }
    let value = serde_json::Value::from(tree);
    serde_json::from_value(value).map_err(|error| Report::for_text(None, error.to_string(), None))
}
