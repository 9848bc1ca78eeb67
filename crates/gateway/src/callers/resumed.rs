//! Streams that callers take up again after a broken connection.

use crate::answer::Refusal;
use crate::node::Node;
use crate::peers;
use dispatch::configuration::{Configuration, Route, RouteKind};
use dispatch::registry::SoftwareVersion;
use dispatch::routes;
use dispatch::streams::{self, StreamKey, StreamOrigin, Unknown};
use http::{HeaderMap, HeaderValue};
use platform::headers::{LAST_EVENT_ID, RESUMES};
use protocol::ids::ServiceName;
use std::collections::BTreeSet;

/// The age of the store's cached state up to which the registry lists all software versions in use,
/// in milliseconds.
const MAX_REGISTRY_AGE_MS: u64 = 2_600;

/// Where a request goes, and the stream that its answer belongs to.
#[derive(Debug)]
pub struct StreamTarget {
    /// The stream that the answer begins or continues.
    pub stream: StreamKey,
    /// What began the stream; `None` for a new one.
    pub origin: Option<StreamOrigin>,
    /// The service.
    pub service: ServiceName,
}

/// Picks the service of a request: for a stream that is taken up again the one that began it, if
/// the route still leads there.
///
/// # Errors
///
/// Returns a refusal if the route has no service, or if nobody can tell what began the stream.
pub async fn resolve(
    node: &Node,
    configuration: &Configuration,
    route: &Route,
    id: &HeaderValue,
    headers: &HeaderMap,
) -> Result<StreamTarget, Refusal> {
    let service = routes::pick_service(&route.services, spread(id)).cloned();
    let service = service.ok_or(Refusal::NoServer)?;
    if route.kind != RouteKind::ResumableStream || !headers.contains_key(LAST_EVENT_ID) {
        return Ok(StreamTarget { stream: StreamKey::new(id.as_bytes()), origin: None, service });
    }
    let resumed = headers.get(RESUMES).map(|attempt| StreamKey::new(attempt.as_bytes()));
    let origin = find_origin(node, configuration, resumed, &service).await;
    let origin = origin.ok_or(Refusal::UnknownStream)?;
    let is_on_route = route.services.iter().any(|entry| entry.service == origin.service);
    Ok(StreamTarget {
        stream: resumed.unwrap_or_else(|| StreamKey::new(id.as_bytes())),
        service: if is_on_route { origin.service.clone() } else { service },
        origin: Some(origin),
    })
}

/// Returns what began a stream; `None` if that is unknown.
async fn find_origin(
    node: &Node,
    configuration: &Configuration,
    stream: Option<StreamKey>,
    service: &ServiceName,
) -> Option<StreamOrigin> {
    let unknown = match stream {
        Some(stream) => match peers::find_stream_origin(node, stream).await {
            Ok(origin) => return Some(origin),
            Err(unknown) => unknown,
        },
        None => Unknown::ToSome,
    };
    let is_fresh = node.store_age_ms().is_some_and(|age_ms| age_ms < MAX_REGISTRY_AGE_MS);
    let now_ms = node.now_ms();
    let state = node.state();
    // The route may have named another service when the stream began.
    let services = state.registry.recent_services(now_ms).into_iter();
    let services = services.filter(|other| *other == service || may_stream(configuration, other));
    let versions: BTreeSet<SoftwareVersion> =
        services.flat_map(|other| state.registry.software_versions(other, now_ms)).collect();
    let versions: Vec<SoftwareVersion> = versions.into_iter().collect();
    streams::origin_without_record(service, &versions, unknown, is_fresh)
}

/// Returns whether a service may have begun streams; one that is no longer configured may.
fn may_stream(configuration: &Configuration, service: &ServiceName) -> bool {
    configuration.services.get(service).is_none_or(|service| service.engines().is_some())
}

/// Returns a hash of a request's id, which distributes requests evenly.
fn spread(id: &HeaderValue) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    id.as_bytes().hash(&mut hasher);
    hasher.finish()
}
