//! Snapshots of the report on each kind of problem in a services text.

mod support;

use settings::parse_services_text;
use support::{SERVICES, replace_all};

const ALPHA_DIGEST: &str = "5d41402abc4b2a76b9719d911017c5925d41402abc4b2a76b9719d911017c592";
const BETA_DIGEST: &str = "7d793037a0760186574b0282f2f435e77d793037a0760186574b0282f2f435e7";
const GET_ORDERS: &str = r#"{ "method": "GET", "path": "/orders/*", "idempotent": true }"#;

fn report(changes: &[(&str, &str)]) -> String {
    let text = replace_all(SERVICES, changes);
    parse_services_text(&text).expect_err("the text is invalid").to_string()
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
    unknown_field_of_a_service: [("\"deadline_ms\": 3000", "\"deadline_ms\": 3000, \"dependson\": []")];
    unknown_field_of_a_model_service: [("\"token_gap_ms\": 40", "\"token_gap_ms\": 40, \"tokens\": 1")];
    field_of_another_kind: [("\"expiry_s\": 86400", "\"expiry_s\": 86400, \"fencing\": \"checked\"")];
    unknown_field_of_a_call: [("\"idempotent\": false", "\"idempotnet\": false")];
    wrong_unit: [("\"expiry_s\": 86400", "\"expiry_ms\": 86400000"), ("\"bytes_per_s\"", "\"mb_per_s\"")];
    wrong_unit_of_a_link: [("\"link_bits_per_s\": 30000000, \"link_delay_ms\": 12 ", "\"link_mbits_per_s\": 30, \"link_delay_s\": 0.012 ")];
    unknown_kind: [("\"kind\": \"order\"", "\"kind\": \"orders\"")];
    missing_kind: [("\"kind\": \"store\",", "")];
    duplicate_service: [("\"name\": \"desk\"", "\"name\": \"shades\"")];
    duplicate_organisation: [("\"beta\"", "\"alpha\"")];
    duplicate_region: [("\"siliguri\"", "\"kolkata\"")];
    failure_domain_in_two_regions: [("[\"s1\"]", "[\"s1\", \"k2\"]")];
    duplicate_model_and_version: [("\"kind\": \"store\",\n            \"expiry_s\": 86400,\n            \"bytes_per_s\": 125000000",
        "\"kind\": \"model\", \"model\": \"shade-7b\", \"weight_version\": \"v1\", \"fencing\": \"ignored\",\n            \"kv_bytes_per_token\": 1, \"first_token_deadline_ms\": 1, \"token_gap_ms\": 1")];
    unknown_dependency: [("\"depends_on\": []", "\"depends_on\": [\"shade\"]")];
    dependency_on_itself: [("\"depends_on\": []", "\"depends_on\": [\"desk\"]")];
    duplicate_dependency: [("\"depends_on\": []", "\"depends_on\": [\"shades\", \"shades\"]")];
    cycle: [
        ("\"kind\": \"store\",", "\"kind\": \"store\", \"depends_on\": [\"desk\"],"),
        ("\"depends_on\": []", "\"depends_on\": [\"shades\"]")
    ];
    unknown_block_store: [("\"kept_work\": \"shades-kept\"", "\"kept_work\": \"shade-kept\"")];
    block_store_of_another_kind: [("\"kept_work\": \"shades-kept\"", "\"kept_work\": \"desk\"")];
    key_digest_of_two_organisations: [(BETA_DIGEST, ALPHA_DIGEST)];
    malformed_digests: [(ALPHA_DIGEST, "secret"), (BETA_DIGEST, "7D793037A0760186574B0282F2F435E77D793037A0760186574B0282F2F435E7")];
    zero_rates: [("125000000", "0"), ("131072", "0"), ("\"share\": 3", "\"share\": 0"), ("\"link_bits_per_s\": 30000000, \"link_delay_ms\": 12 ", "\"link_bits_per_s\": 0, \"link_delay_ms\": -1 ")];
    call_path_without_a_slash: [("\"/orders\"", "\"orders\"")];
    call_path_with_a_query: [("\"/orders\"", "\"/orders?all=1\"")];
    call_path_with_a_star_inside: [("\"/orders/*\"", "\"/*/orders\"")];
    call_path_with_a_star_in_a_segment: [("\"/orders/*\"", "\"/orders*\"")];
    call_path_with_dots: [("\"/orders\"", "\"/orders/../admin\"")];
    unknown_method: [("\"POST\"", "\"post\"")];
    outcome_path_without_a_key: [("/outcomes/{key}", "/outcomes")];
    overlapping_calls: [(GET_ORDERS, r#"{ "method": "POST", "path": "/*", "idempotent": true }"#)];
    duplicate_call: [(GET_ORDERS, r#"{ "method": "POST", "path": "/orders", "idempotent": false }"#)];
    duplicate_call_with_another_idempotence: [(GET_ORDERS, r#"{ "method": "POST", "path": "/orders", "idempotent": true }"#)];
    malformed_json: [("\"deadline_ms\": 3000", "\"deadline_ms\": 3000abc")];
    problems_in_the_order_of_the_text: [
        ("\"siliguri\"", "\"\""),
        (BETA_DIGEST, ALPHA_DIGEST),
        ("\"kind\": \"store\",", "\"kind\": \"stor\","),
        ("\"depends_on\": []", "\"depends_on\": [\"none\"]"),
        ("\"idempotent\": false", "\"idempotent\": 0")
    ];
}

#[test]
fn each_cycle_is_reported_once() {
    let services = [("a", "b"), ("b", "a"), ("c", "d"), ("d", "e"), ("e", "c"), ("f", "a")];
    let entries = services.map(|(name, dependency)| {
        format!(
            r#"{{ "name": "{name}", "kind": "store", "depends_on": ["{dependency}"], "expiry_s": 1, "bytes_per_s": 1 }}"#
        )
    });
    let text = format!(
        "{{ \"regions\": [], \"organisations\": [], \"services\": [\n{}\n] }}",
        entries.join(",\n")
    );
    insta::assert_snapshot!(parse_services_text(&text).expect_err("the text is invalid"));
}

#[test]
fn calls_of_the_same_idempotence_may_overlap() {
    let call = r#"{ "method": "GET", "path": "/*", "idempotent": true }"#;
    let text = replace_all(SERVICES, &[(GET_ORDERS, &format!("{GET_ORDERS}, {call}"))]);
    assert_eq!(parse_services_text(&text).err(), None);
}
