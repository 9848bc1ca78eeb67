//! Messages between entry hosts, sent as MessagePack over HTTP.

pub mod configuration;
pub mod hosts;
pub mod place;
pub mod probe;
