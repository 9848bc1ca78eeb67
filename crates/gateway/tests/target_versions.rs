//! Reports on target weight versions between gateways.

use dispatch::target_versions::{TargetHistory, TargetVersion};
use gateway::peers;
use gateway::target_weights::TargetReport;

/// The bytes of a report; later builds read it in this form.
#[test]
fn a_report_on_target_versions_keeps_its_form() {
    let target = TargetVersion { version: 2, earliest_ms: Some(5), latest_ms: 6 };
    let history = TargetHistory {
        complete_until_ms: Some(7),
        models: vec![("m".parse().unwrap(), vec![target])],
    };
    let report = TargetReport { now_ms: 9, held_ms: 1, history };
    let bytes = peers::encode(&report);
    let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, "930901920791 92a16d91 93020506".replace(' ', ""));
    assert_eq!(peers::decode(&bytes), Some(report));
}

#[test]
fn a_message_of_an_earlier_build_has_no_report_on_target_versions() {
    let bytes = peers::encode_with_two(&1_u64, &2_u64, &3_u64);
    let decoded = peers::decode_with_three::<u64, u64, u64, Option<TargetReport>>(&bytes);
    assert_eq!(decoded, Some((1, 2, 3, None)));
}
