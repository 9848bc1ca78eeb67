//! Where a request's parts come from and go to.

use smallvec::SmallVec;
use std::net::SocketAddr;

/// Where a part comes from, and why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartSource {
    /// A store.
    Store,
    /// The server reads it, as it belongs to this request alone.
    Own,
    /// The server reads it, as no store is known to hold it.
    Unkept,
    /// The server reads it, as a save of it is under way.
    BeingSaved,
    /// The server reads it, as a fetch would take longer.
    TooFar,
    /// The server reads it, as older weights made what is kept.
    Retired,
}

impl PartSource {
    /// Returns the source's name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            PartSource::Store => "store",
            PartSource::Own => "own",
            PartSource::Unkept => "unkept",
            PartSource::BeingSaved => "being_saved",
            PartSource::TooFar => "too_far",
            PartSource::Retired => "retired",
        }
    }
}

/// Where a request's parts come from and go to, an entry a part.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BlockPlan {
    /// The stores to fetch from.
    pub fetch: Vec<Option<SocketAddr>>,
    /// The stores to save to.
    pub save: Vec<Option<SocketAddr>>,
    /// Why.
    pub sources: SmallVec<[PartSource; 4]>,
    /// The tokens that come from stores.
    pub fetched_tokens: u64,
    /// The expected time of the fetches, in milliseconds.
    pub fetch_ms: f64,
    /// The shared tokens that the server reads, as nothing near enough keeps them.
    pub read_shared_tokens: u64,
    /// The shared tokens that no store near the server has room for.
    pub unkept_tokens: u64,
}
