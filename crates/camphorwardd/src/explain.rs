//! Placement decisions of recent requests, for the operators' `why`.

use crate::constants::MAX_EXPLAINED_REQUESTS;
use protocol::ids::{AttemptId, RequestId};
use protocol::message::operator::{AttemptExplanation, PlacementExplanation};
use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The placements of the most recent requests.
#[derive(Debug, Default)]
pub struct Explanations {
    recent: Mutex<Recent>,
}

#[derive(Debug, Default)]
struct Recent {
    /// The held requests, oldest first.
    ids: VecDeque<RequestId>,
    by_id: HashMap<RequestId, PlacementExplanation>,
}

impl Explanations {
    /// Creates an empty history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request; evicts the oldest one beyond the limit.
    pub fn start(&self, explanation: PlacementExplanation) {
        let mut recent = self.lock();
        recent.ids.push_back(explanation.request_id.clone());
        recent.by_id.insert(explanation.request_id.clone(), explanation);
        if recent.ids.len() <= MAX_EXPLAINED_REQUESTS {
            return;
        }
        if let Some(oldest) = recent.ids.pop_front() {
            recent.by_id.remove(&oldest);
        }
    }

    /// Adds an attempt to a request.
    pub fn add_attempt(&self, request_id: &RequestId, attempt: AttemptExplanation) {
        if let Some(entry) = self.lock().by_id.get_mut(request_id) {
            entry.attempts.push(attempt);
        }
    }

    /// Records the outcome of an attempt.
    pub fn end_attempt(&self, request_id: &RequestId, attempt_id: &AttemptId, outcome: &str) {
        let mut recent = self.lock();
        let Some(entry) = recent.by_id.get_mut(request_id) else {
            return;
        };
        let attempt = entry.attempts.iter_mut().find(|attempt| attempt.attempt_id == *attempt_id);
        if let Some(attempt) = attempt {
            attempt.outcome = Some(outcome.to_owned());
        }
    }

    /// Records the outcome of a request.
    pub fn end(&self, request_id: &RequestId, outcome: &str) {
        if let Some(entry) = self.lock().by_id.get_mut(request_id) {
            entry.outcome = Some(outcome.to_owned());
        }
    }

    /// Returns the explanation of a request, if it is still held.
    pub fn find(&self, request_id: &RequestId) -> Option<PlacementExplanation> {
        self.lock().by_id.get(request_id).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, Recent> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
