//! Checks that the shapes and the types that serde deserializes have the same fields.

mod support;

use quickcheck::{Arbitrary, Gen};
use serde_json::Value;
use settings::client::shape::CLIENT_SETTINGS;
use settings::kind::{TextKind, detect_kind};
use settings::problem::Report;
use settings::process::shape::PROCESS_SETTINGS;
use settings::services::shape::SERVICES_TEXT;
use settings::shape::{Field, Presence, Shape};
use std::collections::BTreeSet;
use support::{PROCESS, SERVICES};

/// The seed of the generated mutations.
const SEED: u64 = 0x5e77_1465;
/// The number of generated mutations of each text.
const MUTATIONS: usize = 4_000;

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
fn kind_of_a_text_is_detected_from_its_fields() {
    assert_eq!(detect_kind(PROCESS), Ok(Some(TextKind::Process)));
    assert_eq!(detect_kind(SERVICES), Ok(Some(TextKind::Services)));
    assert_eq!(detect_kind("{ \"services\": [], \"host\": 1 }"), Ok(None));
    assert_eq!(detect_kind("7"), Ok(None));
    assert!(detect_kind("{").is_err());
}

#[test]
fn the_services_text_has_the_fields_of_its_shape() {
    let services = settings::parse_services_text(SERVICES).expect("the text is valid");
    assert_same_paths(&SERVICES_TEXT, &serde_json::to_value(services).expect("JSON"));
}

#[test]
fn shape_and_type_require_the_same_fields() {
    let is_accepted: fn(Value) -> bool =
        |value| serde_json::from_value::<settings::process::ProcessSettings>(value).is_ok();
    let Shape::Object(fields) = PROCESS_SETTINGS else {
        panic!("the settings are an object");
    };
    let complete = serde_json::to_value(settings::parse_process_settings(PROCESS).expect("valid"))
        .expect("JSON");
    for field in fields {
        let mut value = complete.clone();
        value.as_object_mut().expect("an object").remove(field.name);
        assert_eq!(is_accepted(value), field.presence != Presence::Required, "{}", field.name);
    }
}

/// Replaces the characters from a random offset to the next delimiter with a random token or with
/// nothing.
fn mutate(text: &str, g: &mut Gen) -> String {
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

fn assert_reports_have_lines<T>(text: &str, parse: fn(&str) -> Result<T, Report>) {
    let mut g = Gen::from_size_and_seed(100, SEED);
    for _ in 0..MUTATIONS {
        let mut mutated = mutate(text, &mut g);
        if bool::arbitrary(&mut g) {
            mutated = mutate(&mutated, &mut g);
        }
        let Err(report) = parse(&mutated) else {
            continue;
        };
        // A problem without a line comes from serde: the shape check missed it.
        assert!(
            report.problems.iter().all(|problem| problem.line.is_some()),
            "{report}\n{mutated}"
        );
    }
}

#[test]
fn problems_of_mutated_process_settings_have_lines() {
    assert_reports_have_lines(PROCESS, settings::parse_process_settings);
}

#[test]
fn problems_of_a_mutated_services_text_have_lines() {
    assert_reports_have_lines(SERVICES, settings::parse_services_text);
}
