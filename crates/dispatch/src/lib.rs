//! Decisions of a gateway: where a request goes, whether it waits, and when it is refused.
//!
//! The crate does no I/O. Time, randomness and the cached state of servers are arguments, so that
//! tests can replay recorded load patterns against the production code.

pub mod backlog;
pub mod blocks;
pub mod choice;
pub mod cold;
pub mod configuration;
pub mod configuration_check;
pub mod crashes;
pub mod eligibility;
pub mod era;
pub mod evacuations;
pub mod hedging;
pub mod lease;
pub mod limits;
pub mod load;
pub mod paths;
pub mod pauses;
pub mod registry;
pub mod relays;
pub mod request;
pub mod retirement;
pub mod retry_share;
pub mod rollout;
pub mod routes;
pub mod software_history;
pub mod streams;
pub mod target_versions;
pub mod terms;
pub mod waiting;
