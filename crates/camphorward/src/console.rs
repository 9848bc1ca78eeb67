//! Output of the commands, as text or as JSON.

use crate::Streams;
use crate::error::{CommandError, Conflict};
use crate::exit::Exit;
use serde::Serialize;
use settings::problem::Problem;
use std::fmt::Display;
use std::io::{self, Read, Write};

/// Prints results, progress and errors.
pub(crate) struct Console<'a> {
    json: bool,
    streams: Streams<'a>,
    has_printed: bool,
}

/// An error as JSON.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

/// The details of an error.
#[derive(Serialize)]
struct ErrorDetail<'a> {
    kind: &'static str,
    exit_code: u8,
    message: String,
    #[serde(skip_serializing_if = "<[Problem]>::is_empty")]
    problems: &'a [Problem],
    #[serde(skip_serializing_if = "Option::is_none")]
    conflict: Option<&'a Conflict>,
}

impl<'a> Console<'a> {
    /// Creates a console on the standard streams.
    pub(crate) fn new(json: bool, streams: Streams<'a>) -> Self {
        Self { json, streams, has_printed: false }
    }

    /// Prints a result, as text or as one line of JSON.
    pub(crate) fn print<T: Display + Serialize>(&mut self, result: &T) -> eyre::Result<()> {
        if self.json {
            let line = serde_json::to_string(result)?;
            writeln!(self.streams.out, "{line}")?;
        } else {
            let text = result.to_string();
            writeln!(self.streams.out, "{}", text.trim_end_matches('\n'))?;
        }
        self.streams.out.flush()?;
        self.has_printed = true;
        Ok(())
    }

    /// Prints a progress message, unless the output is JSON.
    pub(crate) fn progress(&mut self, line: &str) -> eyre::Result<()> {
        if !self.json {
            writeln!(self.streams.out, "{line}")?;
            self.streams.out.flush()?;
        }
        Ok(())
    }

    /// Reads up to `max_bytes` from the standard input.
    pub(crate) fn read_input(&mut self, max_bytes: u64) -> eyre::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        self.streams.input.take(max_bytes).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    /// Prints the error message for an invalid command line, and a pointer to the help.
    pub(crate) fn print_usage(&mut self, message: String) -> Exit {
        let error = CommandError::Usage(message.trim().to_owned());
        let exit = self.print_error(&error.into());
        let _ =
            writeln!(self.streams.err, "`camphorward --help` lists the commands and their options");
        exit
    }

    /// Prints an error and returns its exit code.
    pub(crate) fn print_error(&mut self, report: &eyre::Report) -> Exit {
        if is_broken_pipe(report) {
            // The reader has closed the pipe and needs no more output.
            return Exit::Success;
        }
        let command_error = report.downcast_ref::<CommandError>();
        let exit = command_error.map_or(Exit::Failed, CommandError::exit);
        // If this write fails, the failure cannot be reported either.
        let _ = writeln!(self.streams.err, "error: {report:#}");
        if self.json && !self.has_printed {
            let error = ErrorDetail {
                kind: exit.as_str(),
                exit_code: exit.code(),
                message: format!("{report:#}"),
                problems: command_error.map_or(&[], CommandError::problems),
                conflict: command_error.and_then(CommandError::conflict),
            };
            let line = serde_json::to_string(&ErrorBody { error }).unwrap_or_default();
            let _ = writeln!(self.streams.out, "{line}");
        }
        exit
    }
}

/// Prints a requested text, such as the help.
pub(crate) fn print_text(out: &mut dyn Write, text: &str) -> Exit {
    match writeln!(out, "{}", text.trim_end()) {
        Ok(()) => Exit::Success,
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Exit::Success,
        Err(_) => Exit::Failed,
    }
}

fn is_broken_pipe(report: &eyre::Report) -> bool {
    let io_error = report.downcast_ref::<io::Error>();
    io_error.is_some_and(|error| error.kind() == io::ErrorKind::BrokenPipe)
}
