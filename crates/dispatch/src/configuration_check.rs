//! Checks a configuration before it is sent.
//!
//! A configuration that can be decoded is accepted whole by every gateway, whatever it means. This
//! finds what its author probably did not mean: entries that never match or never work, and limits that
//! contradict each other.

mod differences;
mod limits;
mod organisations;
mod routes;
mod services;

pub use crate::configuration_check::differences::{Change, Difference, differences};

use crate::configuration::written::WrittenConfiguration;
use crate::configuration_check::limits::check_limits;
use crate::configuration_check::organisations::check_organisations;
use crate::configuration_check::routes::check_routes;
use crate::configuration_check::services::check_services;
use protocol::ids::{ConfigVersion, OrganisationId, Region, ServiceName};
use std::collections::BTreeSet;
use std::fmt;

/// How bad a finding is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Severity {
    /// Requests fail, or an entry never has an effect.
    Error,
    /// Probably not meant, but it works.
    Warning,
}

impl Severity {
    /// Returns the severity's name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Severity::Error => "error",
            Severity::Warning => "warning",
        }
    }
}

/// The part of a configuration that a finding or difference is about.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Place {
    /// The version.
    Version,
    /// A route, by its position and name.
    Route(usize, String),
    /// A service.
    Service(ServiceName),
    /// An organisation.
    Organisation(OrganisationId),
    /// The limits on callers.
    Limits,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Place::Version => write!(f, "version"),
            Place::Route(index, name) => write!(f, "route {index} ({name})"),
            Place::Service(name) => write!(f, "service {name}"),
            Place::Organisation(id) => write!(f, "organisation {id}"),
            Place::Limits => write!(f, "limits"),
        }
    }
}

/// What is wrong with a part of a configuration. Keys are never named.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Problem {
    /// The version is not higher than the one in force.
    NotNewer(ConfigVersion),
    /// An earlier route takes all of its requests.
    ShadowedRoute(usize),
    /// An earlier route has the same name.
    RepeatedRouteName(usize),
    /// No request has such a host.
    UnmatchableHost,
    /// The path prefix lacks a slash at an end.
    UnmatchablePrefix,
    /// It has no service.
    NoService,
    /// It names a service that is not listed.
    UnknownService(ServiceName),
    /// It names a block store, which serves no requests.
    StoreAsService(ServiceName),
    /// A service of a split gets no requests.
    NoWeight(ServiceName),
    /// It allows no attempt.
    NoAttempt,
    /// It can be resumed, but not within one answer, as it allows one attempt.
    ResumedByCallersOnly,
    /// A time is zero.
    NoTime(&'static str),
    /// A time is longer than another one that ends it, in milliseconds.
    TimeBeyond {
        /// What cannot be reached.
        name: &'static str,
        /// Its value.
        value_ms: u64,
        /// What ends it.
        limit_name: &'static str,
        /// Its value.
        limit_ms: u64,
    },
    /// It has a gap between events and no events.
    GapWithoutEvents,
    /// It needs a key that nobody has.
    NobodyHasKey,
    /// An allowed region is none of the installation's.
    UnknownRegion(Region),
    /// Its allowed regions and those of an organisation have nothing in common.
    NoCommonRegion(OrganisationId),
    /// An earlier entry has the same name.
    RepeatedName,
    /// No route names it.
    Unused,
    /// A size or count is zero.
    Zero(&'static str),
    /// Its servers accept fewer connections than they run requests.
    FewConnections {
        /// The connections.
        connections: u32,
        /// The requests.
        slots: u32,
    },
    /// Another block store has the same address.
    SharedAddress(ServiceName),
    /// It has no key, so that none of its requests is known to be its own.
    NoKey,
    /// A key is empty.
    EmptyKey,
    /// One of its keys also belongs to another organisation.
    SharedKey(OrganisationId),
    /// One of its keys is listed more than once.
    RepeatedKey,
}

impl Problem {
    /// Returns how bad it is.
    pub const fn severity(&self) -> Severity {
        match self {
            Problem::NoWeight(_)
            | Problem::ResumedByCallersOnly
            | Problem::TimeBeyond { .. }
            | Problem::GapWithoutEvents
            | Problem::RepeatedRouteName(_)
            | Problem::Unused
            | Problem::FewConnections { .. }
            | Problem::NoKey
            | Problem::RepeatedKey => Severity::Warning,
            Problem::NotNewer(_)
            | Problem::ShadowedRoute(_)
            | Problem::UnmatchableHost
            | Problem::UnmatchablePrefix
            | Problem::NoService
            | Problem::UnknownService(_)
            | Problem::StoreAsService(_)
            | Problem::NoAttempt
            | Problem::NoTime(_)
            | Problem::NobodyHasKey
            | Problem::UnknownRegion(_)
            | Problem::NoCommonRegion(_)
            | Problem::RepeatedName
            | Problem::Zero(_)
            | Problem::SharedAddress(_)
            | Problem::EmptyKey
            | Problem::SharedKey(_) => Severity::Error,
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Problem::NotNewer(version) => {
                write!(f, "not higher than version {version}, which is in force; it is ignored")
            }
            Problem::ShadowedRoute(first) => {
                write!(f, "never matches: route {first} has the same host and path prefix")
            }
            Problem::RepeatedRouteName(first) => write!(f, "route {first} has the same name"),
            Problem::UnmatchableHost => {
                write!(f, "never matches: the host must be a name without a port")
            }
            Problem::UnmatchablePrefix => {
                write!(f, "the path prefix must begin and end with a slash")
            }
            Problem::NoService => write!(f, "has no service"),
            Problem::UnknownService(name) => write!(f, "service {name} is not listed"),
            Problem::StoreAsService(name) => {
                write!(f, "service {name} is a block store, which serves no requests")
            }
            Problem::NoWeight(name) => write!(f, "service {name} has no weight and gets nothing"),
            Problem::NoAttempt => write!(f, "allows no attempt"),
            Problem::ResumedByCallersOnly => {
                write!(f, "allows one attempt, so that gateways resume no stream themselves")
            }
            Problem::NoTime(name) => write!(f, "{name} is zero"),
            Problem::TimeBeyond { name, value_ms, limit_name, limit_ms } => {
                write!(f, "{name} of {value_ms} ms is beyond {limit_name} of {limit_ms} ms")
            }
            Problem::GapWithoutEvents => write!(f, "has a gap between events, but no events"),
            Problem::NobodyHasKey => write!(f, "needs a key, and no organisation has one"),
            Problem::UnknownRegion(region) => {
                write!(f, "allowed region {region} is none of the installation")
            }
            Problem::NoCommonRegion(id) => {
                write!(f, "refuses all requests of organisation {id}: no region is allowed by both")
            }
            Problem::RepeatedName => write!(f, "an earlier entry has the same name"),
            Problem::Unused => write!(f, "no route names it"),
            Problem::Zero(name) => write!(f, "{name} is zero"),
            Problem::FewConnections { connections, slots } => write!(
                f,
                "a server accepts {connections} connections and runs {slots} requests at once"
            ),
            Problem::SharedAddress(name) => write!(f, "service {name} has the same address"),
            Problem::NoKey => write!(f, "has no key"),
            Problem::EmptyKey => write!(f, "has an empty key"),
            Problem::SharedKey(id) => write!(f, "organisation {id} has one of its keys too"),
            Problem::RepeatedKey => write!(f, "lists a key more than once"),
        }
    }
}

/// A problem and its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Where it is.
    pub place: Place,
    /// What is wrong.
    pub problem: Problem,
}

/// What a configuration is checked against.
#[derive(Clone, Copy, Debug, Default)]
pub struct Surroundings<'a> {
    /// The version in force.
    pub in_force: Option<&'a WrittenConfiguration>,
    /// The regions of the installation; `None` if they are not known.
    pub regions: Option<&'a BTreeSet<Region>>,
}

/// Returns the problems of a configuration: those of routes, services, organisations and limits, in the
/// order in which they are written.
pub fn check(
    configuration: &WrittenConfiguration,
    surroundings: &Surroundings<'_>,
) -> Vec<Finding> {
    let mut findings = Vec::new();
    if let Some(in_force) = surroundings.in_force
        && configuration.version <= in_force.version
    {
        let problem = Problem::NotNewer(in_force.version);
        findings.push(Finding { place: Place::Version, problem });
    }
    findings.extend(check_routes(configuration, surroundings));
    findings.extend(check_services(configuration));
    findings.extend(check_organisations(configuration, surroundings));
    findings.extend(check_limits(&configuration.limits));
    findings
}

/// Returns the allowed regions that the installation does not have.
fn unknown_regions<'a>(
    allowed: &'a [Region],
    surroundings: &'a Surroundings<'_>,
) -> impl Iterator<Item = Problem> + 'a {
    let known = surroundings.regions;
    let unknown =
        allowed.iter().filter(move |region| known.is_some_and(|known| !known.contains(*region)));
    unknown.cloned().map(Problem::UnknownRegion)
}
