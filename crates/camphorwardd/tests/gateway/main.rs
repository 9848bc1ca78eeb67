//! Tests with gateways as processes of their own, before stand-ins in the test's process.

mod answers;
mod caller;
mod fleet;
mod membership;
mod process;
mod refusals;
mod settings;
mod shutdown;
mod weights;
