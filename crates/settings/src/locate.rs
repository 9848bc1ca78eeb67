//! Values of a text together with their field path and place.

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;

/// Points at one value of the text.
#[derive(Clone, Debug)]
pub(crate) struct Node<'a> {
    path: String,
    value: &'a Value<'a>,
}

impl<'a> Node<'a> {
    /// Points at the whole text.
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

    /// Returns where the value starts, in bytes.
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

    /// Returns the value as a whole number.
    pub(crate) fn as_whole(&self) -> Option<u64> {
        let literal = self.value.as_number_lit()?;
        serde_json::from_str(literal.value).ok()
    }

    /// Returns the value as a flag.
    pub(crate) fn as_flag(&self) -> Option<bool> {
        self.value.as_boolean_lit().map(|literal| literal.value)
    }

    /// Points at a property of this object.
    pub(crate) fn property(&self, property: &'a ObjectProp<'a>) -> Self {
        Self { path: join(&self.path, property.name.as_str()), value: &property.value }
    }

    /// Points at the field with a name.
    pub(crate) fn field(&self, name: &str) -> Option<Self> {
        self.as_object()?.get(name).map(|property| self.property(property))
    }

    /// Points at each element of the list in a field; none if there is no such list.
    pub(crate) fn elements_of(&self, name: &str) -> Vec<Self> {
        self.field(name).map(|list| list.elements()).unwrap_or_default()
    }

    /// Points at each element of this list; none if this is no list.
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

/// Joins a path and the name of a field below it.
pub(crate) fn join(path: &str, name: &str) -> String {
    let is_plain = name.chars().all(|c| c.is_ascii_alphanumeric() || c == '_');
    match (is_plain, path) {
        (false, _) => format!("{path}[{name:?}]"),
        (true, "") => name.to_owned(),
        (true, _) => format!("{path}.{name}"),
    }
}
