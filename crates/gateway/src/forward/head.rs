//! The request as it is sent to a server.

use crate::callers::CallerRequest;
use crate::forward::place::Placed;
use crate::node::Node;
use bytes::Bytes;
use http::{HeaderValue, Request};
use http_body_util::Full;
use platform::headers::{
    CACHE_SALT, DEADLINE_MS, ENGINE_PRIORITY, EXPECT_SERVER, EXPECT_WEIGHTS, FETCH_BLOCKS,
    FETCH_UNTIL, LAST_EVENT_ID, SAVE_BLOCKS,
};
use platform::prompt;

/// Builds the request for the chosen server.
pub fn build(
    caller: &CallerRequest,
    placed: &Placed,
    last_event_id: Option<&str>,
    node: &Node,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(caller.body.clone()));
    *request.method_mut() = caller.method.clone();
    *request.uri_mut() = caller.target.parse().unwrap_or_default();
    let headers = request.headers_mut();
    *headers = caller.headers.clone();
    headers.insert(DEADLINE_MS, HeaderValue::from(caller.remaining_ms(node.now_ms())));
    if let Ok(id) = HeaderValue::from_str(placed.entry.id.as_str()) {
        headers.insert(EXPECT_SERVER, id);
    }
    if let Some(id) = last_event_id.and_then(|id| HeaderValue::from_str(id).ok()) {
        headers.insert(LAST_EVENT_ID, id);
    }
    if let Some(plan) = &placed.engine {
        if let Ok(salt) = HeaderValue::from_str(plan.salt.as_str()) {
            headers.insert(CACHE_SALT, salt);
        }
        headers.insert(EXPECT_WEIGHTS, HeaderValue::from(plan.weight_version));
        if let Some(until_ms) = plan.fetch_until {
            headers.insert(FETCH_UNTIL, HeaderValue::from(until_ms));
        }
        headers.insert(ENGINE_PRIORITY, HeaderValue::from(u16::from(plan.priority)));
        let transfers = [
            (FETCH_BLOCKS, prompt::format_fetch(&plan.blocks)),
            (SAVE_BLOCKS, prompt::format_save(&plan.blocks)),
        ];
        for (name, text) in transfers {
            if let Some(value) = text.and_then(|text| HeaderValue::from_str(&text).ok()) {
                headers.insert(name, value);
            }
        }
    }
    request
}
