//! Messages between entry hosts, sent as MessagePack over HTTP, and the operators' JSON bodies.

pub mod configuration;
pub mod hosts;
pub mod operator;
pub mod place;
pub mod probe;
pub mod suspect;
