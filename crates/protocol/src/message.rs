//! Messages between entry hosts, sent as MessagePack over HTTP.

pub mod hosts;
pub mod place;
pub mod probe;
