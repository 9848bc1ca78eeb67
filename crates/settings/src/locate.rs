//! Values of a text with their field path and position.

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;

/// A value of the text, with its field path.
#[derive(Clone, Debug)]
pub(crate) struct Node<'a> {
    path: String,
    value: &'a Value<'a>,
}

impl<'a> Node<'a> {
    /// Creates the node of the top-level value.
    pub(crate) fn new_root(value: &'a Value<'a>) -> Self {
        Self { path: String::new(), value }
    }

    /// Returns the field path.
    pub(crate) fn path(&self) -> &str {
        &self.path
    }

    /// Returns the last name of the field path.
    pub(crate) fn name(&self) -> &str {
        self.path.rsplit('.').next().unwrap_or_default()
    }

    /// Returns the value.
    pub(crate) fn value(&self) -> &'a Value<'a> {
        self.value
    }

    /// Returns the byte offset at which the value starts.
    pub(crate) fn offset(&self) -> usize {
        self.value.start()
    }

    /// Returns the value as an object.
    pub(crate) fn as_object(&self) -> Option<&'a Object<'a>> {
        self.value.as_object()
    }

    /// Returns the value as a string.
    pub(crate) fn as_text(&self) -> Option<&'a str> {
        self.value.as_string_lit().map(|literal| literal.value.as_ref())
    }

    /// Returns the value as an unsigned integer.
    pub(crate) fn as_integer(&self) -> Option<u64> {
        let literal = self.value.as_number_lit()?;
        serde_json::from_str(literal.value).ok()
    }

    /// Returns the value as a boolean.
    pub(crate) fn as_bool(&self) -> Option<bool> {
        self.value.as_boolean_lit().map(|literal| literal.value)
    }

    /// Returns the value of a property of this object.
    pub(crate) fn property(&self, property: &'a ObjectProp<'a>) -> Self {
        Self { path: join(&self.path, property.name.as_str()), value: &property.value }
    }

    /// Returns the value of the field with the given name.
    pub(crate) fn field(&self, name: &str) -> Option<Self> {
        self.as_object()?.get(name).map(|property| self.property(property))
    }

    /// Returns the elements of the list in a field; empty if there is no such list.
    pub(crate) fn elements_of(&self, name: &str) -> Vec<Self> {
        self.field(name).map(|list| list.elements()).unwrap_or_default()
    }

    /// Returns the elements of this list; empty if the value is not a list.
    pub(crate) fn elements(&self) -> Vec<Self> {
        let Some(list) = self.value.as_array() else {
            return Vec::new();
        };
        let indexed = list.elements.iter().enumerate();
        indexed
            .map(|(index, value)| Self { path: format!("{}[{index}]", self.path), value })
            .collect()
    }
}

/// Joins a path and a field name. A name with characters other than ASCII letters, digits and `_`
/// is quoted in brackets.
pub(crate) fn join(path: &str, name: &str) -> String {
    let is_plain = name.chars().all(|c| c.is_ascii_alphanumeric() || c == '_');
    match (is_plain, path) {
        (false, _) => format!("{path}[{name:?}]"),
        (true, "") => name.to_owned(),
        (true, _) => format!("{path}.{name}"),
    }
}
