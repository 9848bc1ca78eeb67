//! Checks the table from error kind to answer.

use protocol::error::{ErrorKind, Execution, InnerRetry};

#[test]
fn every_kind_has_its_own_name_and_reads_back() {
    for kind in ErrorKind::ALL {
        assert_eq!(kind.as_str().parse::<ErrorKind>(), Ok(*kind));
    }
}

#[test]
fn a_resumed_kind_never_claims_not_run() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        if answer.inner_retry == InnerRetry::Resume {
            assert_eq!(answer.execution, Execution::MayHaveRun, "{kind}");
        }
    }
}

#[test]
fn the_table_is_as_documented() {
    let table: Vec<String> =
        ErrorKind::ALL.iter().map(|kind| format!("{kind}: {:?}", kind.answer())).collect();
    insta::assert_snapshot!(table.join("\n"));
}
