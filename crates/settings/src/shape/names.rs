//! Checks of the names of an object's fields.

use super::{Field, Tagged};
use crate::findings::Findings;
use crate::hint;
use crate::locate::{Node, join};
use jsonc_parser::ast::{Object, ObjectProp, ObjectPropName};
use jsonc_parser::common::Ranged;
use std::collections::HashMap;

/// Knows the names that an object may have.
pub(super) struct KnownNames<'a> {
    /// The names that are there.
    given: Vec<&'a str>,
    /// The names that are not there.
    free: Vec<&'a str>,
    tagged: Option<&'a Tagged>,
}

impl<'a> KnownNames<'a> {
    /// Sorts the names of some tables by whether an object has them.
    pub(super) fn new(
        object: &Object<'_>,
        tables: &[&'a [Field]],
        tagged: Option<&'a Tagged>,
    ) -> Self {
        let fields = tables.iter().copied().flatten().map(|field| field.name);
        let names = tagged.map(|tagged| tagged.tag).into_iter().chain(fields);
        let (given, free) = names.partition(|name| object.get(name).is_some());
        Self { given, free, tagged }
    }

    /// Returns whether a name is known.
    pub(super) fn contains(&self, name: &str) -> bool {
        self.given.contains(&name)
    }

    /// Returns advice on an unknown name; a name that is there already is not proposed again.
    pub(super) fn hint(&self, name: &str) -> Option<String> {
        if let Some(hint) = self.tagged.and_then(|tagged| hint_of_other_kind(name, tagged)) {
            return Some(hint);
        }
        let near = hint::nearest(name, &self.given);
        if let Some(near) = near.filter(|_| hint::nearest(name, &self.free).is_none()) {
            return Some(format!("`{near}` is there already; remove this one"));
        }
        hint::for_unknown_field(name, &self.free)
    }
}

fn hint_of_other_kind(name: &str, tagged: &Tagged) -> Option<String> {
    let has_name = |field: &Field| field.name == name;
    let variant = tagged.variants.iter().find(|variant| variant.fields.iter().any(has_name))?;
    Some(format!("only {} `{}` has this field", tagged.tag, variant.word))
}

/// Reports every name that an object has twice.
pub(super) fn report_repeated(node: &Node<'_>, object: &Object<'_>, findings: &mut Findings) {
    let mut first: HashMap<&str, usize> = HashMap::new();
    for property in &object.properties {
        let name = property.name.as_str();
        let Some(offset) = first.get(name) else {
            first.insert(name, property.start());
            continue;
        };
        let hint = Some(format!("the first is on line {}", findings.line_of(*offset)));
        report(node, property, "is given twice", hint, findings);
    }
}

/// Reports a problem with the name of a property.
pub(super) fn report(
    node: &Node<'_>,
    property: &ObjectProp<'_>,
    message: &str,
    hint: Option<String>,
    findings: &mut Findings,
) {
    let offset = match &property.name {
        ObjectPropName::String(literal) => literal.start(),
        ObjectPropName::Word(literal) => literal.start(),
    };
    let field = join(node.path(), property.name.as_str());
    findings.add_at(offset, field, message.to_owned(), hint);
}
