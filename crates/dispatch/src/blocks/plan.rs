//! Where a request's parts come from and go to.

use crate::demand::PromptPart;
use smallvec::SmallVec;
use std::net::SocketAddr;

/// Where a part comes from, and why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartSource {
    /// A store.
    Store,
    /// Another engine's memory.
    Engine,
    /// The server's own memory.
    Resident,
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
            PartSource::Engine => "engine",
            PartSource::Resident => "resident",
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
    /// The expected time of each fetch, in milliseconds.
    pub part_fetch_ms: SmallVec<[f64; 4]>,
    /// The tokens that the server need not read.
    pub fetched_tokens: u64,
    /// The expected time of all fetches, in milliseconds.
    pub fetch_ms: f64,
    /// The shared tokens that the server reads, as nothing near enough keeps them.
    pub read_shared_tokens: u64,
    /// The shared tokens that no store near the server has room for.
    pub unkept_tokens: u64,
}

impl BlockPlan {
    /// Changes the plan for a server that probably holds the first parts itself. What it holds after
    /// all it does not fetch, so the fetches stay.
    pub fn use_resident(&mut self, parts: &[PromptPart], resident: usize) {
        for (index, part) in parts.iter().enumerate().take(resident) {
            match self.sources[index] {
                PartSource::Store | PartSource::Engine => {
                    self.fetch_ms -= self.part_fetch_ms[index];
                    self.part_fetch_ms[index] = 0.0;
                }
                PartSource::Unkept if self.save[index].is_none() => {
                    self.unkept_tokens = self.unkept_tokens.saturating_sub(part.tokens);
                    self.note_unread(part);
                }
                PartSource::Own | PartSource::Resident => continue,
                PartSource::Unkept
                | PartSource::BeingSaved
                | PartSource::TooFar
                | PartSource::Retired => self.note_unread(part),
            }
            self.sources[index] = PartSource::Resident;
        }
    }

    fn note_unread(&mut self, part: &PromptPart) {
        self.fetched_tokens += part.tokens;
        self.read_shared_tokens = self.read_shared_tokens.saturating_sub(part.tokens);
    }
}
