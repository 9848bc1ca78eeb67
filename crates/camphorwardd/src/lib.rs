//! The daemon of an entry host: wiring of the decision crates to listeners and clients.
//!
//! [`daemon::Daemon`] starts all parts in the caller's runtime; [`cli`] is what the binary runs.

pub mod cli;
pub mod counters;
pub mod daemon;
pub mod directory;
pub mod explain;
pub mod in_flight;
pub mod node;
pub mod reply;

mod admission_state;
mod callers;
mod clock;
mod configuration;
mod connection;
mod constants;
mod follow;
mod hosts;
mod operators;
mod orders;
mod peers;
mod placement_state;
mod quarantine;
mod run;
mod serve;

pub use daemon::{Daemon, StartError};
