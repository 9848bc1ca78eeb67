//! Which organisations share cached blocks.
//!
//! An organisation may become dedicated at any time. The blocks that it made before stay under the
//! salt under which it made them, so the others leave that salt: their scope names the organisations
//! that are dedicated, none of which has made a block under it. `docs/design/dedicated-organisations.md`
//! compares this with other ways.

use protocol::ids::OrganisationId;
use std::collections::BTreeSet;
use std::fmt;

const DIGEST_CONTEXT: &str = "camphorward 2026 dedicated organisations";

/// Identifies a set of dedicated organisations that is not empty.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct DedicatedDigest(u64);

impl DedicatedDigest {
    fn new(names: &BTreeSet<OrganisationId>) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(DIGEST_CONTEXT);
        for name in names {
            hasher.update(name.as_str().as_bytes());
            // No name contains the separator.
            hasher.update(b"/");
        }
        let mut digest = [0; size_of::<u64>()];
        hasher.finalize_xof().fill(&mut digest);
        Self(u64::from_be_bytes(digest))
    }
}

impl fmt::Display for DedicatedDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The organisations that find each other's cached blocks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SharingScope {
    /// All organisations but the dedicated ones, which the digest identifies; `None` if there are
    /// none.
    Shared(Option<DedicatedDigest>),
    /// A dedicated organisation alone.
    Dedicated(OrganisationId),
}

impl fmt::Display for SharingScope {
    /// Writes the scope as a field of a salt. Names of organisations do not contain `~`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SharingScope::Shared(None) => Ok(()),
            SharingScope::Shared(Some(digest)) => write!(f, "~{digest}"),
            SharingScope::Dedicated(organisation) => organisation.fmt(f),
        }
    }
}

/// The organisations of a configuration that share no cached blocks with others.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DedicatedOrganisations {
    names: BTreeSet<OrganisationId>,
    digest: Option<DedicatedDigest>,
}

impl DedicatedOrganisations {
    /// Creates the set.
    pub fn new(names: BTreeSet<OrganisationId>) -> Self {
        let digest = (!names.is_empty()).then(|| DedicatedDigest::new(&names));
        Self { names, digest }
    }

    /// Returns the names in order.
    pub const fn names(&self) -> &BTreeSet<OrganisationId> {
        &self.names
    }

    /// Returns the scope of an organisation, or of requests that belong to none.
    pub fn scope(&self, organisation: Option<&OrganisationId>) -> SharingScope {
        match organisation {
            Some(organisation) if self.names.contains(organisation) => {
                SharingScope::Dedicated(organisation.clone())
            }
            _ => SharingScope::Shared(self.digest),
        }
    }
}
