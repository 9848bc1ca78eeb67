//! Process settings and the operators' services text: reading, checking and explaining.

pub mod problem;
pub mod process;
pub mod services;

use problem::Report;
use process::ProcessSettings;
use services::ServicesText;

/// Reads and checks the settings of one daemon.
///
/// # Errors
///
/// Returns every problem found, with field, line and a hint.
pub fn parse_process_settings(text: &str) -> Result<ProcessSettings, Report> {
    problem::read_jsonc(text)
}

/// Reads and checks a services text.
///
/// # Errors
///
/// Returns every problem found, with field, line and a hint.
pub fn parse_services_text(text: &str) -> Result<ServicesText, Report> {
    problem::read_jsonc(text)
}
