//! The inner protocol: ids, sizes, error kinds and the messages between entry hosts.

pub mod error;
pub mod ids;
pub mod message;
pub mod rendezvous;
pub mod size;
