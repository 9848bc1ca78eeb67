//! `POST /v1/chat/completions`.

use crate::callers::body::{self, ChatBody};
use crate::callers::format::Shape;
use crate::callers::respond::{Prompt, respond};
use crate::serve::Call;
use gotham::helpers::http::Body;
use http::Response;

/// Answers a chat call.
pub(crate) async fn answer(call: Call) -> Response<Body> {
    let decode = |call: &Call| {
        let body: ChatBody = body::parse(&call.body)?;
        Ok(Prompt {
            model: body.model,
            text: body::render_chat(&body.messages),
            max_tokens: body.max_completion_tokens.or(body.max_tokens),
            stream: body.stream,
            priority: body.priority,
        })
    };
    respond(call, Shape::Chat, decode).await
}
