//! Walks a text's tree along its shape and finds every value that does not fit.

use super::names::{self, KnownNames};
use super::scalar;
use super::{Field, Need, Shape, Tagged};
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
        return report_kind(node, "an object", findings);
    }
    let word = node.field(tagged.tag);
    let variant = word
        .as_ref()
        .and_then(Node::as_text)
        .and_then(|word| tagged.variants.iter().find(|variant| variant.word == word));
    if let Some(variant) = variant {
        let tables = [tagged.common, variant.fields];
        return check_fields(node, &tables, Some(tagged), findings);
    }
    report_tag(node, word, tagged, findings);
    // Without a kind, a field of any kind may be right; only unknown names are certain faults.
    let mut tables: SmallVec<[&[Field]; 4]> = smallvec![tagged.common];
    tables.extend(tagged.variants.iter().map(|variant| variant.fields));
    report_unknown(node, &tables, Some(tagged), findings);
}

fn report_tag(node: &Node<'_>, word: Option<Node<'_>>, tagged: &Tagged, findings: &mut Findings) {
    let words: Vec<&str> = tagged.variants.iter().map(|variant| variant.word).collect();
    let Some(word) = word else {
        let hint = format!("one of: {}", words.join(", "));
        let field = join(node.path(), tagged.tag);
        return findings.add_at(node.offset(), field, "is missing".to_owned(), Some(hint));
    };
    match word.as_text() {
        None => report_kind(&word, "a word in quotes", findings),
        Some(text) => {
            let hint = hint::for_unknown_word(text, &words);
            findings.add(&word, format!("there is no {} `{text}`", tagged.tag), hint);
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
        return report_kind(node, "an object", findings);
    };
    report_unknown(node, tables, tagged, findings);
    for field in tables.iter().copied().flatten() {
        match object.get(field.name) {
            Some(property) => check_field(&node.property(property), field, findings),
            None if field.need == Need::Required => report_missing(node, field, findings),
            None => {}
        }
    }
}

fn check_field(node: &Node<'_>, field: &Field, findings: &mut Findings) {
    let is_null = matches!(node.value(), Value::NullKeyword(_));
    if is_null && field.need == Need::Nullable {
        return;
    }
    check(node, &field.shape, findings);
}

fn report_missing(node: &Node<'_>, field: &Field, findings: &mut Findings) {
    let hint = hint::unit_of(field.name).map(|unit| format!("a number of {unit}"));
    findings.add_at(node.offset(), join(node.path(), field.name), "is missing".to_owned(), hint);
}

fn report_unknown(
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
    names::report_repeated(node, object, findings);
}

fn check_list(node: &Node<'_>, element: &Shape, findings: &mut Findings) {
    if node.value().as_array().is_none() {
        return report_kind(node, "a list", findings);
    }
    for child in node.elements() {
        check(&child, element, findings);
    }
}

fn check_address_map(node: &Node<'_>, findings: &mut Findings) {
    let Some(object) = node.as_object() else {
        return report_kind(node, "an object that maps addresses to addresses", findings);
    };
    names::report_repeated(node, object, findings);
    for property in &object.properties {
        if let Err(fault) = scalar::check_target(property.name.as_str()) {
            names::report(node, property, &fault.message, fault.hint, findings);
        }
        scalar::check(&node.property(property), &super::Scalar::TargetAddress, findings);
    }
}

/// Reports a value of the wrong kind.
pub(super) fn report_kind(node: &Node<'_>, expected: &str, findings: &mut Findings) {
    let found = match node.value() {
        Value::StringLit(_) => "a string",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "a flag",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    };
    findings.add(node, format!("must be {expected}, not {found}"), None);
}
