//! `camphorward check`.

use super::read_file;
use crate::console::Console;
use crate::error::CommandError;
use argh::FromArgs;
use serde::Serialize;
use settings::kind::{TextKind, detect_kind};
use settings::problem::Report;
use std::fmt;
use std::str::FromStr;

/// Checks a services text or process settings and lists every problem.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// the file
    #[argh(positional, arg_name = "FILE")]
    file: String,
    /// kind of the file: services or process; detected from its fields if not given
    #[argh(option, arg_name = "KIND")]
    kind: Option<Kind>,
}

/// The kind of a file.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Services,
    Process,
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "services" => Ok(Self::Services),
            "process" => Ok(Self::Process),
            _ => Err("use services or process".to_owned()),
        }
    }
}

/// The report on a valid file.
#[derive(Debug, Serialize)]
struct CheckReport {
    ok: bool,
    file: String,
    kind: Kind,
    summary: String,
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is valid: {}", self.file, self.summary)
    }
}

impl Check {
    pub(crate) fn run(self, console: &mut Console<'_>) -> eyre::Result<()> {
        let text = read_file(&self.file)?;
        let invalid = |report| CommandError::InvalidText { file: self.file.clone(), report };
        let kind = match self.kind {
            Some(kind) => kind,
            None => detect_file_kind(&self.file, &text, invalid)?,
        };
        let summary = match kind {
            Kind::Services => summarise_services(&text),
            Kind::Process => summarise_process(&text),
        };
        let summary = summary.map_err(invalid)?;
        console.print(&CheckReport { ok: true, file: self.file, kind, summary })
    }
}

fn detect_file_kind(
    file: &str,
    text: &str,
    invalid: impl Fn(Report) -> CommandError,
) -> Result<Kind, CommandError> {
    match detect_kind(text).map_err(invalid)? {
        Some(TextKind::Services) => Ok(Kind::Services),
        Some(TextKind::Process) => Ok(Kind::Process),
        None => Err(CommandError::Usage(format!(
            "cannot detect the kind of {file} from its fields; use --kind services or \
             --kind process"
        ))),
    }
}

fn summarise_services(text: &str) -> Result<String, Report> {
    let services = settings::parse_services_text(text)?;
    Ok(format!(
        "services text; regions: {}, organisations: {}, services: {}",
        services.regions.len(),
        services.organisations.len(),
        services.services.len()
    ))
}

fn summarise_process(text: &str) -> Result<String, Report> {
    let settings = settings::parse_process_settings(text)?;
    Ok(format!(
        "process settings of host {} in failure domain {}",
        settings.host, settings.failure_domain
    ))
}
