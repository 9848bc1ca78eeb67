//! A reserve for quick questions beside long runs.

/// The part of the room in the queue that long runs may fill.
pub const LONG_ROOM_SHARE: f64 = 0.75;

/// The expected work up to which a request counts as quick, in prompt tokens.
const QUICK_WORK_TOKENS: u64 = 2_000;
/// The prompt tokens that are computed in the time of one answer token.
const WORK_PER_ANSWER_TOKEN: u64 = 4;
const QUICK_PRIORITY: i32 = 1;
const LONG_PRIORITY: i32 = 0;

/// Tells quick questions from long runs by their expected work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkClass {
    /// Little is computed and the answer is short.
    Quick,
    /// Everything else.
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

    /// Returns the priority that the engine is told; greater runs first.
    pub const fn priority(self) -> i32 {
        match self {
            Self::Quick => QUICK_PRIORITY,
            Self::Long => LONG_PRIORITY,
        }
    }
}

/// Returns the expected work of a request in prompt tokens.
pub const fn work_tokens(recomputed_tokens: u64, max_answer_tokens: u64) -> u64 {
    recomputed_tokens.saturating_add(max_answer_tokens.saturating_mul(WORK_PER_ANSWER_TOKEN))
}
