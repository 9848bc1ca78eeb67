//! Where a request's parts come from and go to.

use crate::request::PromptSegment;
use smallvec::SmallVec;
use std::net::SocketAddr;

/// Where a part comes from, and why.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SegmentSource {
    /// A store.
    Store,
    /// Another engine's memory.
    Engine,
    /// The server's own memory.
    Resident,
    /// The server reads it, as it belongs to this request alone.
    Private,
    /// The server reads it, as no store is known to hold it.
    Uncached,
    /// The server reads it, as a save of it is under way.
    BeingSaved,
    /// The server reads it, as a fetch would take longer.
    FetchTooSlow,
    /// The server reads it, as older weights made what is kept.
    Retired,
}

impl SegmentSource {
    /// Returns the source's name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            SegmentSource::Store => "store",
            SegmentSource::Engine => "engine",
            SegmentSource::Resident => "resident",
            SegmentSource::Private => "own",
            SegmentSource::Uncached => "unkept",
            SegmentSource::BeingSaved => "being_saved",
            SegmentSource::FetchTooSlow => "too_far",
            SegmentSource::Retired => "retired",
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
    pub sources: SmallVec<[SegmentSource; 4]>,
    /// The expected time of each fetch, in milliseconds.
    pub segment_fetch_ms: SmallVec<[f64; 4]>,
    /// The tokens that the server need not read.
    pub fetched_tokens: u64,
    /// The expected time of all fetches, in milliseconds.
    pub fetch_ms: f64,
    /// The shared tokens that the server reads, as nothing near enough keeps them.
    pub recomputed_tokens: u64,
    /// The shared tokens that no store near the server has room for.
    pub uncacheable_tokens: u64,
}

impl BlockPlan {
    /// Changes the plan for a server that probably holds the first parts itself. What it holds after
    /// all it does not fetch, so the fetches stay.
    pub fn use_resident(&mut self, segments: &[PromptSegment], resident: usize) {
        for (index, segment) in segments.iter().enumerate().take(resident) {
            match self.sources[index] {
                SegmentSource::Store | SegmentSource::Engine => {
                    self.fetch_ms -= self.segment_fetch_ms[index];
                    self.segment_fetch_ms[index] = 0.0;
                }
                SegmentSource::Uncached if self.save[index].is_none() => {
                    self.uncacheable_tokens =
                        self.uncacheable_tokens.saturating_sub(segment.tokens);
                    self.skip_prefill(segment);
                }
                SegmentSource::Private | SegmentSource::Resident => continue,
                SegmentSource::Uncached
                | SegmentSource::BeingSaved
                | SegmentSource::FetchTooSlow
                | SegmentSource::Retired => self.skip_prefill(segment),
            }
            self.sources[index] = SegmentSource::Resident;
        }
    }

    fn skip_prefill(&mut self, segment: &PromptSegment) {
        self.fetched_tokens += segment.tokens;
        self.recomputed_tokens = self.recomputed_tokens.saturating_sub(segment.tokens);
    }
}
