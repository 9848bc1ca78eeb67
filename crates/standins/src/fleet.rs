//! Stand-ins of the users' platform: its store, and servers that misbehave on demand.
//!
//! They speak HTTP/1.1 on plain sockets, as most faults are no proper HTTP.

pub mod http;
pub mod server;
pub mod store;

pub use crate::fleet::server::{Behaviour, ExecutedRequest, Server, ServerKind};
pub use crate::fleet::store::{Availability, Store};
