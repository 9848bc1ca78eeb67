//! The gateway of an entry host: I/O around the decisions of `dispatch`.
//!
//! [`callers`] receives callers' requests, and [`forward`] sends them to servers over the
//! connections of [`pool`]. [`follow`] follows the platform's store.

pub mod answer;
pub mod answer_memory;
pub mod backoff;
pub mod block_log;
pub mod callers;
pub mod clock;
pub mod cold;
pub mod connect;
pub mod connection_limits;
pub mod crashes;
pub mod daemon;
pub mod discovery;
pub mod drain;
pub mod evacuations;
pub mod follow;
pub mod forward;
mod gateway_records;
pub mod gateways;
pub mod limits;
pub mod link;
pub mod listener;
pub mod logs;
pub mod memory;
pub mod metrics;
pub mod node;
pub mod operators;
pub mod paths;
pub mod peers;
pub mod pool;
pub mod received;
pub mod rollout_leader;
pub mod routing_state;
pub mod server_answers;
pub mod settings;
pub mod shares;
pub mod software_history;
mod store;
pub mod supervisor;
pub mod target_weights;
pub mod tunnel;
pub mod unreadable;
pub mod watch_blocks;
pub mod watch_servers;
pub mod watched;
