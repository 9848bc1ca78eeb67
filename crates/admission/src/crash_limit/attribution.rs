//! Attribution of server crashes that no single request is confirmed to have caused.

use protocol::ids::{HostName, Incarnation, OrganisationId};
use protocol::message::suspect::{SuspectDigest, SuspectReport};
use smallvec::SmallVec;
use std::collections::BTreeMap;

/// The time for which a crash counts against the organisations whose requests ran there, in
/// milliseconds.
const ATTRIBUTION_EXPIRY_MS: u64 = 60_000;

#[derive(Debug)]
struct Suspect {
    organisation: OrganisationId,
    digest: SuspectDigest,
}

#[derive(Debug)]
struct Crash {
    server: HostName,
    incarnation: Incarnation,
    at_ms: u64,
    suspects: Vec<Suspect>,
}

impl Crash {
    /// Returns the organisations that still have a suspect for this crash.
    fn organisations(&self) -> SmallVec<[&OrganisationId; 4]> {
        let mut organisations = SmallVec::new();
        for suspect in &self.suspects {
            if !organisations.contains(&&suspect.organisation) {
                organisations.push(&suspect.organisation);
            }
        }
        organisations
    }
}

/// Holds the recent crashes with their suspects.
#[derive(Debug, Default)]
pub(super) struct AttributionTable {
    crashes: Vec<Crash>,
}

impl AttributionTable {
    pub(super) fn add(&mut self, report: &SuspectReport, now_ms: u64) {
        let suspect = Suspect { organisation: report.organisation.clone(), digest: report.digest };
        let existing = self
            .crashes
            .iter_mut()
            .find(|crash| crash.server == report.server && crash.incarnation == report.incarnation);
        match existing {
            Some(crash) if crash.suspects.iter().any(|other| other.digest == report.digest) => {}
            Some(crash) => crash.suspects.push(suspect),
            None => self.crashes.push(Crash {
                server: report.server.clone(),
                incarnation: report.incarnation,
                at_ms: now_ms,
                suspects: vec![suspect],
            }),
        }
    }

    pub(super) fn remove(&mut self, digest: &SuspectDigest) {
        for crash in &mut self.crashes {
            crash.suspects.retain(|suspect| suspect.digest != *digest);
        }
    }

    pub(super) fn remove_crash(&mut self, server: &HostName, incarnation: Incarnation) {
        self.crashes.retain(|crash| crash.server != *server || crash.incarnation != incarnation);
    }

    pub(super) fn expire(&mut self, now_ms: u64) {
        self.crashes.retain(|crash| now_ms.saturating_sub(crash.at_ms) < ATTRIBUTION_EXPIRY_MS);
    }

    /// Attributes all crashes for which an organisation has a suspect to that organisation alone.
    ///
    /// Returns the removed suspects of other organisations.
    pub(super) fn remove_other_suspects(
        &mut self,
        organisation: &OrganisationId,
    ) -> Vec<SuspectDigest> {
        let is_of_organisation = |suspect: &Suspect| suspect.organisation == *organisation;
        let matching =
            self.crashes.iter_mut().filter(|crash| crash.suspects.iter().any(is_of_organisation));
        let mut others = Vec::new();
        for crash in matching {
            let removed = crash.suspects.extract_if(.., |suspect| !is_of_organisation(suspect));
            others.extend(removed.map(|suspect| suspect.digest));
        }
        others
    }

    /// Returns the organisations whose shares of all crashes sum to at least `limit`.
    pub(super) fn organisations_at_limit(&self, limit: f64) -> SmallVec<[OrganisationId; 1]> {
        let mut shares: BTreeMap<&OrganisationId, f64> = BTreeMap::new();
        for crash in &self.crashes {
            let organisations = crash.organisations();
            let share = 1.0 / organisations.len().max(1) as f64;
            for organisation in organisations {
                *shares.entry(organisation).or_default() += share;
            }
        }
        let at_limit = shares.into_iter().filter(|(_, shares)| *shares >= limit);
        at_limit.map(|(organisation, _)| organisation.clone()).collect()
    }
}
