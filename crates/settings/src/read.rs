//! Reads a text into a checked value, or into the report of all its problems.

use crate::findings::Findings;
use crate::locate::Node;
use crate::problem::Report;
use crate::shape::{self, Shape};
use crate::source;
use serde::de::DeserializeOwned;

/// Checks one property of a text that its shape cannot express.
pub(crate) type Check = fn(&Node<'_>, &mut Findings);

/// Reads a text that must fit a shape and pass further checks.
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
    serde_json::from_value(value).map_err(|error| Report::new_whole(None, error.to_string(), None))
}
