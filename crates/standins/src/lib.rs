//! Stand-ins for the external systems, for tests, trials and examples.

pub mod answer;
pub mod block;
pub mod clock;
pub mod engine;
pub mod fleet;
pub mod host_list;
pub mod log_service;
pub mod order_service;
pub mod rate;
pub mod relay;
pub mod reply;
pub mod server;
pub mod site;
pub mod store;
pub mod switch;
pub mod weight_store;

pub use answer::expected_answer;
