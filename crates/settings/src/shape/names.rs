//! Checks of the field names of an object.

use super::{Field, Tagged};
use crate::findings::Findings;
use crate::hint;
use crate::locate::{Node, join};
use jsonc_parser::ast::{Object, ObjectProp, ObjectPropName};
use jsonc_parser::common::Ranged;
use std::collections::HashMap;

/// The field names that an object may have.
pub(super) struct KnownNames<'a> {
    /// The names that the object has.
    present: Vec<&'a str>,
    /// The names that the object does not have.
    absent: Vec<&'a str>,
    tagged: Option<&'a Tagged>,
}

impl<'a> KnownNames<'a> {
    /// Partitions the names in `tables` by whether the object has them.
    pub(super) fn new(
        object: &Object<'_>,
        tables: &[&'a [Field]],
        tagged: Option<&'a Tagged>,
    ) -> Self {
        let fields = tables.iter().copied().flatten().map(|field| field.name);
        let names = tagged.map(|tagged| tagged.tag).into_iter().chain(fields);
        let (present, absent) = names.partition(|name| object.get(name).is_some());
        Self { present, absent, tagged }
    }

    /// Returns whether a name is known.
    pub(super) fn contains(&self, name: &str) -> bool {
        self.present.contains(&name)
    }

    /// Returns a hint for an unknown name. Names that the object already has are not suggested.
    pub(super) fn hint(&self, name: &str) -> Option<String> {
        if let Some(hint) = self.tagged.and_then(|tagged| hint_for_other_kind(name, tagged)) {
            return Some(hint);
        }
        let similar = hint::most_similar(name, &self.present);
        if let Some(similar) = similar.filter(|_| hint::most_similar(name, &self.absent).is_none())
        {
            return Some(format!("`{similar}` is already present; remove this field"));
        }
        hint::for_unknown_field(name, &self.absent)
    }
}

fn hint_for_other_kind(name: &str, tagged: &Tagged) -> Option<String> {
    let has_name = |field: &Field| field.name == name;
    let variant = tagged.variants.iter().find(|variant| variant.fields.iter().any(has_name))?;
    Some(format!("only {} `{}` has this field", tagged.tag, variant.tag_value))
}

/// Reports each duplicate field name of an object.
pub(super) fn report_duplicates(node: &Node<'_>, object: &Object<'_>, findings: &mut Findings) {
    let mut first_offsets: HashMap<&str, usize> = HashMap::new();
    for property in &object.properties {
        let name = property.name.as_str();
        let Some(offset) = first_offsets.get(name) else {
            first_offsets.insert(name, property.start());
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
