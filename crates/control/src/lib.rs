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

pub mod configuration;
pub mod spread;
