//! What the host remembers of recent requests, for the operators' `why`.

use crate::constants::EXPLAINED_REQUESTS;
use protocol::ids::RequestId;
use protocol::message::operator::{AttemptExplanation, PlacementExplanation};
use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Remembers the placement of recent requests.
#[derive(Debug, Default)]
pub struct Explanations {
    recent: Mutex<Recent>,
}

#[derive(Debug, Default)]
struct Recent {
    order: VecDeque<RequestId>,
    by_id: HashMap<RequestId, PlacementExplanation>,
}

impl Explanations {
    /// Creates an empty memory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Remembers a request; forgets the oldest beyond the bound.
    pub fn start(&self, explanation: PlacementExplanation) {
        let mut recent = self.lock();
        recent.order.push_back(explanation.request_id.clone());
        recent.by_id.insert(explanation.request_id.clone(), explanation);
        if recent.order.len() <= EXPLAINED_REQUESTS {
            return;
        }
        if let Some(oldest) = recent.order.pop_front() {
            recent.by_id.remove(&oldest);
        }
    }

    /// Adds an attempt to a request.
    pub fn add_attempt(&self, request_id: &RequestId, attempt: AttemptExplanation) {
        if let Some(entry) = self.lock().by_id.get_mut(request_id) {
            entry.attempts.push(attempt);
        }
    }

    /// Notes how the last attempt ended.
    pub fn end_attempt(&self, request_id: &RequestId, outcome: &str) {
        let mut recent = self.lock();
        let entry = recent.by_id.get_mut(request_id);
        if let Some(attempt) = entry.and_then(|entry| entry.attempts.last_mut()) {
            attempt.outcome = Some(outcome.to_owned());
        }
    }

    /// Notes how a request ended.
    pub fn end(&self, request_id: &RequestId, outcome: &str) {
        if let Some(entry) = self.lock().by_id.get_mut(request_id) {
            entry.outcome = Some(outcome.to_owned());
        }
    }

    /// Returns what is remembered of a request.
    pub fn find(&self, request_id: &RequestId) -> Option<PlacementExplanation> {
        self.lock().by_id.get(request_id).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, Recent> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
