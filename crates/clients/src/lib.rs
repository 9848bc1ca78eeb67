//! The edges of a process: clients of backend servers, store hosts, the platform and peers.

pub mod engine;
pub mod error;
pub mod host_list;
pub mod http;
pub mod log;
pub mod peer;
pub mod store;
pub mod stream;
pub mod wire;
