//! The gateway's settings: JSON with comments, checked as a whole before the start.

use protocol::ids::{FailureDomain, HostName, Region};
use serde::Deserialize;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use thiserror::Error;

/// Everything a gateway is told at its start. Unknown fields are ignored.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct GatewaySettings {
    /// The host's name.
    pub host: HostName,
    /// The host's own address.
    pub address: IpAddr,
    /// The host's failure domain.
    pub failure_domain: FailureDomain,
    /// The region of each failure domain.
    pub regions: HashMap<FailureDomain, Region>,
    /// Where the gateway listens.
    pub listen: Listeners,
    /// The peers' addresses of a few gateways.
    pub seeds: Option<Vec<SocketAddr>>,
    /// The platform's store.
    pub store: StoreSettings,
    /// Bounds that the installation gives.
    pub bounds: Bounds,
    /// The threads that serve requests.
    pub worker_threads: usize,
    /// The prompt tokens that an engine reads in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// What is logged.
    pub log: LogSettings,
}

/// Where a gateway listens.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Listeners {
    /// For callers.
    pub callers: SocketAddr,
    /// For the readiness check.
    pub ready: SocketAddr,
    /// For other gateways; `None` where nothing may call them.
    pub peers: Option<SocketAddr>,
    /// The port for counters and histograms.
    pub metrics_port: u16,
}

/// The platform's store.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
}

/// Bounds that the installation gives.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct Bounds {
    /// How long after a server said that it leaves it may still get requests, in milliseconds.
    pub drain_ms: u64,
    /// How long after SIGTERM the process may live, in seconds.
    pub shutdown_s: f64,
    /// The repeats allowed for each first send to a service, over all gateways.
    pub retry_ratio: f64,
    /// The repeats allowed besides, over all gateways.
    pub retry_slack: f64,
    /// The window over which repeats are counted, in seconds.
    pub retry_window_s: f64,
    /// How long orders of two stewards must lie apart, in milliseconds.
    pub steward_turn_ms: u64,
    /// How long new weights may take to be everywhere, in milliseconds.
    pub weights_ms: u64,
}

/// The least grave lines that are logged.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Nothing.
    Off,
    /// Failures of requests and dependencies.
    Warn,
    /// Each decision too.
    Info,
    /// All lines.
    Debug,
}

/// What is logged.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct LogSettings {
    /// The least grave lines that are logged.
    pub level: LogLevel,
    /// The most lines a second; the rest is counted.
    pub max_lines_per_s: u32,
    /// The share of requests whose everyday lines are written; lines on failures always are.
    #[serde(default = "all")]
    pub request_share: f64,
}

const fn all() -> f64 {
    1.0
}

/// Reports settings that cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read the settings: {0}")]
    Unreadable(#[from] std::io::Error),
    /// The text is no JSON with comments.
    #[error("the settings are no JSON with comments: {0}")]
    Syntax(String),
    /// A field is missing or of another type.
    #[error("field `{field}`: {reason}")]
    Field {
        /// The field.
        field: String,
        /// What is wrong with it.
        reason: String,
    },
}

impl GatewaySettings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Says which field is wrong and why.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&std::fs::read_to_string(path)?)
    }

    /// Reads a settings text.
    ///
    /// # Errors
    ///
    /// Says which field is wrong and why.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let value =
            jsonc_parser::parse_to_serde_value(text, &jsonc_parser::ParseOptions::default())
                .map_err(|error| SettingsError::Syntax(error.to_string()))?
                .ok_or_else(|| SettingsError::Syntax("the text is empty".to_owned()))?;
        let settings: Self =
            serde_path_to_error::deserialize(value).map_err(|error| SettingsError::Field {
                field: error.path().to_string(),
                reason: error.inner().to_string(),
            })?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let wrong = |field: &str, reason: &str| {
            Err(SettingsError::Field { field: field.to_owned(), reason: reason.to_owned() })
        };
        if !self.regions.contains_key(&self.failure_domain) {
            return wrong("regions", "the host's own failure domain is not listed");
        }
        if self.worker_threads == 0 {
            return wrong("worker_threads", "at least one is needed");
        }
        if self.prefill_tokens_per_ms.is_nan() || self.prefill_tokens_per_ms <= 0.0 {
            return wrong("prefill_tokens_per_ms", "must be above zero");
        }
        if !(0.0..=1.0).contains(&self.log.request_share) {
            return wrong("log.request_share", "must lie between 0 and 1");
        }
        if self.bounds.retry_ratio < 0.0 || self.bounds.retry_slack < 0.0 {
            return wrong("bounds", "retry_ratio and retry_slack must not be negative");
        }
        if self.bounds.retry_window_s <= 0.0 || self.bounds.shutdown_s <= 0.0 {
            return wrong("bounds", "retry_window_s and shutdown_s must be above zero");
        }
        Ok(())
    }
}
