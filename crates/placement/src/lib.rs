//! Places prompts on servers and plans the use of the KV cache.
//!
//! The crate does no I/O; the time is an argument.
//!
//! | input of the daemon | call | next step of the daemon |
//! |---|---|---|
//! | a prompt | [`chain::PrefixChain::new`], [`rendezvous::home`] | sends it to the home to be placed |
//! | a load report, a dispatched request, a first token | [`load::LoadTable`] | |
//! | a server's snapshot or cache events, a finished attempt, a store's answer | [`index::CacheIndex`] | fetches a snapshot on [`index::SyncStatus::SnapshotNeeded`] |
//! | a prompt to place | [`index::CacheIndex::view`], [`choice::choose`] | imports the listed blocks, then dispatches |
//! | the offers of several regions' homes | [`offers::best`] | dispatches to the best offer |
//! | a block to import or export | [`single_flight::SingleFlight`] | runs the transfer, or waits for its leader |
//! | bytes for another region | [`link::LinkBudget`] | sends, or waits |
//! | a finished attempt | [`export::plan`] | exports and renews the listed blocks |

pub mod chain;
pub mod choice;
pub mod export;
pub mod index;
pub mod link;
pub mod load;
pub mod offers;
pub mod prefetch;
pub mod rebuild;
pub mod rendezvous;
pub mod single_flight;
