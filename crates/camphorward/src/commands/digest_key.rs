//! `camphorward digest-key`.

use crate::console::Console;
use crate::error::CommandError;
use argh::FromArgs;
use serde::Serialize;
use std::fmt;

/// The maximum length of a bearer key, in bytes.
const MAX_KEY_BYTES: u64 = 4_096;

/// Reads a bearer key from the standard input and prints its digest for the services text.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "digest-key")]
pub(crate) struct DigestKey {}

/// The digest of a bearer key.
#[derive(Debug, Serialize)]
struct DigestReport {
    digest: String,
}

impl fmt::Display for DigestReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.digest)
    }
}

impl DigestKey {
    pub(crate) fn run(self, console: &mut Console<'_>) -> eyre::Result<()> {
        let input = console.read_input(MAX_KEY_BYTES + 1)?;
        let key = input.trim_ascii();
        check_key(key)?;
        console.print(&DigestReport { digest: blake3::hash(key).to_hex().to_string() })
    }
}

fn check_key(key: &[u8]) -> Result<(), CommandError> {
    if key.is_empty() {
        return Err(CommandError::Usage("the standard input holds no bearer key".to_owned()));
    }
    if key.len() as u64 > MAX_KEY_BYTES {
        let message = format!("the bearer key is longer than {MAX_KEY_BYTES} bytes");
        return Err(CommandError::Usage(message));
    }
    if !key.iter().all(u8::is_ascii_graphic) {
        let message =
            "a bearer key must not contain spaces, control characters or non-ASCII characters";
        return Err(CommandError::Usage(message.to_owned()));
    }
    Ok(())
}
