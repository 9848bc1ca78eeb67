//! The protocol between entry hosts: ids, sizes, error kinds and messages.

pub mod error;
pub mod ids;
pub mod message;
pub mod msgpack;
pub mod rate;
pub mod rendezvous;
pub mod size;
pub mod tags;
