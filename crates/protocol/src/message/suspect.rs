//! Messages on requests that may have crashed a server.

use crate::ids::{
    AttemptId, CHAIN_KEY_BYTES, ChainKey, HostName, Incarnation, OrganisationId, ServiceName,
};
use serde::{Deserialize, Serialize};
use std::fmt;

const DIGEST_CONTEXT: &str = "camphorward 2026 suspect request";

/// Identifies a request by its organisation and content, whatever host it comes through.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct SuspectDigest(ChainKey);

impl SuspectDigest {
    /// Computes the digest of a request's body as the caller sent it.
    pub fn new(organisation: &OrganisationId, service: &ServiceName, content: &[u8]) -> Self {
        let mut scope = Vec::new();
        for part in [organisation.as_str(), service.as_str()] {
            scope.extend_from_slice(&(part.len() as u64).to_le_bytes());
            scope.extend_from_slice(part.as_bytes());
        }
        let key = blake3::derive_key(DIGEST_CONTEXT, &scope);
        Self(ChainKey::new(*blake3::keyed_hash(&key, content).as_bytes()))
    }

    /// Returns the digest's bytes.
    pub const fn as_bytes(&self) -> &[u8; CHAIN_KEY_BYTES] {
        self.0.as_bytes()
    }
}

impl fmt::Display for SuspectDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Tells the homes of a request and of its service that a server died while it ran there.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectReport {
    /// The request.
    pub digest: SuspectDigest,
    /// The organisation.
    pub organisation: OrganisationId,
    /// The service.
    pub service: ServiceName,
    /// The server that died.
    pub server: HostName,
    /// The incarnation that died.
    pub incarnation: Incarnation,
    /// Whether one crash suffices, as the organisation crashed servers before.
    pub on_probation: bool,
}

/// Tells the homes of a request and of its service that a suspect ran to its end.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectCleared {
    /// The request.
    pub digest: SuspectDigest,
    /// The service.
    pub service: ServiceName,
}

/// Tells the home of a service that a request crashed servers for certain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfirmedCrash {
    /// The request.
    pub digest: SuspectDigest,
    /// The organisation.
    pub organisation: OrganisationId,
    /// The service.
    pub service: ServiceName,
}

/// Tells every entry host how an organisation's requests to a service are restricted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashRestriction {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The service.
    pub service: ServiceName,
    /// How long all its requests are refused, in milliseconds.
    pub refused_for_ms: u64,
    /// How long all its requests run isolated, in milliseconds.
    pub isolated_for_ms: u64,
}

/// Asks the home of a service for a server on which a suspect may run isolated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IsolateRequest {
    /// The service.
    pub service: ServiceName,
    /// The request.
    pub digest: SuspectDigest,
    /// The attempt.
    pub attempt_id: AttemptId,
    /// The server that an earlier home granted to this attempt, if any.
    pub holds: Option<HostName>,
    /// The servers that may be granted, best first.
    pub preferred: Vec<HostName>,
}

/// Answers an [`IsolateRequest`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum IsolateAnswer {
    /// The suspect may run on this server, and no other suspect runs there.
    Granted {
        /// The server.
        server: HostName,
    },
    /// The suspect runs already, or no server is free of suspects.
    Busy {
        /// When to ask again, in milliseconds.
        wait_ms: u64,
    },
}

/// Tells the home of a service that an isolated attempt ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IsolateRelease {
    /// The service.
    pub service: ServiceName,
    /// The request.
    pub digest: SuspectDigest,
    /// The attempt.
    pub attempt_id: AttemptId,
}
