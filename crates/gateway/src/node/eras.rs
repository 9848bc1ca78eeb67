//! What the gateway knows of the era of the platform's store.

use crate::event;
use crate::node::Node;
use dispatch::era::{AnswerEra, EraTracker, IgnoredEra, NamedEra, StoreEra};
use std::sync::PoisonError;
use tokio::sync::watch;

impl Node {
    /// Returns what is known of the era of the platform's store.
    pub fn eras(&self) -> EraTracker {
        *self.eras.borrow()
    }

    /// Returns a receiver that is woken when the era rises.
    pub fn watch_eras(&self) -> watch::Receiver<EraTracker> {
        self.eras.subscribe()
    }

    /// Judges the era that an answer of the store names. Returns the era in which the answer was
    /// given; `None` if that is an earlier one than the current.
    pub fn observe_answer_era(&self, asked: StoreEra, named: NamedEra) -> Option<StoreEra> {
        let mut judged = AnswerEra::Current;
        let now_ms = self.now_ms();
        self.eras.send_if_modified(|eras| {
            judged = eras.observe_answer(asked, named, now_ms);
            let is_raised = matches!(judged, AnswerEra::Raised { .. });
            if is_raised {
                // No listing of the new era may be applied before.
                self.state().registry.store_restored(now_ms);
            }
            is_raised
        });
        match judged {
            AnswerEra::Current => {}
            AnswerEra::Raised { before } => {
                self.handle_raised_era(before, "store");
                // Gateways that learn it from a peer do not pass it on at once, so that a rise does
                // not flood an installation.
                let era = self.eras().known();
                self.queue_update(|update| update.store_era = era);
            }
            AnswerEra::Outdated => {
                self.metrics.count("store_eras", "outdated");
                return None;
            }
            AnswerEra::Ignored(reason) => self.log_ignored_era(reason, named),
        }
        match named {
            NamedEra::Era(era) if !matches!(judged, AnswerEra::Ignored(_)) => Some(era),
            _ => Some(self.eras().current()),
        }
    }

    /// Records the era that a peer knows.
    pub fn observe_peer_era(&self, era: Option<StoreEra>) {
        let Some(era) = era else { return };
        let mut before = None;
        let now_ms = self.now_ms();
        self.eras.send_if_modified(|eras| {
            before = eras.observe_era(era, now_ms);
            if before.is_some() {
                self.state().registry.store_restored(now_ms);
            }
            before.is_some()
        });
        if let Some(before) = before {
            self.handle_raised_era(before, "peer");
        }
    }

    fn handle_raised_era(&self, before: StoreEra, source: &str) {
        let now_ms = self.now_ms();
        let era = self.eras().current();
        self.metrics.count("store_eras", "raised");
        event!(warn, now_ms, "store_era_raised", {
            "before": before.value(),
            "era": era.value(),
            "source": source,
        });
        self.weights_changed.notify_one();
    }

    fn log_ignored_era(&self, reason: IgnoredEra, named: NamedEra) {
        self.metrics.count("store_eras", reason.as_str());
        let mut logged = self.logged_eras.lock().unwrap_or_else(PoisonError::into_inner);
        if logged.insert(reason) {
            event!(warn, self.now_ms(), "store_era_ignored", {
                "reason": reason.as_str(),
                "named": format!("{named:?}"),
                "era": self.eras().current().value(),
            });
        }
    }

    /// Records that a topic was read from its newest records again, in a later era.
    pub fn record_read_again(&self, topic: &str, era: StoreEra, records: usize) {
        self.metrics.count("store_eras", "read_again");
        event!(info, self.now_ms(), "store_read_again", {
            "topic": topic,
            "era": era.value(),
            "records": records,
        });
    }
}
