//! Request bodies of the chat and completion calls.

use crate::constants::DEFAULT_ANSWER_TOKENS;
use crate::reply::Failure;
use protocol::error::ErrorKind;
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// The body of a completion call; unsupported fields are ignored.
#[derive(Debug, Deserialize)]
pub(crate) struct CompletionBody {
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) max_tokens: Option<u64>,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default)]
    pub(crate) priority: i32,
}

/// The body of a chat call; unsupported fields are ignored.
#[derive(Debug, Deserialize)]
pub(crate) struct ChatBody {
    pub(crate) model: String,
    pub(crate) messages: Vec<ChatMessage>,
    pub(crate) max_tokens: Option<u64>,
    pub(crate) max_completion_tokens: Option<u64>,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default)]
    pub(crate) priority: i32,
}

/// One message of a chat.
#[derive(Debug, Deserialize)]
pub(crate) struct ChatMessage {
    pub(crate) role: String,
    pub(crate) content: String,
}

/// Renders the messages of a chat as one prompt.
///
/// The prompt of a chat is a prefix of the prompt of its continuation, so that cached blocks stay
/// reusable.
pub(crate) fn render_chat(messages: &[ChatMessage]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str("<|");
        prompt.push_str(&message.role);
        prompt.push_str("|>\n");
        prompt.push_str(&message.content);
        prompt.push('\n');
    }
    prompt
}

/// Decodes a JSON body; the error gives the position but never quotes the text.
pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|error| {
        let position = format!("line {}, column {}", error.line(), error.column());
        let problem = match error.classify() {
            serde_json::error::Category::Data => describe_data_error(&error),
            _ => "the body is not valid JSON".to_owned(),
        };
        Failure::new(ErrorKind::MalformedRequest, format!("{problem} at {position}"))
    })
}

/// Describes a data error without quoting the caller's text, which may contain its prompt.
fn describe_data_error(error: &serde_json::Error) -> String {
    let text = error.to_string();
    if text.starts_with("missing field") {
        return text.split(" at line").next().unwrap_or_default().to_owned();
    }
    "a field has the wrong type".to_owned()
}

/// Returns the maximum length of the answer in tokens, within the limit of the settings.
pub(crate) fn answer_tokens(requested: Option<u64>, max_tokens: u64) -> Result<u64, Failure> {
    let tokens = requested.unwrap_or(DEFAULT_ANSWER_TOKENS.min(max_tokens));
    if tokens == 0 || tokens > max_tokens {
        let message =
            format!("max_tokens must be between 1 and {max_tokens} (limits.answer_tokens)");
        return Err(Failure::new(ErrorKind::MalformedRequest, message));
    }
    Ok(tokens)
}
