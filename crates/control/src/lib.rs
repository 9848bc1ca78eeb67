//! Decisions on what is in force: configuration, leases and orders to servers.

pub mod configuration;
