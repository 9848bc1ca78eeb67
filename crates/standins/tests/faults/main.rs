//! Tests of each stand-in and of each of its faults.

mod engine;
mod engine_faults;
mod host_list;
mod log_service;
mod order_service;
mod relay;
mod server;
mod store;
mod support;
