//! Bodies of the calls between a daemon and external systems, all JSON over HTTP/1.1.
//!
//! docs/EDGES.md lists the calls.

pub mod engine;
pub mod host_list;
pub mod log;
pub mod order;
pub mod store;
