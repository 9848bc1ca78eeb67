//! Wrong settings stop the start and name the field.

use crate::fleet::settings;
use crate::process::command;
use serde_json::Value;

fn start_with(change: impl FnOnce(&mut Value)) -> (Option<i32>, String) {
    let mut value: Value = serde_json::from_str(&settings("gateway-1", "127.0.0.1:1", &[])).unwrap();
    change(&mut value);
    let (mut command, _file) = command(&value.to_string());
    let output = command.arg("--check").output().unwrap();
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn good_settings_pass_the_check_and_unknown_fields_are_ignored() {
    let (code, error) = start_with(|value| value["new_field"] = Value::Bool(true));
    assert_eq!((code, error.as_str()), (Some(0), ""));
}

#[test]
fn a_wrong_type_is_named() {
    let (code, error) = start_with(|value| value["bounds"]["retry_slack"] = Value::from("many"));
    assert_eq!(code, Some(2));
    assert!(error.contains("bounds.retry_slack"), "{error}");
}

#[test]
fn a_missing_field_is_named() {
    let (code, error) = start_with(|value| {
        value["listen"].as_object_mut().unwrap().remove("ready");
    });
    assert_eq!(code, Some(2));
    assert!(error.contains("ready"), "{error}");
}

#[test]
fn values_out_of_range_are_named() {
    let (code, error) = start_with(|value| value["prefill_tokens_per_ms"] = Value::from(0));
    assert_eq!(code, Some(2));
    assert!(error.contains("prefill_tokens_per_ms"), "{error}");
}

#[test]
fn a_text_that_is_no_json_is_refused() {
    let (mut command, _file) = command("{ \"host\": ");
    let output = command.output().unwrap();
    assert_eq!(output.status.code(), Some(2));
}
