//! Tests that each stand-in works, and that each of its faults does what it says.

mod engine;
mod engine_faults;
mod host_list;
mod log_service;
mod order_service;
mod relay;
mod store;
mod support;
