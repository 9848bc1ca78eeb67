//! The order of prompts that wait for free capacity.

mod common;

use common::request;
use dispatch::request::RequestSpec;
use dispatch::waiting::{Ticket, WaitQueue};

fn request_with(priority: u8, objective_at_ms: u64) -> RequestSpec {
    RequestSpec { priority, objective_at_ms, ..request(9, 8_600, 2_900) }
}

/// Removes all prompts from the queue in order, and returns their names in that order.
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
            .expect("no waiting prompt is first");
        let (ticket, _, name) = waiting.remove(first);
        queue.leave(ticket);
        names.push(name);
    }
    names.join(" ")
}

/// Load pattern: long prompts arrive faster than they complete. Prompts that can still meet their
/// objective go before late ones, and urgent organisations before both.
#[test]
fn prompts_that_can_meet_their_objective_overtake_late_ones() {
    let mut queue = WaitQueue::new();
    let mut enter = |priority, objective_at_ms, name| {
        let request = request_with(priority, objective_at_ms);
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
fn a_new_prompt_goes_first_only_before_less_urgent_ones() {
    let mut queue = WaitQueue::new();
    assert!(queue.is_first(None, &request_with(1, 1_000), 0));
    let ticket = queue.enter(&request_with(1, 1_000));
    assert!(!queue.is_first(None, &request_with(1, 1_500), 0), "the other's objective ends sooner");
    assert!(queue.is_first(None, &request_with(1, 1_500), 900), "the other is late by now");
    queue.leave(ticket);
    assert!(queue.is_first(None, &request_with(1, 1_500), 0));
}
