//! Detection of duplicate values.

use crate::findings::Findings;
use crate::locate::Node;
use std::collections::HashMap;

/// Records the values of one kind, with the offset of each, to report duplicates.
#[derive(Debug)]
pub(crate) struct UniqueValues {
    kind: &'static str,
    offsets: HashMap<String, usize>,
}

impl UniqueValues {
    /// Creates an empty set; `kind` names the values in messages.
    pub(crate) fn new(kind: &'static str) -> Self {
        Self { kind, offsets: HashMap::new() }
    }

    /// Records a value, and reports it if it is a duplicate.
    pub(crate) fn check(&mut self, node: &Node<'_>, value: &str, findings: &mut Findings) {
        let Some(first) = self.offsets.get(value) else {
            self.offsets.insert(value.to_owned(), node.offset());
            return;
        };
        let line = findings.line_of(*first);
        let message = format!("the {} `{value}` is given twice", self.kind);
        findings.add(node, message, Some(format!("the first is on line {line}")));
    }
}
