//! `POST /v1/completions`.

use crate::callers::body::{self, CompletionBody};
use crate::callers::format::Shape;
use crate::callers::respond::{Prompt, respond};
use crate::serve::Call;
use gotham::helpers::http::Body;
use http::Response;

/// Answers a completion call.
pub(crate) async fn answer(call: Call) -> Response<Body> {
    let decode = |call: &Call| {
        let body: CompletionBody = body::parse(&call.body)?;
        Ok(Prompt {
            model: body.model,
            text: body.prompt,
            max_tokens: body.max_tokens,
            stream: body.stream,
            priority: body.priority,
        })
    };
    respond(call, Shape::Completion, decode).await
}
