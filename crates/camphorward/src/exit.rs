//! The exit codes.

use std::fmt;
use std::process::ExitCode;

/// The exit code of a command, for scripts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Success = 0,
    /// The result could not be written, or the program has an internal error.
    Failed = 1,
    /// The command line or a file is invalid; nothing was changed.
    InvalidInput = 2,
    /// Another configuration was accepted first; nothing was changed.
    Conflict = 3,
    /// The log, the store or the entry hosts are unreachable, or did not answer in time.
    Unreachable = 4,
    /// The log or an entry host refused the request, or the version or request does not exist.
    Refused = 5,
}

impl Exit {
    /// All exit codes, in order.
    pub const ALL: &'static [Exit] = &[
        Exit::Success,
        Exit::Failed,
        Exit::InvalidInput,
        Exit::Conflict,
        Exit::Unreachable,
        Exit::Refused,
    ];

    /// Returns the code.
    pub const fn code(self) -> u8 {
        self as u8
    }

    /// Returns the name used in JSON.
    pub const fn as_str(self) -> &'static str {
        match self {
            Exit::Success => "done",
            Exit::Failed => "failed",
            Exit::InvalidInput => "input_wrong",
            Exit::Conflict => "conflict",
            Exit::Unreachable => "unreachable",
            Exit::Refused => "refused",
        }
    }

    /// Returns the meaning of the code.
    pub const fn meaning(self) -> &'static str {
        match self {
            Exit::Success => "done",
            Exit::Failed => "the result could not be written, or a fault of the program",
            Exit::InvalidInput => "the command line or a file is wrong; nothing was changed",
            Exit::Conflict => "another configuration was accepted first; nothing was changed",
            Exit::Unreachable => "the log, the store or the entry hosts did not answer in time",
            Exit::Refused => "refused, or there is no such version or request",
        }
    }
}

impl fmt::Display for Exit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}  {}", self.code(), self.meaning())
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit.code())
    }
}
