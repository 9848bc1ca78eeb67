//! Messages between entry hosts, sent as MessagePack over HTTP.

pub mod place;
