//! Tests that each stand-in works, and that each of its faults does what it says.

mod engine;
mod engine_faults;
mod log_service;
mod support;
