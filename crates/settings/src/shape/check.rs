//! Walks a text's tree along its shape and finds every value that does not fit.

use super::scalar;
use super::{Field, Need, Shape, Tagged};
use crate::findings::Findings;
use crate::hint;
use crate::locate::{Node, join};
use jsonc_parser::ast::{Object, ObjectProp, ObjectPropName, Value};
use jsonc_parser::common::Ranged;

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
    let mut tables = vec![tagged.common];
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
    let fields = tables.iter().copied().flatten().map(|field| field.name);
    let known: Vec<&str> = tagged.map(|tagged| tagged.tag).into_iter().chain(fields).collect();
    for (index, property) in object.properties.iter().enumerate() {
        let name = property.name.as_str();
        if !known.contains(&name) {
            let of_other_kind = tagged.and_then(|tagged| hint_of_other_kind(name, tagged));
            let hint = of_other_kind.or_else(|| hint_of_name(name, &known, object));
            report_name(node, property, "is not a known field", hint, findings);
        }
        report_repeated(node, &object.properties[..index], property, findings);
    }
}

fn hint_of_other_kind(name: &str, tagged: &Tagged) -> Option<String> {
    let has_name = |field: &Field| field.name == name;
    let variant = tagged.variants.iter().find(|variant| variant.fields.iter().any(has_name))?;
    Some(format!("only {} `{}` has this field", tagged.tag, variant.word))
}

/// Returns advice on an unknown name; a name that is there already is not proposed again.
fn hint_of_name(name: &str, known: &[&str], object: &Object<'_>) -> Option<String> {
    let (given, free): (Vec<&str>, Vec<&str>) =
        known.iter().copied().partition(|other| object.get(other).is_some());
    if let Some(near) = hint::nearest(name, &given).filter(|_| hint::nearest(name, &free).is_none())
    {
        return Some(format!("`{near}` is there already; remove this one"));
    }
    hint::for_unknown_field(name, &free)
}

fn report_repeated(
    node: &Node<'_>,
    earlier: &[ObjectProp<'_>],
    property: &ObjectProp<'_>,
    findings: &mut Findings,
) {
    let name = property.name.as_str();
    let Some(first) = earlier.iter().find(|other| other.name.as_str() == name) else {
        return;
    };
    let line = findings.line_of(first.start());
    let hint = Some(format!("the first is on line {line}"));
    report_name(node, property, "is given twice", hint, findings);
}

fn report_name(
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
    for (index, property) in object.properties.iter().enumerate() {
        if let Err(fault) = scalar::check_target(property.name.as_str()) {
            report_name(node, property, &fault.message, fault.hint, findings);
        }
        report_repeated(node, &object.properties[..index], property, findings);
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
