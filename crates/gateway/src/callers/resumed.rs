//! Streams that callers take up again after a broken connection.

use crate::answer::Refusal;
use crate::event;
use crate::node::Node;
use crate::peers;
use dispatch::configuration::{Configuration, Route, RouteKind};
use dispatch::routes;
use dispatch::software_history::UnknownOrigin;
use dispatch::streams::{StreamKey, StreamOrigin};
use http::{HeaderMap, HeaderValue};
use platform::headers::{LAST_EVENT_ID, RESUMES};
use protocol::ids::ServiceName;

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
    if let Some(stream) = stream
        && let Some(origin) = peers::find_stream_origin(node, stream).await
    {
        return Some(origin);
    }
    let found = match node.history_queries.read().await {
        Some(reading) => {
            let (history, era) = &*reading;
            let registered = node.state().registry.software();
            // The route may have named another service when the stream began.
            let may_have_begun =
                |other: &ServiceName| other == service || may_stream(configuration, other);
            history.only_origin(*era, registered, service, may_have_begun)
        }
        None => Err(UnknownOrigin::HistoryUnread),
    };
    let result = found.as_ref().map_or_else(|unknown| unknown.as_str(), |_| "only_version");
    node.metrics.count("streams", result);
    event!(info, node.now_ms(), "stream_without_record", {
        "service": service.as_str(),
        "result": result,
        "software": found.as_ref().ok().map(|origin| origin.software.as_str()),
    });
    found.ok()
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
