//! Checks a syntax tree against a shape and reports every mismatch.

use super::names::{self, KnownNames};
use super::scalar;
use super::{Field, Presence, Shape, Tagged};
use crate::findings::Findings;
use crate::hint;
use crate::locate::{Node, join};
use jsonc_parser::ast::Value;
use smallvec::{SmallVec, smallvec};

/// Checks a value against a shape.
pub(crate) fn check(node: &Node<'_>, shape: &Shape, findings: &mut Findings) {
    match shape {
        Shape::Object(fields) => check_object(node, fields, findings),
        Shape::Tagged(tagged) => check_tagged(node, tagged, findings),
        Shape::List(element) => check_list(node, element, findings),
        Shape::AddressMap => check_address_map(node, findings),
        Shape::Scalar(expected) => scalar::check(node, expected, findings),
    }
}

fn check_object(node: &Node<'_>, fields: &[Field], findings: &mut Findings) {
    let tables = [fields];
    check_fields(node, &tables, None, findings);
}

fn check_tagged(node: &Node<'_>, tagged: &Tagged, findings: &mut Findings) {
    if node.as_object().is_none() {
        return report_type(node, "an object", findings);
    }
    let tag = node.field(tagged.tag);
    let variant = tag
        .as_ref()
        .and_then(Node::as_text)
        .and_then(|text| tagged.variants.iter().find(|variant| variant.tag_value == text));
    if let Some(variant) = variant {
        let tables = [tagged.common, variant.fields];
        return check_fields(node, &tables, Some(tagged), findings);
    }
    report_tag(node, tag, tagged, findings);
    // Without a valid tag, the fields of any kind are accepted; only names unknown to all kinds are
    // reported.
    let mut tables: SmallVec<[&[Field]; 4]> = smallvec![tagged.common];
    tables.extend(tagged.variants.iter().map(|variant| variant.fields));
    report_unknown_fields(node, &tables, Some(tagged), findings);
}

fn report_tag(node: &Node<'_>, tag: Option<Node<'_>>, tagged: &Tagged, findings: &mut Findings) {
    let tag_values: Vec<&str> = tagged.variants.iter().map(|variant| variant.tag_value).collect();
    let Some(tag) = tag else {
        let hint = format!("one of: {}", tag_values.join(", "));
        let field = join(node.path(), tagged.tag);
        return findings.add_at(node.offset(), field, "is missing".to_owned(), Some(hint));
    };
    match tag.as_text() {
        None => report_type(&tag, "a word in quotes", findings),
        Some(text) => {
            let hint = hint::for_unknown_word(text, &tag_values);
            findings.add(&tag, format!("there is no {} `{text}`", tagged.tag), hint);
        }
    }
}

fn check_fields(
    node: &Node<'_>,
    tables: &[&[Field]],
    tagged: Option<&Tagged>,
    findings: &mut Findings,
) {
    let Some(object) = node.as_object() else {
        return report_type(node, "an object", findings);
    };
    report_unknown_fields(node, tables, tagged, findings);
    for field in tables.iter().copied().flatten() {
        match object.get(field.name) {
            Some(property) => check_field(&node.property(property), field, findings),
            None if field.presence == Presence::Required => report_missing(node, field, findings),
            None => {}
        }
    }
}

fn check_field(node: &Node<'_>, field: &Field, findings: &mut Findings) {
    let is_null = matches!(node.value(), Value::NullKeyword(_));
    if is_null && field.presence == Presence::Nullable {
        return;
    }
    check(node, &field.shape, findings);
}

fn report_missing(node: &Node<'_>, field: &Field, findings: &mut Findings) {
    let hint = hint::unit_of(field.name).map(|unit| format!("a number of {unit}"));
    findings.add_at(node.offset(), join(node.path(), field.name), "is missing".to_owned(), hint);
}

fn report_unknown_fields(
    node: &Node<'_>,
    tables: &[&[Field]],
    tagged: Option<&Tagged>,
    findings: &mut Findings,
) {
    let Some(object) = node.as_object() else {
        return;
    };
    let known = KnownNames::new(object, tables, tagged);
    for property in &object.properties {
        let name = property.name.as_str();
        if !known.contains(name) {
            names::report(node, property, "is not a known field", known.hint(name), findings);
        }
    }
    names::report_duplicates(node, object, findings);
}

fn check_list(node: &Node<'_>, element: &Shape, findings: &mut Findings) {
    if node.value().as_array().is_none() {
        return report_type(node, "a list", findings);
    }
    for child in node.elements() {
        check(&child, element, findings);
    }
}

fn check_address_map(node: &Node<'_>, findings: &mut Findings) {
    let Some(object) = node.as_object() else {
        return report_type(node, "an object that maps addresses to addresses", findings);
    };
    names::report_duplicates(node, object, findings);
    for property in &object.properties {
        if let Err(error) = scalar::check_target(property.name.as_str()) {
            names::report(node, property, &error.message, error.hint, findings);
        }
        scalar::check(&node.property(property), &super::Scalar::TargetAddress, findings);
    }
}

/// Reports a value of the wrong type.
pub(super) fn report_type(node: &Node<'_>, expected: &str, findings: &mut Findings) {
    let found = match node.value() {
        Value::StringLit(_) => "a string",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "a boolean",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    };
    findings.add(node, format!("must be {expected}, not {found}"), None);
}
