//! Classification of failed calls to an inference engine.

use crate::reply::Failure;
use clients::error::ClientError;
use clients::wire::engine::Refusal;
use protocol::error::ErrorKind;

/// The reason in an engine's refusal of a request for another weight version.
const WRONG_VERSION: &str = "wrong_version";

/// Returns the failure for an error before or during an answer.
pub(crate) fn from_client_error(error: &ClientError) -> Failure {
    let kind = match error {
        ClientError::Unreachable(_) => ErrorKind::ServerUnreachable,
        ClientError::ConnectionLost(_) => ErrorKind::ServerDied,
        ClientError::TimedOut(_) => ErrorKind::ServerSilent,
        ClientError::Refused { body, .. } => classify_refusal(body),
        ClientError::Malformed(_) => ErrorKind::BadServerAnswer,
    };
    Failure::new(kind, describe(kind))
}

/// Classifies a refusal. It counts as not run only if the engine states so.
fn classify_refusal(body: &str) -> ErrorKind {
    match serde_json::from_str::<Refusal>(body) {
        Ok(refusal) if refusal.not_run && refusal.reason == WRONG_VERSION => {
            ErrorKind::WrongVersion
        }
        Ok(refusal) if refusal.not_run => ErrorKind::ServerRefused,
        Ok(_) | Err(_) => ErrorKind::BadServerAnswer,
    }
}

fn describe(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::ServerUnreachable => "the backend server cannot be reached",
        ErrorKind::ServerDied => "the backend server closed the connection",
        ErrorKind::ServerSilent => "the backend server stopped responding",
        ErrorKind::WrongVersion => "the backend server has another weight version",
        ErrorKind::ServerRefused => "the backend server refused the request",
        _ => "the backend server sent an unexpected answer",
    }
}
