//! `camphorward check`.

mod configuration;
mod store;

use crate::console::Console;
use crate::error::CommandError;
use argh::FromArgs;
use serde::Serialize;
use settings::kind::{TextKind, detect_kind};
use settings::problem::Report;
use std::fmt;
use std::str::FromStr;

/// Checks a services text, process settings or a configuration and lists every problem.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// the file
    #[argh(positional, arg_name = "FILE")]
    file: String,
    /// kind of the file: services, process or configuration; detected from its fields if not given
    #[argh(option, arg_name = "KIND")]
    kind: Option<Kind>,
    /// file with the configuration in force, to list what differs
    #[argh(option, arg_name = "FILE")]
    in_force: Option<String>,
    /// address of the platform's store, to read the configuration in force from it
    #[argh(option, arg_name = "ADDR")]
    store: Option<String>,
    /// regions of the installation, to find regions that it does not have
    #[argh(option, arg_name = "REGION[,REGION]")]
    regions: Option<String>,
    /// treat warnings on a configuration as errors
    #[argh(switch)]
    strict: bool,
}

/// The kind of a file.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Services,
    Process,
    Configuration,
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "services" => Ok(Self::Services),
            "process" => Ok(Self::Process),
            "configuration" => Ok(Self::Configuration),
            _ => Err("use services, process or configuration".to_owned()),
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
    pub(crate) async fn run(self, console: &mut Console<'_>) -> eyre::Result<()> {
        let bytes = read_bytes(&self.file)?;
        let invalid = |report| CommandError::InvalidText { file: self.file.clone(), report };
        let kind = match self.kind {
            Some(kind) => kind,
            None => detect_file_kind(&self.file, to_text(&self.file, &bytes)?, invalid)?,
        };
        if !matches!(kind, Kind::Configuration) {
            self.refuse_configuration_options()?;
        }
        let text = || to_text(&self.file, &bytes);
        let summary = match kind {
            Kind::Services => summarise_services(text()?),
            Kind::Process => summarise_process(text()?),
            Kind::Configuration => return self.check_configuration(&bytes, console).await,
        };
        let summary = summary.map_err(invalid)?;
        console.print(&CheckReport { ok: true, file: self.file, kind, summary })
    }

    fn refuse_configuration_options(&self) -> Result<(), CommandError> {
        let given = [
            ("--in-force", self.in_force.is_some()),
            ("--store", self.store.is_some()),
            ("--regions", self.regions.is_some()),
            ("--strict", self.strict),
        ];
        match given.iter().find(|(_, is_given)| *is_given) {
            Some((option, _)) => {
                Err(CommandError::Usage(format!("{option} goes with --kind configuration")))
            }
            None => Ok(()),
        }
    }
}

/// Reads a file that need not be text.
fn read_bytes(file: &str) -> Result<Vec<u8>, CommandError> {
    std::fs::read(file)
        .map_err(|error| CommandError::File { file: file.to_owned(), reason: error.to_string() })
}

fn to_text<'a>(file: &str, bytes: &'a [u8]) -> Result<&'a str, CommandError> {
    std::str::from_utf8(bytes)
        .map_err(|error| CommandError::File { file: file.to_owned(), reason: error.to_string() })
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
            "cannot detect the kind of {file} from its fields; use --kind services, \
             --kind process or --kind configuration"
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
