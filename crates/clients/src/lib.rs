//! Clients of backend servers, store hosts, the platform and peer entry hosts.

pub mod engine;
pub mod error;
pub mod host_list;
pub mod http;
pub mod log;
pub mod peer;
pub mod store;
pub mod stream;
pub mod wire;
