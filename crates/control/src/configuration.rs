//! Determines which published configuration is in force.
//!
//! | stream | records |
//! |---|---|
//! | [`CONFIGURATION_STREAM`] | [`ConfigRecord`]: the publications of operators |
//! | [`SNAPSHOT_STREAM`] | [`ConfigSnapshot`]: the newest configuration, carried past the log's retention |

mod ledger;
mod reader;
mod record;
mod snapshot;
mod state;

pub use ledger::{ConfigLedger, Verdict};
pub use reader::{ConfigReader, JudgedRecord, PageRecord, ReadRequest, StreamPage};
pub use record::{CONFIGURATION_STREAM, ConfigRecord, ConfigSnapshot, SNAPSHOT_STREAM};
pub use snapshot::{CarryForward, SNAPSHOT_AFTER_RECORDS, snapshot_rank};
pub use state::{Configuration, InForce, NotReady, RelayError};
