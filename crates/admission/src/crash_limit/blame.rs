//! Blame for deaths that no single request is known to have caused.

use protocol::ids::{HostName, Incarnation, OrganisationId};
use protocol::message::suspect::{SuspectDigest, SuspectReport};
use smallvec::SmallVec;
use std::collections::BTreeMap;

/// How long a death is held against those near it, in milliseconds.
const BLAME_LIFE_MS: u64 = 60_000;

#[derive(Debug)]
struct Suspect {
    organisation: OrganisationId,
    digest: SuspectDigest,
}

#[derive(Debug)]
struct Death {
    server: HostName,
    incarnation: Incarnation,
    at_ms: u64,
    suspects: Vec<Suspect>,
}

impl Death {
    /// Returns the organisations that still have a suspect near this death.
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

/// Holds the recent deaths and the suspects near them.
#[derive(Debug, Default)]
pub(super) struct BlameTable {
    deaths: Vec<Death>,
}

impl BlameTable {
    pub(super) fn add(&mut self, report: &SuspectReport, now_ms: u64) {
        let suspect = Suspect { organisation: report.organisation.clone(), digest: report.digest };
        let known = self
            .deaths
            .iter_mut()
            .find(|death| death.server == report.server && death.incarnation == report.incarnation);
        match known {
            Some(death) if death.suspects.iter().any(|known| known.digest == report.digest) => {}
            Some(death) => death.suspects.push(suspect),
            None => self.deaths.push(Death {
                server: report.server.clone(),
                incarnation: report.incarnation,
                at_ms: now_ms,
                suspects: vec![suspect],
            }),
        }
    }

    pub(super) fn remove(&mut self, digest: &SuspectDigest) {
        for death in &mut self.deaths {
            death.suspects.retain(|suspect| suspect.digest != *digest);
        }
    }

    pub(super) fn remove_death(&mut self, server: &HostName, incarnation: Incarnation) {
        self.deaths.retain(|death| death.server != *server || death.incarnation != incarnation);
    }

    pub(super) fn expire(&mut self, now_ms: u64) {
        self.deaths.retain(|death| now_ms.saturating_sub(death.at_ms) < BLAME_LIFE_MS);
    }

    /// Lays the deaths near which an organisation's requests ran on it alone; returns the suspects
    /// of the others.
    pub(super) fn take_others(&mut self, organisation: &OrganisationId) -> Vec<SuspectDigest> {
        let is_own = |suspect: &Suspect| suspect.organisation == *organisation;
        let near = self.deaths.iter_mut().filter(|death| death.suspects.iter().any(is_own));
        let mut others = Vec::new();
        for death in near {
            let others_here = death.suspects.extract_if(.., |suspect| !is_own(suspect));
            others.extend(others_here.map(|suspect| suspect.digest));
        }
        others
    }

    /// Returns the organisations whose shares of all deaths reach a limit.
    pub(super) fn organisations_from(&self, limit: f64) -> SmallVec<[OrganisationId; 1]> {
        let mut blame: BTreeMap<&OrganisationId, f64> = BTreeMap::new();
        for death in &self.deaths {
            let organisations = death.organisations();
            let share = 1.0 / organisations.len().max(1) as f64;
            for organisation in organisations {
                *blame.entry(organisation).or_default() += share;
            }
        }
        let blamed = blame.into_iter().filter(|(_, shares)| *shares >= limit);
        blamed.map(|(organisation, _)| organisation.clone()).collect()
    }
}
