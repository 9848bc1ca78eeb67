//! Process settings and the operators' services text: parsing and validation.

mod check_process;
mod check_services;
pub mod client;
mod findings;
mod hint;
pub mod kind;
mod locate;
pub mod problem;
pub mod process;
mod read;
pub mod services;
pub mod shape;
mod source;
mod unique;

use client::ClientSettings;
use problem::Report;
use process::ProcessSettings;
use services::ServicesText;

/// Parses and validates the settings of a daemon.
///
/// # Errors
///
/// Returns all problems, with field, line and hint, in the order of the text.
pub fn parse_process_settings(text: &str) -> Result<ProcessSettings, Report> {
    read::read(text, &process::shape::PROCESS_SETTINGS, check_process::CHECKS)
}

/// Parses and validates a services text.
///
/// # Errors
///
/// Returns all problems, with field, line and hint, in the order of the text.
pub fn parse_services_text(text: &str) -> Result<ServicesText, Report> {
    read::read(text, &services::shape::SERVICES_TEXT, check_services::CHECKS)
}

/// Parses and validates the settings of the operators' command line.
///
/// # Errors
///
/// Returns all problems, with field, line and hint, in the order of the text.
pub fn parse_client_settings(text: &str) -> Result<ClientSettings, Report> {
    read::read(text, &client::shape::CLIENT_SETTINGS, &[check_process::check_address_map])
}

/// Parses a text without a schema.
///
/// # Errors
///
/// Returns the first position at which the text is not valid JSON with comments.
pub fn parse_value(text: &str) -> Result<serde_json::Value, Report> {
    source::parse(text).map(Into::into)
}

/// Renders settings as JSON with all defaults filled in.
///
/// # Errors
///
/// Returns any error of the JSON serializer; no settings are known to cause one.
pub fn to_json_with_defaults(settings: &ProcessSettings) -> serde_json::Result<String> {
    serde_json::to_string_pretty(settings)
}
