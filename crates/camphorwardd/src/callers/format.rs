//! JSON and event-stream formats of the answers to callers.

use protocol::ids::RequestId;
use serde::Serialize;

/// The event that ends a stream.
pub(crate) const DONE_EVENT: &str = "data: [DONE]\n\n";

/// The call that an answer belongs to, which determines its JSON shape.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Shape {
    /// `/v1/completions`.
    Completion,
    /// `/v1/chat/completions`.
    Chat,
}

/// The fields that all parts of one answer have in common.
#[derive(Clone, Debug)]
pub(crate) struct AnswerFrame {
    pub(crate) shape: Shape,
    pub(crate) request_id: RequestId,
    pub(crate) model: String,
    pub(crate) created_s: u64,
}

#[derive(Serialize)]
struct Document<'a> {
    id: &'a RequestId,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(flatten)]
    content: Content<'a>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum Content<'a> {
    Text(&'a str),
    Delta(Delta<'a>),
    Message(Message<'a>),
}

#[derive(Serialize)]
struct Delta<'a> {
    content: &'a str,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

/// The token counts of one request.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Usage {
    pub(crate) prompt_tokens: u64,
    pub(crate) completion_tokens: u64,
    pub(crate) total_tokens: u64,
}

impl AnswerFrame {
    /// Formats one part of a stream as an event.
    pub(crate) fn event(&self, text: &str, finish_reason: Option<&'static str>) -> String {
        let (object, content) = match self.shape {
            Shape::Completion => ("text_completion", Content::Text(text)),
            Shape::Chat => ("chat.completion.chunk", Content::Delta(Delta { content: text })),
        };
        event(&self.document(object, content, finish_reason, None))
    }

    /// Formats a complete answer.
    pub(crate) fn complete(
        &self,
        text: &str,
        finish_reason: &'static str,
        usage: Usage,
    ) -> impl Serialize {
        let (object, content) = match self.shape {
            Shape::Completion => ("text_completion", Content::Text(text)),
            Shape::Chat => {
                ("chat.completion", Content::Message(Message { role: "assistant", content: text }))
            }
        };
        let document = self.document(object, content, Some(finish_reason), Some(usage));
        serde_json::to_value(document).unwrap_or_default()
    }

    fn document<'a>(
        &'a self,
        object: &'static str,
        content: Content<'a>,
        finish_reason: Option<&'static str>,
        usage: Option<Usage>,
    ) -> Document<'a> {
        let choice = Choice { index: 0, content, finish_reason };
        Document {
            id: &self.request_id,
            object,
            created: self.created_s,
            model: &self.model,
            choices: [choice],
            usage,
        }
    }
}

/// Formats a value as a server-sent event.
pub(crate) fn event(value: &impl Serialize) -> String {
    let json = serde_json::to_string(value).unwrap_or_default();
    format!("data: {json}\n\n")
}
