//! Decisions of a gateway: where a request goes, whether it waits, and when it is turned away.
//!
//! Nothing here does I/O. Time, randomness and what is known of servers come in as arguments, so
//! that tests replay recorded load patterns against the code that serves.

pub mod blocks;
pub mod choice;
pub mod configuration;
pub mod crashes;
pub mod lease;
pub mod load;
pub mod registry;
pub mod request;
pub mod retry_share;
pub mod rollout;
pub mod routes;
pub mod waiting;
