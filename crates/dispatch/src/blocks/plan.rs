//! The sources and destinations of a request's blocks.

use crate::request::PromptSegment;
use smallvec::SmallVec;
use std::net::SocketAddr;

/// The source of a segment's block, with the reason.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SegmentSource {
    /// Fetched from a store.
    Store,
    /// Fetched from another engine's memory.
    Engine,
    /// Already in the server's own memory.
    Resident,
    /// Computed by the server: the segment belongs to this request alone.
    Private,
    /// Recomputed by the server: no store is reported to hold the block.
    Uncached,
    /// Recomputed by the server: a save of the block is in progress.
    BeingSaved,
    /// Recomputed by the server: a fetch would cost more.
    FetchTooSlow,
    /// Recomputed by the server: the salt's weights are retired, or the segment is too short to
    /// fetch.
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

/// The sources and destinations of a request's blocks, with one entry per segment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BlockPlan {
    /// The store or engine to fetch each block from.
    pub fetch: Vec<Option<SocketAddr>>,
    /// The store to save each block to.
    pub save: Vec<Option<SocketAddr>>,
    /// The source of each block, with the reason.
    pub sources: SmallVec<[SegmentSource; 4]>,
    /// The expected time of each fetch, in milliseconds.
    pub segment_fetch_ms: SmallVec<[f64; 4]>,
    /// The tokens that the server does not prefill.
    pub fetched_tokens: u64,
    /// The expected time of all fetches, in milliseconds.
    pub fetch_ms: f64,
    /// The tokens of shared segments that the server recomputes.
    pub recomputed_tokens: u64,
    /// The tokens of shared segments that no store in the server's region has free capacity for.
    pub uncacheable_tokens: u64,
}

impl BlockPlan {
    /// Adjusts the plan for a server that probably holds the first `resident` blocks itself. The
    /// fetches stay in the plan: the server skips the fetch of each block that it still holds.
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

    /// Removes the transfers from and to addresses that are not allowed any more; returns whether there
    /// were any.
    pub fn retain_transfers(&mut self, is_allowed: impl Fn(SocketAddr) -> bool) -> bool {
        let mut has_removed = false;
        for transfer in self.fetch.iter_mut().chain(&mut self.save) {
            if transfer.is_some_and(|address| !is_allowed(address)) {
                *transfer = None;
                has_removed = true;
            }
        }
        has_removed
    }

    fn skip_prefill(&mut self, segment: &PromptSegment) {
        self.fetched_tokens += segment.tokens;
        self.recomputed_tokens = self.recomputed_tokens.saturating_sub(segment.tokens);
    }
}
