//! Messages for whoever looks into the program itself.

use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

/// Starts logging to the standard error; a second start changes nothing.
pub(crate) fn start(verbose: bool) {
    let level = if verbose { LevelFilter::Debug } else { LevelFilter::Warn };
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    // An error says only that a logger is there already.
    let _ = WriteLogger::init(level, config, std::io::stderr());
}
