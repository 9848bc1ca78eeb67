//! Checks the time limits of a graceful shutdown against each other.

use crate::findings::Findings;
use crate::locate::Node;
use crate::process::DrainSettings;

/// Checks that the time limit of a drain is longer than its wait for the load balancer.
pub(crate) fn check(root: &Node<'_>, findings: &mut Findings) {
    let Some(drain) = root.field("drain") else {
        return;
    };
    let defaults = DrainSettings::default();
    let (wait_node, bound_node) = (drain.field("balancer_wait_ms"), drain.field("bound_ms"));
    let Some(wait_ms) = value_or(wait_node.as_ref(), defaults.balancer_wait_ms) else {
        return;
    };
    let Some(bound_ms) = value_or(bound_node.as_ref(), defaults.bound_ms) else {
        return;
    };
    // The shape check reports a limit of zero.
    if bound_ms == 0 || bound_ms > wait_ms {
        return;
    }
    let message =
        format!("drain.bound_ms, {bound_ms}, is not above drain.balancer_wait_ms, {wait_ms}");
    let hint = "the limit counts from the start of the drain and includes the wait";
    let node = bound_node.or(wait_node).unwrap_or(drain);
    findings.add(&node, message, Some(hint.to_owned()));
}

/// Returns the number in a field, the default if the field is absent, or `None` if it is malformed.
fn value_or(node: Option<&Node<'_>>, default: u64) -> Option<u64> {
    node.map_or(Some(default), Node::as_integer)
}
