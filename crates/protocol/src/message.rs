//! Messages between entry hosts, as MessagePack over HTTP, and the JSON bodies of the operators'
//! listener.

pub mod configuration;
pub mod hosts;
pub mod operator;
pub mod place;
pub mod probe;
pub mod suspect;
