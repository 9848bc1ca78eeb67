//! Tests with gateways as separate processes, against stand-ins in the test's process.

mod answers;
mod brittle;
mod caller;
mod caller_connections;
mod crashing;
mod crashing_segments;
mod cut_off;
mod endless;
mod fleet;
mod hedges;
mod leaving;
mod limits;
mod membership;
mod outage_calls;
mod pauses;
mod process;
mod refusals;
mod retired_blocks;
mod settings;
mod shutdown;
mod silence;
mod software_versions;
mod store_era;
mod unframed;
mod weights;
