//! Diagnostic logging to the standard error.

use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

/// Starts logging to the standard error; later calls have no effect.
pub(crate) fn start(verbose: bool) {
    let level = if verbose { LevelFilter::Debug } else { LevelFilter::Warn };
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    // The only possible error is that a logger is already installed.
    let _ = WriteLogger::init(level, config, std::io::stderr());
}
