//! Lookup tables for the services text in force.

use protocol::ids::{ConfigVersion, FailureDomain, OrganisationId, Region, ServiceName};
use settings::services::{
    ModelService, OrderService, ServiceEntry, ServiceKind, ServicesText, StoreService,
    VersionedServices,
};
use std::collections::HashMap;

/// Lookup tables by key digest, model and service name.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    version: ConfigVersion,
    text: ServicesText,
    organisations: HashMap<String, OrganisationId>,
    shares: HashMap<OrganisationId, u32>,
    services: HashMap<ServiceName, usize>,
    models: HashMap<String, usize>,
}

impl Directory {
    /// Creates the directory of one version.
    pub fn new(in_force: &VersionedServices) -> Self {
        let text = in_force.services.clone();
        let organisations = text
            .organisations
            .iter()
            .flat_map(|entry| entry.key_digests.iter().map(|key| (key.clone(), entry.name.clone())))
            .collect();
        let shares = text.organisations.iter().map(|entry| (entry.name.clone(), entry.share));
        let shares = shares.collect();
        let indexed = text.services.iter().enumerate();
        let services = indexed.clone().map(|(i, entry)| (entry.name.clone(), i)).collect();
        let models = indexed.filter_map(|(i, entry)| Some((model_name(entry)?, i))).collect();
        Self { version: in_force.version, text, organisations, shares, services, models }
    }

    /// Returns the version, or zero before the first configuration.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the organisation that a bearer key belongs to.
    pub fn organisation(&self, bearer_key: &str) -> Option<&OrganisationId> {
        let digest = blake3::hash(bearer_key.as_bytes()).to_hex();
        self.organisations.get(digest.as_str())
    }

    /// Returns an organisation's weight in fair shares.
    pub fn share(&self, organisation: &OrganisationId) -> u32 {
        self.shares.get(organisation).copied().unwrap_or(1)
    }

    /// Returns the service that serves a model.
    pub fn model(&self, model: &str) -> Option<(&ServiceName, &ModelService)> {
        let entry = &self.text.services[*self.models.get(model)?];
        match &entry.kind {
            ServiceKind::Model(service) => Some((&entry.name, service)),
            ServiceKind::Order(_) | ServiceKind::Store(_) => None,
        }
    }

    /// Returns the model service with a name.
    pub fn model_service(&self, name: &ServiceName) -> Option<&ModelService> {
        match &self.service(name)?.kind {
            ServiceKind::Model(service) => Some(service),
            ServiceKind::Order(_) | ServiceKind::Store(_) => None,
        }
    }

    /// Returns the order service with a name.
    pub fn order_service(&self, name: &ServiceName) -> Option<&OrderService> {
        match &self.service(name)?.kind {
            ServiceKind::Order(service) => Some(service),
            ServiceKind::Model(_) | ServiceKind::Store(_) => None,
        }
    }

    /// Returns the store service with a name.
    pub fn store_service(&self, name: &ServiceName) -> Option<&StoreService> {
        match &self.service(name)?.kind {
            ServiceKind::Store(service) => Some(service),
            ServiceKind::Model(_) | ServiceKind::Order(_) => None,
        }
    }

    /// Returns all model services.
    pub fn models(&self) -> impl Iterator<Item = (&ServiceName, &ModelService)> {
        self.text.services.iter().filter_map(|entry| match &entry.kind {
            ServiceKind::Model(service) => Some((&entry.name, service)),
            ServiceKind::Order(_) | ServiceKind::Store(_) => None,
        })
    }

    /// Returns the region of a failure domain.
    pub fn region_of(&self, domain: &FailureDomain) -> Option<&Region> {
        let has_domain =
            |region: &&settings::services::RegionEntry| region.domains.contains(domain);
        self.text.regions.iter().find(has_domain).map(|region| &region.name)
    }

    /// Returns the complete text.
    pub fn text(&self) -> &ServicesText {
        &self.text
    }

    fn service(&self, name: &ServiceName) -> Option<&ServiceEntry> {
        self.services.get(name).map(|index| &self.text.services[*index])
    }
}

fn model_name(entry: &ServiceEntry) -> Option<String> {
    match &entry.kind {
        ServiceKind::Model(service) => Some(service.model.to_string()),
        ServiceKind::Order(_) | ServiceKind::Store(_) => None,
    }
}
