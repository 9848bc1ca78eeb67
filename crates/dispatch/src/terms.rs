//! The terms that servers name in their answers: how much all gateways together may send to them.
//!
//! Load pattern: servers in need name a limit to whichever gateways they answer. Each gateway keeps
//! the newest terms, in the order in which the servers wrote them.

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

/// What a server wants of all gateways together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// The requests that it takes; `None` without a limit.
    pub limit: Option<RequestRate>,
}

impl Terms {
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
}

#[derive(Clone, Copy, Debug)]
struct Held {
    incarnation: Incarnation,
    terms: Terms,
    written_ms: u64,
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
        let next = Held { incarnation, terms, written_ms };
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
        *held = next;
        (before != terms).then_some(before)
    }

    /// Returns the terms of an incarnation of a server.
    pub fn terms(&self, server: &ServerId, incarnation: Incarnation) -> Terms {
        let held = self.servers.get(server).filter(|held| held.incarnation == incarnation);
        held.map_or(Terms::default(), |held| held.terms)
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
        }
    }
}
