//! Decisions on where a prompt runs and which kept work it uses; no I/O, time is an argument.
//!
//! | the daemon has | it calls | and does |
//! |---|---|---|
//! | a prompt | [`chain::PrefixChain::new`], [`rendezvous::home`] | asks the home to place it |
//! | a load report, a request sent, a first token | [`load::LoadTable`] | |
//! | a snapshot or events of a server, a finished run, a store's answer | [`index::CacheIndex`] | fetches a snapshot when told to |
//! | a prompt to place | [`index::CacheIndex::view`], [`choice::choose`] | imports what is listed, then sends |
//! | the answers of several regions' homes | [`offers::best`] | sends the prompt there |
//! | an import or export to start | [`single_flight::SingleFlight`] | runs it, or waits for the leader |
//! | bytes for the other region | [`link::LinkBudget`] | sends, or waits |
//! | a run that ended | [`export::plan`] | exports what is listed, renews what is listed |

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
