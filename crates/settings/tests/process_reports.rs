//! Snapshots of the report on each kind of problem in process settings.

mod support;

use settings::parse_process_settings;
use support::{PROCESS, replace_all};

fn report(changes: &[(&str, &str)]) -> String {
    let text = replace_all(PROCESS, changes);
    parse_process_settings(&text).expect_err("the text is invalid").to_string()
}

macro_rules! snapshots {
    ($($name:ident: $changes:expr;)*) => {
        $(
            #[test]
            fn $name() {
                insta::assert_snapshot!(report(&$changes));
            }
        )*
    };
}

snapshots! {
    unknown_field: [("\"answer_tokens\"", "\"anser_tokens\"")];
    unknown_field_at_the_top: [("\"region\"", "\"regions\"")];
    unknown_field_without_a_similar_name: [("\"policy\": \"camphorward\"", "\"zzz\": 1")];
    wrong_unit_in_the_name: [("\"body_bytes\": 1048576", "\"body_kb\": 1024")];
    wrong_unit_of_time: [("\"bound_ms\": 60000", "\"bound_s\": 60")];
    missing_unit: [("\"caller_read_ms\"", "\"caller_read\"")];
    unit_in_the_value: [("1048576", "\"1MB\"")];
    fraction_instead_of_an_integer: [("5000", "5.5")];
    negative_number: [("5000", "-5000")];
    zero_bounds: [("1048576", "0"), ("4096", "0"), ("5000", "0"), ("20000", "0"), ("60000", "0")];
    number_out_of_bounds: [("60000", "86400001")];
    missing_fields: [("\"host\": \"entry-1\",", ""), ("\"log\": \"127.0.0.1:7001\",", "")];
    duplicate_field: [("\"region\": \"kolkata\",", "\"region\": \"kolkata\", \"host\": \"b\",")];
    null_instead_of_a_name: [("\"k1\"", "null")];
    bad_host_name: [("entry-1", "entry 1")];
    empty_host_name: [("entry-1", "")];
    host_name_instead_of_an_address: [("127.0.0.1:7001", "log.example:7001")];
    address_without_a_port: [("127.0.0.1:7001", "127.0.0.1")];
    unreachable_targets: [("127.0.0.1:7001", "0.0.0.0:7001"), ("127.0.0.1:7002", "127.0.0.1:0")];
    two_listeners_with_one_address: [("127.0.0.1:7103", "127.0.0.1:7101")];
    two_listeners_with_one_port_on_all_addresses: [("127.0.0.1:7102", "0.0.0.0:7101")];
    own_address_among_the_seed_peers: [("\"127.0.0.1:7112\"", "\"127.0.0.1:7102\"")];
    duplicate_seed_peer: [("127.0.0.1:7112", "127.0.0.1:7122")];
    address_map_with_a_loop: [(
        "\"10.0.0.2:7101\": \"127.0.0.1:7111\"",
        "\"10.0.0.2:1\": \"10.0.0.3:1\", \"10.0.0.3:1\": \"10.0.0.2:1\", \"10.0.0.4:1\": \"10.0.0.4:1\""
    )];
    address_map_with_invalid_entries: [("\"10.0.0.2:7101\"", "\"ten\""), ("127.0.0.1:7111", "7111")];
    drain_bound_not_above_the_wait: [("\"bound_ms\": 60000", "\"bound_ms\": 2000")];
    drain_wait_above_the_default_bound: [("\"balancer_wait_ms\": 2000,", "\"balancer_wait_ms\": 130000"), ("\"bound_ms\": 60000", "")];
    unknown_policy: [("\"camphorward\"", "\"round-robin\"")];
    unknown_log_level: [("\"info\"", "\"INFO\"")];
    object_instead_of_a_list: [("[\"127.0.0.1:7112\", \"127.0.0.1:7122\"]", "{}")];
    list_instead_of_an_object: [("{ \"10.0.0.1:7101\": \"127.0.0.1:7101\", \"10.0.0.2:7101\": \"127.0.0.1:7111\" }", "[]")];
    missing_comma: [("\"entry-1\",", "\"entry-1\"")];
    name_without_quotes: [("\"host\"", "host")];
    unterminated_text: [("\"statsd\": \"127.0.0.1:8125\"\n}", "\"statsd\": \"127.0.0.1:8125\"\n")];
    second_value: [("\"statsd\": \"127.0.0.1:8125\"\n}", "\"statsd\": \"127.0.0.1:8125\"\n} {}")];
    problems_in_the_order_of_the_text: [
        ("127.0.0.1:7103", "127.0.0.1:7101"),
        ("\"limits\"", "\"limit\""),
        ("\"bound_ms\": 60000", "\"bound_ms\": 1"),
        ("\"info\"", "7"),
        ("\"k1\"", "\"\"")
    ];
}

#[test]
fn listeners_may_share_port_zero() {
    let changes = [("127.0.0.1:7101\",\n", "127.0.0.1:0\",\n"), ("127.0.0.1:7102", "127.0.0.1:0")];
    assert_eq!(parse_process_settings(&replace_all(PROCESS, &changes)).err(), None);
}

#[test]
fn empty_texts() {
    let report = |text| parse_process_settings(text).expect_err("the text is empty").to_string();
    insta::assert_snapshot!(
        [report(""), report("// nothing\n"), report("[]"), report("{}")].join("\n--\n")
    );
}

#[test]
fn deep_nesting_is_rejected_without_recursion() {
    let text = format!("{{\"host\":\n{}", "[".repeat(1_000_000));
    insta::assert_snapshot!(parse_process_settings(&text).expect_err("the nesting is too deep"));
}

#[test]
fn long_reports_are_truncated() {
    let unknown: Vec<String> = (0..150).map(|number| format!("\"unknown_{number}\": 0")).collect();
    let text = format!("{{\n{}\n}}", unknown.join(",\n"));
    let report = parse_process_settings(&text).expect_err("the text is invalid");
    insta::assert_snapshot!(format!(
        "{} problems; the last:\n{}\n{}",
        report.problems.len(),
        report.problems[99],
        report.problems[100]
    ));
}

#[test]
fn rendered_settings_include_all_defaults() {
    let text = r#"{
        "host": "entry-1", "failure_domain": "k1", "region": "kolkata",
        "listen": { "callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0" },
        "platform": { "log": "127.0.0.1:7001", "host_list": "127.0.0.1:7002" },
    }"#;
    let settings = parse_process_settings(text).expect("the text is valid");
    insta::assert_snapshot!(settings::to_json_with_defaults(&settings).expect("settings are JSON"));
}

#[test]
fn rendered_settings_parse_to_the_same_settings() {
    let settings = parse_process_settings(PROCESS).expect("the text is valid");
    let rendered = settings::to_json_with_defaults(&settings).expect("settings are JSON");
    assert_eq!(parse_process_settings(&rendered), Ok(settings));
}
