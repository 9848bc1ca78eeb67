//! A configuration as an operator writes it, with entries that share a name or a key.

use crate::blocks::DedicatedOrganisations;
use crate::configuration::{CallerLimits, Configuration, Organisation, Route, Service};
use protocol::ids::ConfigVersion;

/// An organisation with its keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WrittenOrganisation {
    /// The organisation.
    pub organisation: Organisation,
    /// Its keys.
    pub keys: Vec<String>,
}

/// One version of the configuration as it is written.
#[derive(Clone, Debug, PartialEq)]
pub struct WrittenConfiguration {
    /// Its version.
    pub version: ConfigVersion,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The organisations; `None` if no request needs a key.
    pub organisations: Option<Vec<WrittenOrganisation>>,
    /// The limits on callers.
    pub limits: CallerLimits,
}

impl From<WrittenConfiguration> for Configuration {
    /// Indexes the entries. Of those that share a name or a key, the last one counts, but an
    /// organisation is dedicated if any of its entries says so.
    fn from(written: WrittenConfiguration) -> Self {
        let by_key = |organisations: Vec<WrittenOrganisation>| {
            let keys =
                organisations.into_iter().flat_map(|WrittenOrganisation { organisation, keys }| {
                    keys.into_iter().map(move |key| (key, organisation.clone()))
                });
            keys.collect()
        };
        let organisations = written.organisations.iter().flatten();
        let dedicated = organisations
            .filter(|written| written.organisation.is_dedicated)
            .map(|written| written.organisation.id.clone())
            .collect();
        let services = written.services.into_iter();
        Self {
            version: written.version,
            routes: written.routes,
            services: services.map(|service| (service.name.clone(), service)).collect(),
            organisations_by_key: written.organisations.map(by_key),
            dedicated: DedicatedOrganisations::new(dedicated),
            limits: written.limits,
        }
    }
}
