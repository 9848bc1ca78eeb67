//! Addresses and clients of the log and the entry hosts.

use crate::args::TopLevel;
use crate::commands::read_file;
use crate::error::CommandError;
use crate::nodes::NodeClient;
use clients::http::HttpClient;
use clients::log::LogClient;
use settings::client::ClientSettings;
use std::net::SocketAddr;
use std::sync::Arc;

/// The environment variables that the program reads.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// The log's address.
    pub log: Option<String>,
    /// The addresses of some entry hosts, separated by commas.
    pub nodes: Option<String>,
}

impl Environment {
    /// Reads the variables of this process.
    pub fn from_process() -> Self {
        Self {
            log: std::env::var("CAMPHORWARD_LOG").ok(),
            nodes: std::env::var("CAMPHORWARD_NODES").ok(),
        }
    }
}

/// The clients that the commands use.
#[derive(Debug)]
pub(crate) struct Connections {
    log: Option<LogClient>,
    nodes: NodeClient,
}

impl Connections {
    /// Creates the clients. Each address is taken from the options, else from the environment, else
    /// from the settings file.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError`] for a malformed address or settings file.
    pub(crate) fn new(top: &TopLevel, environment: &Environment) -> Result<Self, CommandError> {
        let settings = read_settings(top)?;
        let log_text = top.log.as_ref().or(environment.log.as_ref());
        let log = match log_text {
            Some(text) => Some(parse_address(text)?),
            None => settings.log,
        };
        let nodes_text = top.nodes.as_ref().or(environment.nodes.as_ref());
        let nodes = match nodes_text {
            Some(text) => parse_addresses(text)?,
            None => settings.nodes,
        };
        let http = Arc::new(HttpClient::new().with_address_map(settings.address_map));
        let log = log.map(|address| LogClient::new(Arc::clone(&http), address));
        Ok(Self { log, nodes: NodeClient::new(http, nodes) })
    }

    /// Returns the client of the log.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Usage`] if no address was given.
    pub(crate) fn log(&self) -> Result<&LogClient, CommandError> {
        self.log.as_ref().ok_or_else(|| missing_address("the log", "--log ADDR", "CAMPHORWARD_LOG"))
    }

    /// Returns the client of the entry hosts, even if no address was given.
    pub(crate) fn nodes(&self) -> &NodeClient {
        &self.nodes
    }

    /// Returns the client of the entry hosts.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Usage`] if no address was given.
    pub(crate) fn configured_nodes(&self) -> Result<&NodeClient, CommandError> {
        if self.nodes.is_empty() {
            let name = "an entry host's operators' listener";
            return Err(missing_address(name, "--nodes ADDR[,ADDR]", "CAMPHORWARD_NODES"));
        }
        Ok(&self.nodes)
    }
}

fn read_settings(top: &TopLevel) -> Result<ClientSettings, CommandError> {
    let Some(file) = &top.client_settings else {
        return Ok(ClientSettings::default());
    };
    let text = read_file(file)?;
    settings::parse_client_settings(&text)
        .map_err(|report| CommandError::InvalidText { file: file.clone(), report })
}

fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, CommandError> {
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    parts.map(parse_address).collect()
}

fn parse_address(text: &str) -> Result<SocketAddr, CommandError> {
    text.trim().parse().map_err(|_| {
        CommandError::Usage(format!(
            "`{text}` is not an address; write an IP address and a port, such as 10.0.0.7:7103"
        ))
    })
}

fn missing_address(name: &str, option: &str, variable: &str) -> CommandError {
    CommandError::Usage(format!(
        "the address of {name} is not given; use {option}, {variable} or --client-settings FILE"
    ))
}
