//! The order of prompts that wait for room.

mod common;

use common::request;
use dispatch::request::RequestSpec;
use dispatch::waiting::{Ticket, WaitQueue};

fn wanted(priority: u8, objective_at_ms: u64) -> RequestSpec {
    RequestSpec { priority, objective_at_ms, ..request(9, 8_600, 2_900) }
}

/// Takes all out of the line, one every so often, and names them in that order.
fn order(
    queue: &mut WaitQueue,
    mut waiting: Vec<(Ticket, RequestSpec, &str)>,
    now_ms: u64,
) -> String {
    let mut names = Vec::new();
    while !waiting.is_empty() {
        let first = waiting
            .iter()
            .position(|(ticket, request, _)| queue.is_first(Some(*ticket), request, now_ms))
            .expect("one of those that wait is first");
        let (ticket, _, name) = waiting.remove(first);
        queue.leave(ticket);
        names.push(name);
    }
    names.join(" ")
}

/// Load pattern: long prompts come faster than they end. What can still be in time goes before
/// what is late already, and urgent organisations before both.
#[test]
fn late_prompts_let_those_pass_that_can_be_in_time() {
    let mut queue = WaitQueue::new();
    let mut enter = |priority, objective_at_ms, name| {
        let request = wanted(priority, objective_at_ms);
        (queue.enter(&request), request, name)
    };
    let waiting = vec![
        enter(1, 1_000, "late"),
        enter(1, 2_900, "later_in_time"),
        enter(1, 2_500, "in_time"),
        enter(1, 2_100, "just_late"),
        enter(0, 1_500, "urgent_late"),
        enter(1, 2_500, "in_time_too"),
    ];
    let order = order(&mut queue, waiting, 2_000);
    assert_eq!(order, "urgent_late in_time in_time_too later_in_time late just_late");
}

#[test]
fn a_newcomer_goes_first_only_before_those_that_wait_for_less() {
    let mut queue = WaitQueue::new();
    assert!(queue.is_first(None, &wanted(1, 1_000), 0));
    let ticket = queue.enter(&wanted(1, 1_000));
    assert!(!queue.is_first(None, &wanted(1, 1_500), 0), "the other's objective ends sooner");
    assert!(queue.is_first(None, &wanted(1, 1_500), 900), "the other is late by now");
    queue.leave(ticket);
    assert!(queue.is_first(None, &wanted(1, 1_500), 0));
}
