//! The edges of a process: clients of backend servers, store hosts and the platform.

pub mod wire;
