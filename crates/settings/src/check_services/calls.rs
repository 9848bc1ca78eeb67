//! Checks for ambiguous calls of an order service.

use crate::findings::Findings;
use crate::locate::Node;

/// A well-formed call; malformed ones are reported by the shape check.
struct Call<'a> {
    node: Node<'a>,
    method: &'a str,
    path: &'a str,
    idempotent: bool,
}

/// Checks the calls of each order service.
pub(super) fn check(root: &Node<'_>, findings: &mut Findings) {
    for service in root.elements_of("services") {
        let entries = service.elements_of("calls");
        let calls: Vec<Call<'_>> = entries.into_iter().filter_map(parse_call).collect();
        for (index, call) in calls.iter().enumerate() {
            check_call(&calls[..index], call, findings);
        }
    }
}

fn parse_call(node: Node<'_>) -> Option<Call<'_>> {
    let method = node.field("method")?.as_text()?;
    let path = node.field("path")?.as_text()?;
    let idempotent = node.field("idempotent")?.as_bool()?;
    Some(Call { node, method, path, idempotent })
}

fn check_call(earlier: &[Call<'_>], call: &Call<'_>, findings: &mut Findings) {
    let same_method = earlier.iter().filter(|other| other.method == call.method);
    let conflict = same_method.into_iter().find(|other| conflicts(other, call));
    let Some(other) = conflict else {
        return;
    };
    let line = findings.line_of(other.node.offset());
    let name = format!("{} {}", call.method, call.path);
    if other.idempotent == call.idempotent {
        let hint = Some(format!("the first is on line {line}"));
        return findings.add(&call.node, format!("the call `{name}` is given twice"), hint);
    }
    let message = format!(
        "the call `{name}` overlaps `{} {}` on line {line}, and only one is idempotent",
        other.method, other.path
    );
    let hint = "a request that matches both could be sent twice; make the paths distinct";
    findings.add(&call.node, message, Some(hint.to_owned()));
}

fn conflicts(a: &Call<'_>, b: &Call<'_>) -> bool {
    a.path == b.path || (a.idempotent != b.idempotent && overlaps(a.path, b.path))
}

/// Returns whether any path matches both patterns.
fn overlaps(a: &str, b: &str) -> bool {
    match (a.strip_suffix('*'), b.strip_suffix('*')) {
        (Some(a), Some(b)) => a.starts_with(b) || b.starts_with(a),
        (Some(prefix), None) => b.starts_with(prefix),
        (None, Some(prefix)) => a.starts_with(prefix),
        (None, None) => a == b,
    }
}
