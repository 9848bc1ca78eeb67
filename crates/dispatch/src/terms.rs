//! The terms that servers name in their answers: how much all gateways together may send to them.
//!
//! Load pattern: servers in need name a limit to whichever gateways they answer. Each gateway keeps
//! the newest terms, in the order in which the servers wrote them.

use crate::limits::Urgency;
use crate::registry::ServerId;
use protocol::ids::Incarnation;
use protocol::rate::RequestRate;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// The maximum number of servers in the table.
const MAX_SERVERS: usize = 4_096;
/// How long it is remembered that a server names nothing any more, in milliseconds. Longer than a
/// report of earlier terms may take.
const ENDED_TTL_MS: u64 = 60_000;

/// How much later than the one before a refusal must be to be sent to other gateways, in
/// milliseconds.
const REFUSAL_STEP_MS: u64 = 100;
/// The refusals of one server that gateways may cause before all know of the first.
const CROSSING_REFUSALS: u64 = 4;
/// The bounds of the time for which a brittle server gets nothing after a refusal, in milliseconds.
const REFUSAL_PAUSE_MS: std::ops::RangeInclusive<u64> = 150..=1_000;
/// How long after a refusal the end of a brittle server counts as caused by overload, in milliseconds.
const OVERLOAD_MS: u64 = 2_000;
/// The share of a brittle server's slots that the most urgent requests may fill. Other gateways fill
/// the rest before their reports arrive.
const USED_SLOTS: f64 = 0.8;
/// What each lower level of urgency leaves free of that share.
const LEVEL_SLOTS: f64 = 0.05;

/// Returns for how long a server that bears some refusals a second gets nothing after one.
fn refusal_pause_ms(max_refusals: u32) -> u64 {
    let pause_ms = 1_000 * CROSSING_REFUSALS / (u64::from(max_refusals) + 1);
    pause_ms.clamp(*REFUSAL_PAUSE_MS.start(), *REFUSAL_PAUSE_MS.end())
}

/// Returns whether a brittle server has too little room for another request, given those in flight
/// from all gateways.
pub fn is_full(in_flight: f64, slots: u32, urgency: Urgency) -> bool {
    let share = USED_SLOTS - LEVEL_SLOTS * urgency.level() as f64;
    in_flight + 1.0 > (share * f64::from(slots)).max(1.0)
}

/// What a server wants of all gateways together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// The requests that it takes; `None` without a limit.
    pub limit: Option<RequestRate>,
    /// The refusals for want of room within a second after which it crashes; `None` unless it is
    /// brittle.
    pub max_refusals: Option<u32>,
}

impl Terms {
    /// Returns whether the holder of the server grants each send to it.
    pub const fn needs_grants(&self) -> bool {
        self.limit.is_some() || self.max_refusals.is_some()
    }

    /// Returns whether the server asks for nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// The terms of one incarnation of a server, as gateways exchange them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TermsReport {
    /// The server.
    pub server: ServerId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The terms.
    pub terms: Terms,
    /// How long ago the server wrote them, in milliseconds.
    pub age_ms: u64,
    /// How long ago it last refused a request for want of room, in milliseconds.
    pub refused_ago_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    incarnation: Incarnation,
    terms: Terms,
    written_ms: u64,
    refused_ms: Option<u64>,
}

/// The newest terms of each server that has named any.
#[derive(Debug, Default)]
pub struct TermsTable {
    servers: HashMap<ServerId, Held>,
}

impl TermsTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the terms in an answer that a server wrote at a time. Returns the terms before if
    /// they have changed.
    pub fn record(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        terms: Terms,
        written_ms: u64,
    ) -> Option<Terms> {
        let next = Held { incarnation, terms, written_ms, refused_ms: None };
        let Some(held) = self.servers.get_mut(server) else {
            // Servers that name nothing take no room.
            if terms.is_empty() || self.servers.len() >= MAX_SERVERS {
                return None;
            }
            self.servers.insert(server.clone(), next);
            return Some(Terms::default());
        };
        if (incarnation, written_ms) < (held.incarnation, held.written_ms) {
            return None;
        }
        let is_same_incarnation = held.incarnation == incarnation;
        let before = if is_same_incarnation { held.terms } else { Terms::default() };
        let refused_ms = held.refused_ms.filter(|_| is_same_incarnation);
        *held = Held { refused_ms, ..next };
        (before != terms).then_some(before)
    }

    /// Returns the terms of an incarnation of a server.
    pub fn terms(&self, server: &ServerId, incarnation: Incarnation) -> Terms {
        let held = self.servers.get(server).filter(|held| held.incarnation == incarnation);
        held.map_or(Terms::default(), |held| held.terms)
    }

    /// Records that a brittle server refused a request for want of room; returns whether that is an
    /// update for other gateways.
    pub fn record_refusal(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        at_ms: u64,
    ) -> bool {
        let held = self.servers.get_mut(server).filter(|held| held.incarnation == incarnation);
        let Some(held) = held.filter(|held| held.terms.max_refusals.is_some()) else {
            return false;
        };
        let is_new = held.refused_ms.is_none_or(|before_ms| before_ms + REFUSAL_STEP_MS < at_ms);
        held.refused_ms = held.refused_ms.max(Some(at_ms));
        is_new
    }

    /// Returns whether a brittle server refused a request within a while before now.
    pub fn has_refused(&self, server: &ServerId, incarnation: Incarnation, now_ms: u64) -> bool {
        let held = self.servers.get(server).filter(|held| held.incarnation == incarnation);
        let refused_ms = held.and_then(|held| held.refused_ms);
        refused_ms.is_some_and(|at_ms| now_ms < at_ms + OVERLOAD_MS)
    }

    /// Returns until when a brittle server gets nothing after it refused a request; `None` if it may.
    pub fn refused_until_ms(
        &self,
        server: &ServerId,
        incarnation: Incarnation,
        now_ms: u64,
    ) -> Option<u64> {
        let held = self.servers.get(server).filter(|held| held.incarnation == incarnation)?;
        let pause_ms = refusal_pause_ms(held.terms.max_refusals?);
        Some(held.refused_ms? + pause_ms).filter(|until_ms| now_ms < *until_ms)
    }

    /// Returns all servers that named terms, also those that name none any more.
    pub fn reports(&self, now_ms: u64) -> Vec<TermsReport> {
        let servers = self.servers.iter();
        servers.map(|(server, held)| held.to_report(server, now_ms)).collect()
    }

    /// Returns what is known of one server's terms; `None` if it never named any.
    pub fn report(&self, server: &ServerId, now_ms: u64) -> Option<TermsReport> {
        self.servers.get(server).map(|held| held.to_report(server, now_ms))
    }

    /// Returns the servers whose terms were written before a time, with their incarnations.
    pub fn written_before(&self, before_ms: u64) -> Vec<(ServerId, Incarnation)> {
        let named = self.servers.iter().filter(|(_, held)| !held.terms.is_empty());
        let outdated = named.filter(|(_, held)| held.written_ms < before_ms);
        outdated.map(|(server, held)| (server.clone(), held.incarnation)).collect()
    }

    /// Removes servers that named nothing for a while, and those that are gone.
    pub fn expire(&mut self, is_registered: impl Fn(&ServerId) -> bool, now_ms: u64) {
        self.servers.retain(|server, held| {
            let is_current = !held.terms.is_empty() && is_registered(server);
            is_current || now_ms < held.written_ms + ENDED_TTL_MS
        });
    }
}

impl Held {
    fn to_report(self, server: &ServerId, now_ms: u64) -> TermsReport {
        TermsReport {
            server: server.clone(),
            incarnation: self.incarnation,
            terms: self.terms,
            age_ms: now_ms.saturating_sub(self.written_ms),
            refused_ago_ms: self.refused_ms.map(|at_ms| now_ms.saturating_sub(at_ms)),
        }
    }
}
