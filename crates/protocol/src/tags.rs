//! Tags that identify organisations and services in few bytes, in messages that are sent often.

use crate::ids::{OrganisationId, ServiceName};
use crate::rendezvous;
use serde::{Deserialize, Serialize};

/// Identifies an organisation in few bytes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OrganisationTag(u32);

impl OrganisationTag {
    /// Derives the tag of an organisation; requests without one share a tag.
    pub fn new(organisation: Option<&OrganisationId>) -> Self {
        let name = organisation.map_or("", |organisation| organisation.as_str());
        Self(rendezvous::digest(name.as_bytes()) as u32)
    }
}

/// Identifies a service in few bytes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceTag(u32);

impl ServiceTag {
    /// Derives the tag of a service. Two services with the same tag share their sums.
    pub fn new(service: &ServiceName) -> Self {
        Self(rendezvous::digest(service.as_str().as_bytes()) as u32)
    }
}
