//! Decisions on what is in force: configuration, leases and orders to servers.
//!
//! The daemon drives the package like this; nothing here does I/O or reads a clock:
//!
//! | event | call |
//! |---|---|
//! | a list reader may read the log | [`configuration::Configuration::next_read`], then `take_page` with the answer |
//! | a heartbeat told a later version | [`spread::next_pull`], then [`configuration::Configuration::take_relay`] with the answer |
//! | a peer asks | [`configuration::Configuration::answer`] |
//! | a snapshot was read, a minute passed | [`configuration::CarryForward::observe`], `due`; append what it returns |
//! | a lease record was read | [`leases::LeaseLedger::apply`] |
//! | a second passed | [`leases::Steward::next_record`] with [`leases::takeover_rank`]; append what it returns |
//! | this node is steward | [`swap::next_orders`]; ask [`leases::Steward::token`] right before each order |

pub mod backoff;
pub mod configuration;
pub mod leases;
pub mod spread;
pub mod swap;
