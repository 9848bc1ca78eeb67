//! Messages about requests that may have crashed a server.

use crate::ids::{
    AttemptId, CHAIN_KEY_BYTES, ChainKey, HostName, Incarnation, OrganisationId, ServiceName,
};
use serde::{Deserialize, Serialize};
use std::fmt;

const DIGEST_CONTEXT: &str = "camphorward 2026 suspect request";

/// Identifies a request by its organisation, service and content, independent of its entry host.
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

/// Reports to the homes of a request and of its service that a server crashed while running it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectReport {
    /// The request.
    pub digest: SuspectDigest,
    /// The organisation.
    pub organisation: OrganisationId,
    /// The service.
    pub service: ServiceName,
    /// The server that crashed.
    pub server: HostName,
    /// The incarnation that crashed.
    pub incarnation: Incarnation,
    /// Whether one crash suffices for a quarantine, as the organisation crashed servers before.
    pub on_probation: bool,
}

/// Reports to the homes of a request and of its service that a suspect completed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectCleared {
    /// The request.
    pub digest: SuspectDigest,
    /// The service.
    pub service: ServiceName,
}

/// Reports to the home of a service that a request is confirmed to have crashed servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfirmedCrash {
    /// The request.
    pub digest: SuspectDigest,
    /// The organisation.
    pub organisation: OrganisationId,
    /// The service.
    pub service: ServiceName,
}

/// Publishes to all entry hosts how an organisation's requests to a service are restricted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashRestriction {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The service.
    pub service: ServiceName,
    /// The time for which all its requests are refused, in milliseconds.
    pub refused_for_ms: u64,
    /// The time for which all its requests run isolated, in milliseconds.
    pub isolated_for_ms: u64,
}

/// Requests from the home of a service a server on which a suspect may run isolated.
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
    /// The servers that may be granted, in order of preference.
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
    /// The suspect is already running, or no preferred server is free of suspects.
    Busy {
        /// The time after which to request again, in milliseconds.
        wait_ms: u64,
    },
}

/// Reports to the home of a service that an isolated attempt ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IsolateRelease {
    /// The service.
    pub service: ServiceName,
    /// The request.
    pub digest: SuspectDigest,
    /// The attempt.
    pub attempt_id: AttemptId,
}
