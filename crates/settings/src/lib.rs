//! Process settings and the operators' services text: reading, checking and explaining.

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

/// Reads and checks the settings of one daemon.
///
/// # Errors
///
/// Returns every problem found, with field, line and a hint, in the order of the text.
pub fn parse_process_settings(text: &str) -> Result<ProcessSettings, Report> {
    read::read(text, &process::shape::PROCESS_SETTINGS, check_process::CHECKS)
}

/// Reads and checks a services text.
///
/// # Errors
///
/// Returns every problem found, with field, line and a hint, in the order of the text.
pub fn parse_services_text(text: &str) -> Result<ServicesText, Report> {
    read::read(text, &services::shape::SERVICES_TEXT, check_services::CHECKS)
}

/// Reads and checks the settings of the operators' command line.
///
/// # Errors
///
/// Returns every problem found, with field, line and a hint, in the order of the text.
pub fn parse_client_settings(text: &str) -> Result<ClientSettings, Report> {
    read::read(text, &client::shape::CLIENT_SETTINGS, &[check_process::check_address_map])
}

/// Renders settings as JSON with every default filled in.
///
/// # Errors
///
/// Returns the fault of the JSON writer, which no settings are known to cause.
pub fn merged(settings: &ProcessSettings) -> serde_json::Result<String> {
    serde_json::to_string_pretty(settings)
}
