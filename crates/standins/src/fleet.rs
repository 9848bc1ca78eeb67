//! Stand-ins for the users' platform: its metadata store, stores of cached blocks,
//! and servers with injectable faults.
//!
//! They implement HTTP/1.1 on plain sockets, because most faults violate the protocol.

pub mod block_store;
pub mod crash;
pub mod endless;
pub mod http;
pub mod script;
pub mod server;
pub mod store;

pub use crate::fleet::block_store::{BlockStore, StoredBlock};
pub use crate::fleet::crash::{CrashPlan, CrashTrigger};
pub use crate::fleet::endless::Endless;
pub use crate::fleet::script::{Script, ScriptEnd, ScriptTarget};
pub use crate::fleet::server::{
    Behaviour, Capacity, ExecutedRequest, Framing, Queueing, Server, ServerKind,
};
pub use crate::fleet::store::{Availability, FIRST_ERA, Store, StoreCopy, StoreView, encode};
