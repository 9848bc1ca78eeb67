//! The shape tables and the types that serde reads must name the same fields.

mod support;

use quickcheck::{Arbitrary, Gen};
use serde_json::Value;
use settings::client::shape::CLIENT_SETTINGS;
use settings::kind::{TextKind, kind_of};
use settings::problem::Report;
use settings::process::shape::PROCESS_SETTINGS;
use settings::services::shape::SERVICES_TEXT;
use settings::shape::{Field, Need, Shape};
use std::collections::BTreeSet;
use support::{PROCESS, SERVICES};

/// The seed of the generated changes.
const SEED: u64 = 0x5e77_1465;
/// The number of generated changes of each text.
const CHANGES: usize = 4_000;

fn paths_of_shape(shape: &Shape, path: &str, paths: &mut BTreeSet<String>) {
    let mut add = |fields: &[Field]| {
        for field in fields {
            let path = format!("{path}.{}", field.name);
            paths.insert(path.clone());
            paths_of_shape(&field.shape, &path, paths);
        }
    };
    match shape {
        Shape::Object(fields) => add(fields),
        Shape::List(element) => paths_of_shape(element, path, paths),
        Shape::Tagged(tagged) => {
            add(&[Field::new(tagged.tag, Shape::AddressMap)]);
            add(tagged.common);
            tagged.variants.iter().for_each(|variant| add(variant.fields));
        }
        Shape::AddressMap | Shape::Scalar(_) => {}
    }
}

fn paths_of_value(value: &Value, path: &str, paths: &mut BTreeSet<String>) {
    match value {
        Value::Object(_) if path == ".address_map" => {}
        Value::Object(fields) => {
            for (name, value) in fields {
                let path = format!("{path}.{name}");
                paths.insert(path.clone());
                paths_of_value(value, &path, paths);
            }
        }
        Value::Array(elements) => {
            elements.iter().for_each(|element| paths_of_value(element, path, paths));
        }
        _ => {}
    }
}

fn assert_same_paths(shape: &Shape, value: &Value) {
    let (mut of_shape, mut of_value) = (BTreeSet::new(), BTreeSet::new());
    paths_of_shape(shape, "", &mut of_shape);
    paths_of_value(value, "", &mut of_value);
    assert_eq!(of_shape, of_value);
}

#[test]
fn process_settings_have_the_fields_of_their_shape() {
    let settings = settings::parse_process_settings(PROCESS).expect("the text is valid");
    assert_same_paths(&PROCESS_SETTINGS, &serde_json::to_value(settings).expect("JSON"));
}

#[test]
fn client_settings_have_the_fields_of_their_shape() {
    let settings = settings::client::ClientSettings::default();
    assert_same_paths(&CLIENT_SETTINGS, &serde_json::to_value(settings).expect("JSON"));
}

#[test]
fn a_text_is_told_from_its_fields() {
    assert_eq!(kind_of(PROCESS), Ok(Some(TextKind::Process)));
    assert_eq!(kind_of(SERVICES), Ok(Some(TextKind::Services)));
    assert_eq!(kind_of("{ \"services\": [], \"host\": 1 }"), Ok(None));
    assert_eq!(kind_of("7"), Ok(None));
    assert!(kind_of("{").is_err());
}

#[test]
fn the_services_text_has_the_fields_of_its_shape() {
    let services = settings::parse_services_text(SERVICES).expect("the text is valid");
    assert_same_paths(&SERVICES_TEXT, &serde_json::to_value(services).expect("JSON"));
}

#[test]
fn each_required_field_is_required_by_its_type_and_each_other_one_is_not() {
    let read: fn(Value) -> bool =
        |value| serde_json::from_value::<settings::process::ProcessSettings>(value).is_ok();
    let Shape::Object(fields) = PROCESS_SETTINGS else {
        panic!("the settings are an object");
    };
    let whole = serde_json::to_value(settings::parse_process_settings(PROCESS).expect("valid"))
        .expect("JSON");
    for field in fields {
        let mut value = whole.clone();
        value.as_object_mut().expect("an object").remove(field.name);
        assert_eq!(read(value), field.need != Need::Required, "{}", field.name);
    }
}

/// Changes one token of a text at random.
fn change(text: &str, g: &mut Gen) -> String {
    const TOKENS: &[&str] = &[
        "null",
        "0",
        "-1",
        "1e3",
        "1.5",
        "007",
        "\"\"",
        "\"x\"",
        "{}",
        "[]",
        "true",
        "{",
        "}",
        "[",
        "]",
        ",",
        ":",
        "//",
        "/*",
        "\"",
        "\\",
        "\u{e9}",
        "18446744073709551616",
        "\"\\ud800\"",
    ];
    let mut starts: Vec<usize> = text.char_indices().map(|(offset, _)| offset).collect();
    starts.push(text.len());
    let start = *g.choose(&starts).expect("the text is not empty");
    let rest = text[start..].find(['"', ',', ':', '\n']).unwrap_or(0).max(1);
    let end = (start..=(start + rest).min(text.len()))
        .rev()
        .find(|end| text.is_char_boundary(*end))
        .unwrap_or(start);
    let token = if bool::arbitrary(g) { *g.choose(TOKENS).expect("there are tokens") } else { "" };
    format!("{}{token}{}", &text[..start], &text[end..])
}

fn assert_reports_have_lines<T>(text: &str, read: fn(&str) -> Result<T, Report>) {
    let mut g = Gen::from_size_and_seed(100, SEED);
    for _ in 0..CHANGES {
        let mut changed = change(text, &mut g);
        if bool::arbitrary(&mut g) {
            changed = change(&changed, &mut g);
        }
        let Err(report) = read(&changed) else {
            continue;
        };
        // A problem without a line comes from serde: the shape let something through.
        assert!(report.problems.iter().all(|one| one.line.is_some()), "{report}\n{changed}");
    }
}

#[test]
fn a_changed_process_settings_text_is_read_or_reported_with_lines() {
    assert_reports_have_lines(PROCESS, settings::parse_process_settings);
}

#[test]
fn a_changed_services_text_is_read_or_reported_with_lines() {
    assert_reports_have_lines(SERVICES, settings::parse_services_text);
}
