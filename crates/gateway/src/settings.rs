//! The gateway's settings: JSON with comments, validated before the start.

use dispatch::hedging::MAX_EXTRA_SHARE;
use protocol::ids::{FailureDomain, HostName, Region};
use serde::Deserialize;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use thiserror::Error;

/// The settings of a gateway. Unknown fields are ignored.
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
    /// The addresses on which the gateway listens.
    pub listen: Listeners,
    /// The peer addresses of a few gateways.
    pub seeds: Option<Vec<SocketAddr>>,
    /// The platform's store.
    pub store: StoreSettings,
    /// The bounds that the installation sets.
    pub bounds: Bounds,
    /// The second attempts at late requests.
    #[serde(default)]
    pub hedging: HedgingSettings,
    /// The parts of the platform's rules that are in force, in the platform's words.
    #[serde(default)]
    pub policies: Vec<String>,
    /// The memory that the process may take, in megabytes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// The number of threads that serve requests.
    pub worker_threads: usize,
    /// The prompt tokens that an engine prefills per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// The log.
    pub log: LogSettings,
}

/// The memory of a small host, in megabytes.
pub const SMALL_HOST_MEMORY_MB: f64 = 110.0;

const fn default_memory_mb() -> f64 {
    SMALL_HOST_MEMORY_MB
}

/// The addresses on which a gateway listens.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Listeners {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for the readiness check.
    pub ready: SocketAddr,
    /// The address for other gateways; `None` disables all exchange with them.
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

/// The bounds that the installation sets.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct Bounds {
    /// How long a server may still get requests after it announced that it leaves, in milliseconds.
    pub drain_ms: u64,
    /// How long the process may run after SIGTERM, in seconds.
    pub shutdown_s: f64,
    /// The retries allowed per first attempt at a service, over all gateways.
    pub retry_ratio: f64,
    /// The retries allowed in addition, over all gateways.
    pub retry_slack: f64,
    /// The window over which retries are counted, in seconds.
    pub retry_window_s: f64,
    /// The handover time: the minimum time between commands of two successive rollout leaders to
    /// the same server, in milliseconds.
    pub steward_turn_ms: u64,
    /// How long new weights may take until all requests use them, in milliseconds.
    pub weights_ms: u64,
    /// The requests that a cold server may get within a second, as a multiple of those that it
    /// bears; `None` if cold servers are not bounded.
    pub cold_factor: Option<f64>,
    /// The requests that a cold server may get within a second in addition.
    pub cold_slack: Option<f64>,
}

/// The second attempts at late requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
pub struct HedgingSettings {
    /// The share of extra attempts among first attempts; without any, late requests are not hedged.
    #[serde(default)]
    pub extra_share: f64,
}

/// The minimum level of the lines that are logged.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// No lines.
    Off,
    /// Failures of requests and dependencies.
    Warn,
    /// Also each decision.
    Info,
    /// All lines.
    Debug,
}

/// The settings of the log.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct LogSettings {
    /// The minimum level of the lines that are logged.
    pub level: LogLevel,
    /// The maximum number of lines per second; lines beyond it are dropped and counted.
    pub max_lines_per_s: u32,
    /// The share of requests whose routine lines are written; lines on failures always are.
    #[serde(default = "default_request_share")]
    pub request_share: f64,
}

const fn default_request_share() -> f64 {
    1.0
}

/// Why settings are invalid.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read the settings: {0}")]
    Unreadable(#[from] std::io::Error),
    /// The text is not valid JSON with comments.
    #[error("the settings are not valid JSON with comments: {0}")]
    Syntax(String),
    /// A field is missing, has another type or an invalid value.
    #[error("field `{field}`: {reason}")]
    Field {
        /// The field.
        field: String,
        /// Why it is invalid.
        reason: String,
    },
}

impl GatewaySettings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or names the invalid field and the reason.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&std::fs::read_to_string(path)?)
    }

    /// Parses a settings text.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid field and the reason.
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
        let invalid = |field: &str, reason: &str| {
            Err(SettingsError::Field { field: field.to_owned(), reason: reason.to_owned() })
        };
        if !self.regions.contains_key(&self.failure_domain) {
            return invalid("regions", "the host's own failure domain is not listed");
        }
        if self.worker_threads == 0 {
            return invalid("worker_threads", "must be at least 1");
        }
        if self.memory_mb.is_nan() || self.memory_mb <= 0.0 {
            return invalid("memory_mb", "must be above zero");
        }
        if self.prefill_tokens_per_ms.is_nan() || self.prefill_tokens_per_ms <= 0.0 {
            return invalid("prefill_tokens_per_ms", "must be above zero");
        }
        if !(0.0..=1.0).contains(&self.log.request_share) {
            return invalid("log.request_share", "must lie between 0 and 1");
        }
        if self.bounds.retry_ratio < 0.0 || self.bounds.retry_slack < 0.0 {
            return invalid("bounds", "retry_ratio and retry_slack must not be negative");
        }
        let cold = [self.bounds.cold_factor, self.bounds.cold_slack];
        if cold.into_iter().flatten().any(|bound| bound.is_nan() || bound < 0.0) {
            return invalid("bounds", "cold_factor and cold_slack must not be negative");
        }
        if !(0.0..=MAX_EXTRA_SHARE).contains(&self.hedging.extra_share) {
            return invalid("hedging.extra_share", "must lie between 0 and 0.2");
        }
        if self.bounds.retry_window_s <= 0.0 || self.bounds.shutdown_s <= 0.0 {
            return invalid("bounds", "retry_window_s and shutdown_s must be above zero");
        }
        Ok(())
    }
}
