//! A reserve of queueing time for quick requests.

/// The share of the maximum queueing time that is open to long requests.
pub const LONG_QUEUE_SHARE: f64 = 0.75;

/// The expected work up to which a request counts as quick, in prompt tokens.
const QUICK_WORK_TOKENS: u64 = 2_000;
/// The number of prompt tokens that a server prefills in the time of one answer token.
const PROMPT_TOKENS_PER_ANSWER_TOKEN: u64 = 4;
const QUICK_PRIORITY: i32 = 1;
const LONG_PRIORITY: i32 = 0;

/// The class of a request by its expected work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkClass {
    /// Few prompt tokens are prefilled and the answer is short.
    Quick,
    /// Any other request.
    Long,
}

impl WorkClass {
    /// Returns the class of a request.
    pub const fn new(recomputed_tokens: u64, max_answer_tokens: u64) -> Self {
        if work_tokens(recomputed_tokens, max_answer_tokens) <= QUICK_WORK_TOKENS {
            Self::Quick
        } else {
            Self::Long
        }
    }

    /// Returns the priority sent to the engine; a greater one runs first.
    pub const fn priority(self) -> i32 {
        match self {
            Self::Quick => QUICK_PRIORITY,
            Self::Long => LONG_PRIORITY,
        }
    }
}

/// Returns the expected work of a request, in prompt tokens.
pub const fn work_tokens(recomputed_tokens: u64, max_answer_tokens: u64) -> u64 {
    recomputed_tokens
        .saturating_add(max_answer_tokens.saturating_mul(PROMPT_TOKENS_PER_ANSWER_TOKEN))
}
