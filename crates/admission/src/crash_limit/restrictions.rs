//! Restrictions of organisations, as cached by an entry host.

use crate::refusal::Refusal;
use protocol::error::ErrorKind;
use protocol::ids::{OrganisationId, ServiceName};
use protocol::message::suspect::CrashRestriction;
use std::collections::HashMap;

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Key {
    organisation: OrganisationId,
    service: ServiceName,
}

/// How an organisation's requests to a service may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Restriction {
    /// Without restriction.
    None,
    /// Isolated, as suspects are.
    Isolated,
    /// Refused for a short time.
    Refused(Refusal),
}

#[derive(Clone, Copy, Debug, Default)]
struct Until {
    refused_ms: u64,
    isolated_ms: u64,
}

/// Holds the restrictions that an entry host received.
#[derive(Debug, Default)]
pub struct Restrictions {
    until: HashMap<Key, Until>,
}

impl Restrictions {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a restriction. A shorter restriction does not end a longer one.
    pub fn apply(&mut self, restriction: &CrashRestriction, now_ms: u64) {
        self.until.retain(|_, until| until.isolated_ms > now_ms);
        let key = Key {
            organisation: restriction.organisation.clone(),
            service: restriction.service.clone(),
        };
        let until = self.until.entry(key).or_default();
        until.refused_ms = until.refused_ms.max(now_ms + restriction.refused_for_ms);
        until.isolated_ms = until.isolated_ms.max(now_ms + restriction.isolated_for_ms);
    }

    /// Returns how an organisation's requests to a service may run.
    pub fn restriction(
        &self,
        organisation: &OrganisationId,
        service: &ServiceName,
        random: f64,
        now_ms: u64,
    ) -> Restriction {
        if self.until.is_empty() {
            return Restriction::None;
        }
        let key = Key { organisation: organisation.clone(), service: service.clone() };
        let until = self.until.get(&key).copied().unwrap_or_default();
        if until.refused_ms > now_ms {
            let remaining_ms = (until.refused_ms - now_ms) as f64;
            let refusal = Refusal::new(ErrorKind::CrashLimit).with_wait(remaining_ms, random);
            return Restriction::Refused(refusal);
        }
        if until.isolated_ms > now_ms { Restriction::Isolated } else { Restriction::None }
    }
}
