//! The bodies that travel between a daemon and the systems outside, all JSON over HTTP/1.1.
//!
//! docs/EDGES.md lists the calls; the types here are their bodies.

pub mod engine;
pub mod host_list;
pub mod log;
pub mod order;
pub mod store;
