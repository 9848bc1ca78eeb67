//! Checks the table of answers by error kind.

use protocol::error::{ErrorKind, Execution, InnerRetry};

#[test]
fn every_kind_parses_from_its_own_name() {
    for kind in ErrorKind::ALL {
        assert_eq!(kind.as_str().parse::<ErrorKind>(), Ok(*kind));
    }
}

#[test]
fn a_resumable_kind_may_have_run() {
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
