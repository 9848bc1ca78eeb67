//! The order in which prompts that wait for room at a gateway are placed.
//!
//! Load pattern: long prompts come faster than they end for some seconds. Served in the order of
//! arrival, all of them would be late; one that is late already loses little by waiting on.

use crate::request::RequestSpec;

/// The time to the objective below which a prompt counts as late, in milliseconds: a long one takes
/// about as long to its first token.
const FIRST_TOKEN_MS: u64 = 250;

/// A place in the line.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    priority: u8,
    objective_at_ms: u64,
}

/// What decides between two that wait; the least goes first.
type QueueOrder = (u8, bool, u64, Ticket);

impl Waiting {
    const fn new(ticket: Ticket, request: &RequestSpec) -> Self {
        Self { ticket, priority: request.priority, objective_at_ms: request.objective_at_ms }
    }

    /// Organisations go by their rank; within it those that can still be in time go first, by how
    /// soon that ends, and the late ones after them in the same order.
    const fn queue_order(&self, now_ms: u64) -> QueueOrder {
        let is_late = self.objective_at_ms < now_ms + FIRST_TOKEN_MS;
        (self.priority, is_late, self.objective_at_ms, self.ticket)
    }
}

/// The prompts that wait for room at one gateway.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: Vec<Waiting>,
    next: u64,
}

impl WaitQueue {
    /// Creates an empty line.
    pub const fn new() -> Self {
        Self { waiting: Vec::new(), next: 0 }
    }

    /// Adds a prompt.
    pub fn enter(&mut self, request: &RequestSpec) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        self.waiting.push(Waiting::new(ticket, request));
        ticket
    }

    /// Removes a prompt that was placed or given up.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// Says whether a prompt goes before all that wait; one without a ticket has just come.
    pub fn is_first(&self, ticket: Option<Ticket>, request: &RequestSpec, now_ms: u64) -> bool {
        let position =
            Waiting::new(ticket.unwrap_or(Ticket(self.next)), request).queue_order(now_ms);
        self.waiting.iter().all(|waiting| position <= waiting.queue_order(now_ms))
    }
}
