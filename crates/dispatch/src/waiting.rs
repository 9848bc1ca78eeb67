//! The order in which prompts that wait for free capacity at a gateway are placed.
//!
//! Load pattern: for some seconds, long prompts arrive faster than they complete. In order of
//! arrival all of them would miss their objectives; a prompt that is already late loses little by
//! waiting longer.

use crate::request::RequestSpec;

/// The time to the objective below which a prompt counts as late, in milliseconds: about the time
/// that a long prompt takes to its first token.
const FIRST_TOKEN_MS: u64 = 250;

/// Identifies a place in the queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    priority: u8,
    objective_at_ms: u64,
}

/// The sort key of a waiting prompt; the lowest goes first.
type QueueOrder = (u8, bool, u64, Ticket);

impl Waiting {
    const fn new(ticket: Ticket, request: &RequestSpec) -> Self {
        Self { ticket, priority: request.priority, objective_at_ms: request.objective_at_ms }
    }

    /// Organisations are ordered by priority. Within a priority, prompts that can still meet their
    /// objective go first, the earliest objective first, followed by the late ones in the same
    /// order.
    const fn queue_order(&self, now_ms: u64) -> QueueOrder {
        let is_late = self.objective_at_ms < now_ms + FIRST_TOKEN_MS;
        (self.priority, is_late, self.objective_at_ms, self.ticket)
    }
}

/// The prompts that wait for free capacity at one gateway.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: Vec<Waiting>,
    next: u64,
}

impl WaitQueue {
    /// Creates an empty queue.
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

    /// Removes a prompt that was placed or abandoned.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// Returns whether a prompt goes before all waiting ones. A prompt without a ticket has just
    /// arrived.
    pub fn is_first(&self, ticket: Option<Ticket>, request: &RequestSpec, now_ms: u64) -> bool {
        let position =
            Waiting::new(ticket.unwrap_or(Ticket(self.next)), request).queue_order(now_ms);
        self.waiting.iter().all(|waiting| position <= waiting.queue_order(now_ms))
    }
}
