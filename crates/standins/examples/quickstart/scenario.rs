//! The regions, failure domains, sizes and delays of each workload.

use protocol::size::{BytesPerSecond, TokenCount, TokensPerSecond};
use std::ops::RangeInclusive;
use std::str::FromStr;

/// Modelled size of one token's KV cache, in bytes.
pub const KV_BYTES_PER_TOKEN: u64 = 64;
/// Rate of an engine's imports and exports, and of a store host.
pub const STORE_RATE: BytesPerSecond = BytesPerSecond::new(10_000_000);
/// Prefill rate of an engine.
pub const PREFILL_RATE: TokensPerSecond = TokensPerSecond::new(20_000);
/// Interval between two tokens of an answer, in milliseconds.
pub const TOKEN_GAP_MS: u64 = 5;
/// Rate of the link between regions in each direction, in bits per second.
pub const LINK_BITS_PER_S: u64 = 30_000_000;
/// One-way delay between regions, in milliseconds.
pub const REGION_DELAY_MS: f64 = 12.0;
/// One-way delay between callers and entry hosts, in milliseconds.
pub const CALLER_DELAY_MS: f64 = 1.0;

/// A workload, with its regions, sizes and delays.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Workload {
    /// Shade suggestions and sample orders.
    Rangmilan,
    /// Notes on billets and reservations.
    Hoshino,
}

impl FromStr for Workload {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "rangmilan" => Ok(Self::Rangmilan),
            "hoshino" => Ok(Self::Hoshino),
            _ => Err(format!("unknown workload {text:?}; use rangmilan or hoshino")),
        }
    }
}

/// The parameters of a workload.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The two regions.
    pub regions: [&'static str; 2],
    /// The failure domains, each with the index of its region and its entry hosts.
    pub domains: [DomainPlan; 3],
    /// The one-way delay between failure domains of a region, in milliseconds.
    pub domain_delay_ms: f64,
    /// The model service.
    pub model_service: &'static str,
    /// The model.
    pub model: &'static str,
    /// The store service.
    pub store_service: &'static str,
    /// The order service.
    pub order_service: &'static str,
    /// The number of inference engines in each failure domain.
    pub engines_per_domain: usize,
    /// The capacity of an engine's prefix cache.
    pub engine_cache: TokenCount,
    /// The number of conversations over all organisations.
    pub conversations: usize,
    /// The size of a conversation when it starts, in tokens.
    pub first_prompt_tokens: RangeInclusive<u64>,
    /// The maximum size of a conversation, in tokens; a longer one is started over.
    pub max_prompt_tokens: u64,
    /// The size of the text that a caller adds before each further request, in tokens.
    pub added_tokens: RangeInclusive<u64>,
    /// The gap between two requests of a conversation, in milliseconds.
    pub gap_ms: RangeInclusive<u64>,
    /// The length of an answer, in tokens.
    pub answer_tokens: u64,
}

/// One failure domain.
#[derive(Clone, Copy, Debug)]
pub struct DomainPlan {
    /// The name.
    pub name: &'static str,
    /// The index of the region.
    pub region: usize,
    /// The number of entry hosts.
    pub entry_hosts: usize,
}

/// Share of the conversations of each organisation, in percent; a few organisations are large.
pub const ORGANISATION_SHARES: [u32; 10] = [25, 20, 15, 10, 7, 6, 5, 5, 4, 3];
/// Length of the text that all prompts of an organisation start with, in tokens.
pub const PREAMBLE_TOKENS: u64 = 4_000;

impl Scenario {
    /// Returns the scenario of a workload.
    pub fn new(workload: Workload) -> Self {
        match workload {
            Workload::Rangmilan => rangmilan(),
            Workload::Hoshino => hoshino(),
        }
    }
}

fn rangmilan() -> Scenario {
    Scenario {
        regions: ["kolkata", "siliguri"],
        domains: [
            DomainPlan { name: "kolkata-a", region: 0, entry_hosts: 3 },
            DomainPlan { name: "kolkata-b", region: 0, entry_hosts: 2 },
            DomainPlan { name: "siliguri-a", region: 1, entry_hosts: 2 },
        ],
        domain_delay_ms: 1.5,
        model_service: "shade-models",
        model: "shade",
        store_service: "shade-store",
        order_service: "member-desk",
        engines_per_domain: 3,
        engine_cache: TokenCount::new(40_000),
        conversations: 48,
        first_prompt_tokens: 4_000..=20_000,
        max_prompt_tokens: 32_000,
        added_tokens: 100..=800,
        gap_ms: 1_500..=6_500,
        answer_tokens: 48,
    }
}

fn hoshino() -> Scenario {
    Scenario {
        regions: ["minami", "kinki"],
        domains: [
            DomainPlan { name: "minami-a", region: 0, entry_hosts: 3 },
            DomainPlan { name: "minami-b", region: 0, entry_hosts: 2 },
            DomainPlan { name: "kinki-a", region: 1, entry_hosts: 2 },
        ],
        domain_delay_ms: 0.5,
        model_service: "notes",
        model: "note",
        store_service: "note-store",
        order_service: "order-ledger",
        engines_per_domain: 4,
        engine_cache: TokenCount::new(48_000),
        conversations: 48,
        first_prompt_tokens: 12_000..=34_000,
        max_prompt_tokens: 40_000,
        added_tokens: 100..=600,
        gap_ms: 3_000..=8_000,
        answer_tokens: 64,
    }
}
