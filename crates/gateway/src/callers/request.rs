//! Reads a caller's request: route, identity, body and prompt.

use crate::answer::{AnswerBody, Refusal, strip_hop_headers};
use crate::callers::body::{self, BodyLimits, UnreadBody};
use crate::callers::resumed::{self, StreamTarget};
use crate::event;
use crate::memory::Purpose;
use crate::node::{InForce, Node};
use bytes::Bytes;
use dispatch::blocks::SharingScope;
use dispatch::configuration::Route;
use dispatch::crashes::{ContentKey, Feature, Features};
use dispatch::eligibility::AllowedRegions;
use dispatch::request::{Prompt, RequestSpec};
use dispatch::routes::{self, Identity};
use dispatch::streams::{StreamKey, StreamOrigin};
use http::header::{AUTHORIZATION, EXPECT, HOST};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response};
use http_body::Body;
use hyper::body::Incoming;
use platform::headers::{
    DEADLINE_MS, MODEL, ORGANISATION, PROMPT_SEGMENTS, REQUEST_ID, RESERVED, TOKEN_COUNT,
};
use platform::prompt;
use protocol::ids::Region;
use rand::Rng;
use smallvec::SmallVec;
use std::sync::Arc;
use std::time::Duration;

/// How long a caller without a deadline header is assumed to wait, in milliseconds. Once the route
/// is determined, its timeout applies too.
const DEFAULT_CALLER_TIMEOUT_MS: u64 = 30_000;
/// The longest time that a caller's deadline counts for, in milliseconds: one day.
const MAX_CALLER_TIMEOUT_MS: f64 = 86_400_000.0;

/// A refused request.
#[derive(Debug)]
pub struct Refused {
    /// The answer.
    pub answer: Response<AnswerBody>,
    /// The rest of the body, if its sender goes on sending.
    pub unread: Option<UnreadBody>,
    /// Whether the connection closes after the answer.
    pub is_last: bool,
}

impl Refused {
    const fn new(answer: Response<AnswerBody>) -> Self {
        Self { answer, unread: None, is_last: false }
    }
}

/// A valid request, to be forwarded.
#[derive(Debug)]
pub struct CallerRequest {
    /// Its id, as the caller sent it.
    pub id: HeaderValue,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: String,
    /// Its headers for the server, without those that the gateway sets on each attempt.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The configuration under which it was read.
    pub in_force: Arc<InForce>,
    /// Its route.
    pub route: Route,
    /// Its requirements.
    pub spec: RequestSpec,
    /// The regions that its organisation allows; empty allows all.
    organisation_regions: SmallVec<[Region; 2]>,
    /// The key that identifies its content if it is sent again.
    pub content: ContentKey,
    /// The stream that its answer begins or takes up again.
    pub stream: StreamKey,
    /// What began the stream that it takes up again; `None` for a new one.
    pub origin: Option<StreamOrigin>,
    /// When it arrived, on the node's clock.
    pub arrived_ms: u64,
    /// When the route's timeout passes, on the node's clock.
    pub route_deadline_at_ms: u64,
}

impl CallerRequest {
    /// Returns the id as text, for logs.
    pub fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("unprintable")
    }

    /// Returns what it may have in common with others under which servers crash.
    pub fn features(&self) -> Features {
        let segments = self.spec.prompt.iter().flat_map(Feature::segments);
        let segments = segments.map(|(feature, _)| feature);
        let mut features: Features =
            [Feature::content(&self.content)].into_iter().chain(segments).collect();
        features.sort_unstable();
        features.dedup();
        features
    }

    /// Returns the segments of its prompt that are among some features, for logs.
    pub fn segments_of(&self, features: &Features) -> Vec<String> {
        let segments = self.spec.prompt.iter().flat_map(Feature::segments);
        let found = segments.filter(|(feature, _)| features.contains(feature));
        found.map(|(_, segment)| segment.to_string()).collect()
    }

    /// Returns the regions in which it may be served, cached and stored, by the configuration that is
    /// in force now.
    pub fn allowed_regions(&self, node: &Node) -> AllowedRegions {
        let regions = &self.organisation_regions;
        match node.in_force() {
            Some(current) if !Arc::ptr_eq(&current, &self.in_force) => {
                let organisation = self.spec.organisation.as_ref().map(|id| (id, &regions[..]));
                AllowedRegions::in_configuration(&current.configuration, &self.route, organisation)
            }
            _ => AllowedRegions::new(&self.route.allowed_regions, regions),
        }
    }

    /// Returns the organisations with which it shares cached blocks, by the configuration that is in
    /// force now. An organisation that was dedicated when the request was read shares none of its
    /// blocks, even if it is listed no more.
    pub fn sharing_scope(&self, node: &Node) -> SharingScope {
        let organisation = self.spec.organisation.as_ref();
        let read = self.in_force.configuration.dedicated.scope(organisation);
        match (&read, node.in_force()) {
            (SharingScope::Shared(_), Some(current)) => {
                current.configuration.dedicated.scope(organisation)
            }
            _ => read,
        }
    }

    /// Returns the text of one of its headers.
    pub fn header_text(&self, name: &HeaderName) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the time until the deadline, in milliseconds.
    pub const fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.spec.deadline_at_ms.saturating_sub(now_ms)
    }

    /// Reads a complete request and determines its route and organisation.
    ///
    /// # Errors
    ///
    /// Returns the answer that refuses it.
    pub async fn read(
        node: &Node,
        request: Request<Incoming>,
        caller_deadline_at_ms: u64,
    ) -> Result<Self, Box<Refused>> {
        let arrived_ms = node.now_ms();
        let id = request.headers().get(REQUEST_ID).cloned();
        let refuse = |refusal| Box::new(Refused::new(refuse(node, id.as_ref(), refusal)));
        let Some(in_force) = node.in_force() else {
            return Err(refuse(Refusal::NoConfiguration));
        };
        let route = find_route(&in_force, &request).ok_or_else(|| refuse(Refusal::NoRoute))?;
        let identity = identify(&in_force, route, request.headers());
        let organisation = match identity {
            Identity::Unknown => return Err(refuse(Refusal::UnknownKey)),
            Identity::Anonymous => None,
            Identity::Known(organisation) => Some(organisation.clone()),
        };
        let Some(id) = id.clone() else {
            return Err(refuse(Refusal::Malformed));
        };
        let prompt = parse_prompt(request.headers()).map_err(|()| refuse(Refusal::Malformed))?;
        let target = request.uri().path_and_query().map_or("/", |target| target.as_str());
        let target = target.to_owned();
        let route = route.clone();
        let resolving =
            resumed::resolve(node, &in_force.configuration, &route, &id, request.headers());
        let target_stream = tokio::select! {
            biased;
            target_stream = resolving => target_stream,
            () = node.ending() => Err(Refusal::ShuttingDown),
        };
        let StreamTarget { stream, origin, service } = target_stream.map_err(refuse)?;
        let route_deadline_at_ms = arrived_ms + route.timeout_ms;
        let (head, body) = request.into_parts();
        let has_organisations = in_force.configuration.organisations_by_key.is_some();
        let awaits_permission = head.headers.contains_key(EXPECT);
        let headers = server_headers(head.headers, organisation.as_ref(), has_organisations);
        let deadline_at_ms = caller_deadline_at_ms.min(route_deadline_at_ms);
        let remaining_ms = deadline_at_ms.saturating_sub(node.now_ms());
        let limits = &in_force.configuration.limits;
        let limits = BodyLimits::new(limits, Duration::from_millis(remaining_ms));
        let body = read_body(node, body, limits, awaits_permission).await;
        let body = body.map_err(|(refusal, unread)| {
            let may_resend = matches!(refusal, Refusal::NoMemory | Refusal::ShuttingDown);
            let retry_after_ms = may_resend.then(|| resend_delay_ms(remaining_ms));
            let answer = refuse_until(node, Some(&id), refusal, retry_after_ms);
            Box::new(Refused { answer, unread, is_last: true })
        })?;
        let organisation_name =
            organisation.as_ref().map_or("", |organisation| organisation.id.as_str());
        let content = ContentKey::new(&target, organisation_name, &body);
        let organisation_regions = organisation
            .as_ref()
            .map(|organisation| organisation.allowed_regions.clone())
            .unwrap_or_default();
        let spec = RequestSpec {
            service,
            kind: route.kind,
            priority: organisation
                .as_ref()
                .and_then(|organisation| organisation.priority)
                .unwrap_or(route.priority),
            route_priority: route.priority,
            organisation: organisation.map(|organisation| organisation.id),
            body_bytes: body.len(),
            prompt,
            objective_at_ms: arrived_ms + route.objective_ms,
            deadline_at_ms,
        };
        let method = head.method;
        Ok(Self {
            id,
            method,
            target,
            headers,
            body,
            in_force,
            route,
            spec,
            organisation_regions,
            content,
            stream,
            origin,
            arrived_ms,
            route_deadline_at_ms,
        })
    }
}

/// Refuses a request, with a log line and a count.
pub fn refuse(node: &Node, id: Option<&HeaderValue>, refusal: Refusal) -> Response<AnswerBody> {
    /// The delay after which a caller should retry while the gateway has no configuration, in
    /// milliseconds.
    const NO_CONFIGURATION_RETRY_MS: u64 = 300;
    let retry_after_ms = (refusal == Refusal::NoConfiguration).then_some(NO_CONFIGURATION_RETRY_MS);
    refuse_until(node, id, refusal, retry_after_ms)
}

/// Refuses a request for whose head there is no memory.
pub fn refuse_head(
    node: &Node,
    request: Request<Incoming>,
    caller_deadline_at_ms: u64,
) -> Box<Refused> {
    node.metrics.count("memory_refusals", Purpose::Heads.as_str());
    let id = request.headers().get(REQUEST_ID).cloned();
    let awaits_permission = request.headers().contains_key(EXPECT);
    let remaining_ms = caller_deadline_at_ms.saturating_sub(node.now_ms());
    let retry_after_ms = Some(resend_delay_ms(remaining_ms));
    let answer = refuse_until(node, id.as_ref(), Refusal::NoMemory, retry_after_ms);
    let limit_bytes =
        node.in_force().map_or(0, |in_force| in_force.configuration.limits.max_body_bytes);
    let unread = UnreadBody { body: request.into_body(), limit_bytes };
    let unread = (!awaits_permission).then_some(unread);
    Box::new(Refused { answer, unread, is_last: true })
}

/// Refuses a request that may come again after a delay, with a log line and a count.
fn refuse_until(
    node: &Node,
    id: Option<&HeaderValue>,
    refusal: Refusal,
    retry_after_ms: Option<u64>,
) -> Response<AnswerBody> {
    node.metrics.count("refusals", refusal.as_str());
    event!(warn, node.now_ms(), "request_refused", {
        "request": id.and_then(|id| id.to_str().ok()),
        "reason": refusal.as_str(),
        "status": refusal.status().as_u16(),
        "configuration": node.in_force().map(|held| held.configuration.version.value()),
        "store_age_ms": node.store_age_ms(),
        "retry_after_ms": retry_after_ms,
    });
    refusal.answer(retry_after_ms)
}

/// Returns a random delay after which a caller should send its body again. Callers honour a delay of
/// up to a third of their remaining time.
fn resend_delay_ms(remaining_ms: u64) -> u64 {
    /// The bounds of the delay, in milliseconds. Large bodies take seconds to arrive.
    const MIN_MS: u64 = 150;
    const MAX_MS: u64 = 3_000;
    rand::rng().random_range(MIN_MS..(remaining_ms / 4).clamp(MIN_MS + 1, MAX_MS))
}

/// Returns how long the caller waits for the answer, in milliseconds.
pub fn caller_timeout_ms<B>(request: &Request<B>) -> u64 {
    let text = request.headers().get(DEADLINE_MS).and_then(|value| value.to_str().ok());
    let deadline_ms = text.and_then(|text| text.trim().parse::<f64>().ok());
    deadline_ms.map_or(DEFAULT_CALLER_TIMEOUT_MS, |deadline_ms| {
        deadline_ms.clamp(0.0, MAX_CALLER_TIMEOUT_MS) as u64
    })
}

fn find_route<'a>(in_force: &'a InForce, request: &Request<Incoming>) -> Option<&'a Route> {
    let authority = request.headers().get(HOST).and_then(|host| host.to_str().ok());
    let authority = authority.or_else(|| request.uri().host()).unwrap_or("");
    in_force.routes.find(&in_force.configuration, authority, request.uri().path())
}

fn identify<'a>(in_force: &'a InForce, route: &Route, headers: &HeaderMap) -> Identity<'a> {
    let text = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = text
        .and_then(|text| text.split_once(' '))
        .and_then(|(scheme, key)| scheme.eq_ignore_ascii_case("bearer").then(|| key.trim()));
    routes::identify(&in_force.configuration, route, key)
}

fn parse_prompt(headers: &HeaderMap) -> Result<Option<Prompt>, ()> {
    let text = |name| headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
    let (Some(model), Some(count)) = (text(MODEL), text(TOKEN_COUNT)) else {
        return Ok(None);
    };
    let model = model.parse().map_err(|_| ())?;
    prompt::parse_prompt(model, count, text(PROMPT_SEGMENTS)).map(Some).map_err(|_| ())
}

fn server_headers(
    mut headers: HeaderMap,
    organisation: Option<&dispatch::configuration::Organisation>,
    has_organisations: bool,
) -> HeaderMap {
    strip_hop_headers(&mut headers);
    for name in RESERVED {
        headers.remove(name);
    }
    headers.remove(EXPECT);
    headers.remove(DEADLINE_MS);
    if has_organisations {
        headers.remove(AUTHORIZATION);
    }
    let name =
        organisation.and_then(|organisation| HeaderValue::from_str(organisation.id.as_str()).ok());
    if let Some(name) = name {
        headers.insert(ORGANISATION, name);
    }
    headers
}

/// Reads a body.
///
/// # Errors
///
/// Returns why there is none, and what its sender goes on sending: nothing if it awaits permission to
/// send, which it does not get.
async fn read_body(
    node: &Node,
    mut body: Incoming,
    limits: BodyLimits,
    awaits_permission: bool,
) -> Result<Bytes, (Refusal, Option<UnreadBody>)> {
    let announced = body.size_hint().exact();
    let read = tokio::select! {
        biased;
        read = body::read(&mut body, &node.memory, limits) => read,
        () = node.ending() => Err(Refusal::ShuttingDown),
    };
    let refusal = match read {
        Ok(bytes) => return Ok(bytes),
        Err(refusal) => refusal,
    };
    if refusal == Refusal::NoMemory {
        let kind =
            announced.map_or("without_length", |bytes| Purpose::body(bytes as usize).as_str());
        node.metrics.count("memory_refusals", kind);
    }
    let is_refused_unread =
        matches!(refusal, Refusal::NoMemory | Refusal::BodyTooLarge | Refusal::ShuttingDown);
    let is_unsent = awaits_permission && announced.is_some();
    let unread = UnreadBody { body, limit_bytes: limits.size_bytes };
    Err((refusal, (is_refused_unread && !is_unsent).then_some(unread)))
}
