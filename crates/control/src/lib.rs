//! State machines for configuration, leases and commands to servers.
//!
//! The crate does no I/O and reads no clock. The caller drives it with these calls:
//!
//! | event | call |
//! |---|---|
//! | a list reader may read the log | [`configuration::Configuration::next_read`], then `take_page` with the answer |
//! | a heartbeat reported a later version | [`spread::next_pull`], then [`configuration::Configuration::take_relay`] with the answer |
//! | a peer requests the configuration | [`configuration::Configuration::answer`] |
//! | a snapshot was read, or a minute passed | [`configuration::CarryForward::observe`], `due`; append what it returns |
//! | a lease record was read | [`leases::LeaseLedger::apply`] |
//! | a second passed | [`leases::LeaseClient::next_record`] with [`leases::takeover_rank`]; append what it returns |
//! | this node is the rollout leader | [`swap::next_commands`]; check [`leases::LeaseClient::token`] right before each command |

pub mod backoff;
pub mod configuration;
pub mod leases;
pub mod spread;
pub mod swap;
