//! Callers whose long prompts return, and callers with quick questions.

use crate::caller::{Caller, CompletionBody, Question};
use crate::run::Context;
use crate::scenario::{ORGANISATION_SHARES, PREAMBLE_TOKENS};
use crate::text;
use http::Method;
use protocol::ids::WeightVersion;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use standins::expected_answer;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The priority of quick questions; long prompts have zero.
const QUICK_PRIORITY: i32 = 1;
const QUICK_TOKENS: u64 = 150;
const QUICK_ANSWER_TOKENS: u64 = 4;
const QUICK_GAP_MS: u64 = 400;
/// The share of returns through the other region, in percent.
const AWAY_PERCENT: u32 = 10;

/// Returns the bearer key of an organisation.
pub fn bearer_key(organisation: usize) -> String {
    format!("quickstart-key-{organisation}")
}

/// Returns the organisation of a conversation, so that the shares are kept.
pub fn organisation_of(conversation: usize, conversations: usize) -> usize {
    let place = (conversation * 100 / conversations) as u32;
    let mut end = 0;
    ORGANISATION_SHARES
        .iter()
        .position(|share| {
            end += share;
            place < end
        })
        .unwrap_or_default()
}

/// Comes back to one conversation until the run ends.
pub async fn converse(context: Arc<Context>, number: usize) {
    let scenario = &context.scenario;
    let organisation = organisation_of(number, scenario.conversations);
    let mut random = SmallRng::seed_from_u64(context.seed ^ ((number as u64 + 1) << 20));
    let home = usize::from(random.random_ratio(1, 3));
    let mut history = first_history(&context, organisation, &mut random);
    let first_gap_ms = random.random_range(0..=*scenario.gap_ms.end());
    context.pause(Duration::from_millis(first_gap_ms)).await;
    let mut known_tokens = context.preamble_tokens(organisation);
    let mut is_return = false;
    while !context.is_over() {
        let region = if random.random_ratio(AWAY_PERCENT, 100) { 1 - home } else { home };
        let hosts = shuffled_hosts(&context, region, &mut random);
        let max_tokens = scenario.answer_tokens;
        let asked = Asked { organisation, prompt: &history, max_tokens, priority: 0, is_return };
        let prompt_tokens = text::tokens(&history);
        context.tally.count_prompt(prompt_tokens, prompt_tokens - known_tokens);
        known_tokens = prompt_tokens;
        is_return = true;
        if let Some(answer) = ask(&context, &hosts, &asked).await {
            history.push_str(&answer);
        }
        let added = random.random_range(scenario.added_tokens.clone());
        history.push_str(&text::text(&mut random, added));
        if text::tokens(&history) > scenario.most_prompt_tokens {
            history = first_history(&context, organisation, &mut random);
            known_tokens = PREAMBLE_TOKENS;
            is_return = false;
        }
        let gap_ms = random.random_range(scenario.gap_ms.clone());
        context.pause(Duration::from_millis(gap_ms)).await;
    }
}

/// Asks quick questions until the run ends.
pub async fn ask_quickly(context: Arc<Context>) {
    let mut random = SmallRng::seed_from_u64(context.seed);
    while !context.is_over() {
        let organisation = random.random_range(0..ORGANISATION_SHARES.len());
        let region = usize::from(random.random_ratio(1, 3));
        let hosts = shuffled_hosts(&context, region, &mut random);
        let prompt = text::text(&mut random, QUICK_TOKENS);
        let max_tokens = QUICK_ANSWER_TOKENS;
        let priority = QUICK_PRIORITY;
        let asked = Asked { organisation, prompt: &prompt, max_tokens, priority, is_return: false };
        context.tally.count_prompt(QUICK_TOKENS, QUICK_TOKENS);
        ask(&context, &hosts, &asked).await;
        context.pause(Duration::from_millis(QUICK_GAP_MS)).await;
    }
}

/// Starts a history with the text that all of an organisation's prompts share.
fn first_history(context: &Context, organisation: usize, random: &mut SmallRng) -> String {
    let mut shared = SmallRng::seed_from_u64(context.seed ^ (organisation as u64 + 1));
    let mut history = text::text(&mut shared, PREAMBLE_TOKENS);
    let tokens = random.random_range(context.scenario.first_prompt_tokens.clone());
    history.push_str(&text::text(random, tokens.saturating_sub(PREAMBLE_TOKENS)));
    history
}

/// Returns the entry hosts of a region in the order in which they are tried.
pub fn shuffled_hosts(context: &Context, region: usize, random: &mut SmallRng) -> Vec<SocketAddr> {
    let mut hosts = context.place.entry_hosts(region);
    hosts.shuffle(random);
    hosts
}

struct Asked<'a> {
    organisation: usize,
    prompt: &'a str,
    max_tokens: u64,
    priority: i32,
    is_return: bool,
}

async fn ask(context: &Context, hosts: &[SocketAddr], asked: &Asked<'_>) -> Option<String> {
    let body = CompletionBody {
        model: context.scenario.model,
        prompt: asked.prompt,
        max_tokens: asked.max_tokens,
        stream: true,
        priority: asked.priority,
    };
    let question = Question {
        method: Method::POST,
        path: "/v1/completions".to_owned(),
        bearer_key: bearer_key(asked.organisation),
        idempotency_key: None,
        body: serde_json::to_vec(&body).ok()?.into(),
    };
    let caller: &Caller = &context.caller;
    context.tally.count_request();
    let Some(whole) = caller.ask_stream(hosts, &question).await else {
        context.tally.count_lost();
        return None;
    };
    let version: WeightVersion = context.place.weight_version();
    let expected = expected_answer(asked.prompt, &version, asked.max_tokens).concat();
    context.tally.count_first_token(whole.first_token, asked.is_return);
    context.tally.count_answer(whole.text == expected);
    Some(expected)
}
