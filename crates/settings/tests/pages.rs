//! Checks that the operators' pages list exactly the fields of the shapes, with their values and
//! defaults.

use serde_json::Value;
use settings::client::ClientSettings;
use settings::client::shape::CLIENT_SETTINGS;
use settings::process::shape::PROCESS_SETTINGS;
use settings::services::shape::SERVICES_TEXT;
use settings::shape::{Field, Presence, Scalar, Shape};
use std::path::Path;

const MINIMAL_PROCESS: &str = r#"{
    "host": "h", "failure_domain": "d", "region": "r",
    "listen": { "callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0" },
    "platform": { "log": "127.0.0.1:1", "host_list": "127.0.0.1:2" }
}"#;

const MINIMAL_SERVICES: &str = r#"{
    "regions": [],
    "organisations": [{ "name": "o", "key_digests": [] }],
    "services": [{ "name": "s", "kind": "store", "expiry_s": 1, "bytes_per_s": 1 }]
}"#;

/// Appends the start of the table row of each field.
fn rows(shape: &Shape, path: &str, defaults: &Value, rows: &mut Vec<String>) {
    match shape {
        Shape::Object(fields) => {
            fields.iter().for_each(|field| add_field(field, path, defaults, rows));
        }
        Shape::List(element) => {
            let first = defaults.get(0).cloned().unwrap_or_default();
            rows_of_element(element, path, &first, rows);
        }
        Shape::Tagged(tagged) => {
            let tag_values: Vec<&str> =
                tagged.variants.iter().map(|variant| variant.tag_value).collect();
            rows.push(row(&join(path, tagged.tag), &render_words(&tag_values), "required"));
            tagged.common.iter().for_each(|field| add_field(field, path, defaults, rows));
            for variant in tagged.variants {
                variant.fields.iter().for_each(|field| add_field(field, path, defaults, rows));
            }
        }
        Shape::AddressMap | Shape::Scalar(_) => {}
    }
}

fn rows_of_element(element: &Shape, path: &str, defaults: &Value, out: &mut Vec<String>) {
    rows(element, &format!("{path}[]"), defaults, out);
}

fn add_field(field: &Field, path: &str, defaults: &Value, out: &mut Vec<String>) {
    let path = join(path, field.name);
    let default = defaults.get(field.name).cloned().unwrap_or_default();
    let default_text = match field.presence {
        Presence::Required => "required".to_owned(),
        Presence::Nullable => "none".to_owned(),
        Presence::Defaulted if default.is_object() && matches!(field.shape, Shape::Object(_)) => {
            "see below".to_owned()
        }
        Presence::Defaulted => format!("`{default}`"),
    };
    out.push(row(&path, &render_shape(&field.shape), &default_text));
    rows(&field.shape, &path, &default, out);
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

fn row(path: &str, values: &str, default: &str) -> String {
    format!("| `{path}` | {values} | {default} | ")
}

fn render_words(words: &[&str]) -> String {
    let quoted: Vec<String> = words.iter().map(|word| format!("`{word}`")).collect();
    quoted.join(", ")
}

fn render_shape(shape: &Shape) -> String {
    match shape {
        Shape::Object(_) | Shape::Tagged(_) => "object".to_owned(),
        Shape::List(element) => format!("list of {}", render_shape(element)),
        Shape::AddressMap => "object from address to address".to_owned(),
        Shape::Scalar(scalar) => render_scalar(scalar),
    }
}

fn render_scalar(scalar: &Scalar) -> String {
    match scalar {
        Scalar::Name(_) => "name".to_owned(),
        Scalar::ListenAddress => "address to listen on".to_owned(),
        Scalar::TargetAddress => "address".to_owned(),
        Scalar::Digest => "digest".to_owned(),
        Scalar::Integer { min, max } => format!("{min} to {max}"),
        Scalar::Decimal => "number from 0".to_owned(),
        Scalar::Bool => "`true`, `false`".to_owned(),
        Scalar::Keyword(words) => render_words(words),
        Scalar::CallPath => "path".to_owned(),
        Scalar::OutcomePath => "path with `{key}`".to_owned(),
    }
}

/// Compares the field rows of a page with those of the shapes.
fn assert_page(page: &str, expected: &[String]) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators").join(page);
    let text = std::fs::read_to_string(path).expect("the page exists");
    let found: Vec<&str> = text.lines().filter(|line| line.starts_with("| `")).collect();
    let missing: Vec<&String> =
        expected.iter().filter(|row| !found.iter().any(|line| line.starts_with(*row))).collect();
    assert!(missing.is_empty(), "{page} lacks these rows:\n{missing:#?}");
    let unexpected: Vec<&&str> =
        found.iter().filter(|line| !expected.iter().any(|row| line.starts_with(row))).collect();
    assert!(unexpected.is_empty(), "{page} has rows of unknown fields:\n{unexpected:#?}");
}

#[test]
fn settings_page_lists_the_fields() {
    let settings = settings::parse_process_settings(MINIMAL_PROCESS).expect("the text is valid");
    let mut expected = Vec::new();
    rows(&PROCESS_SETTINGS, "", &serde_json::to_value(settings).expect("JSON"), &mut expected);
    let client = serde_json::to_value(ClientSettings::default()).expect("JSON");
    rows(&CLIENT_SETTINGS, "", &client, &mut expected);
    assert_page("settings.md", &expected);
}

#[test]
fn services_text_page_lists_the_fields() {
    let services = settings::parse_services_text(MINIMAL_SERVICES).expect("the text is valid");
    let mut expected = Vec::new();
    rows(&SERVICES_TEXT, "", &serde_json::to_value(services).expect("JSON"), &mut expected);
    assert_page("services-text.md", &expected);
}
