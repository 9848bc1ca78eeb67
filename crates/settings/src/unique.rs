//! Finds values that must differ and do not.

use crate::findings::Findings;
use crate::locate::Node;
use std::collections::HashMap;

/// Remembers which values were seen and where.
#[derive(Debug)]
pub(crate) struct Unique {
    what: &'static str,
    seen: HashMap<String, usize>,
}

impl Unique {
    /// Creates an empty memory of values of one sort.
    pub(crate) fn new(what: &'static str) -> Self {
        Self { what, seen: HashMap::new() }
    }

    /// Reports a value that was seen before.
    pub(crate) fn check(&mut self, node: &Node<'_>, value: &str, findings: &mut Findings) {
        let Some(first) = self.seen.get(value) else {
            self.seen.insert(value.to_owned(), node.offset());
            return;
        };
        let line = findings.line_of(*first);
        let message = format!("the {} `{value}` is given twice", self.what);
        findings.add(node, message, Some(format!("the first is on line {line}")));
    }
}
