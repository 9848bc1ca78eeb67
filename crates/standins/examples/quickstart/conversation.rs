//! Callers that continue conversations with long prompts, and callers with short prompts.

use crate::caller::{Caller, CallerRequest, CompletionBody};
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

/// Priority of short prompts; long prompts have priority 0.
const SHORT_PRIORITY: i32 = 1;
const SHORT_PROMPT_TOKENS: u64 = 150;
const SHORT_ANSWER_TOKENS: u64 = 4;
const SHORT_GAP_MS: u64 = 400;
/// Share of requests that go through the other region, in percent.
const OTHER_REGION_PERCENT: u32 = 10;

/// Returns the bearer key of an organisation.
pub fn bearer_key(organisation: usize) -> String {
    format!("quickstart-key-{organisation}")
}

/// Returns the organisation of a conversation, according to the organisations' shares.
pub fn organisation_of(conversation: usize, conversations: usize) -> usize {
    let percent = (conversation * 100 / conversations) as u32;
    let mut end = 0;
    ORGANISATION_SHARES
        .iter()
        .position(|share| {
            end += share;
            percent < end
        })
        .unwrap_or_default()
}

/// Continues one conversation until the run ends.
pub async fn converse(context: Arc<Context>, number: usize) {
    let scenario = &context.scenario;
    let organisation = organisation_of(number, scenario.conversations);
    let mut random = SmallRng::seed_from_u64(context.seed ^ ((number as u64 + 1) << 20));
    let home_region = usize::from(random.random_ratio(1, 3));
    let mut history = new_history(&context, organisation, &mut random);
    let first_gap_ms = random.random_range(0..=*scenario.gap_ms.end());
    context.wait(Duration::from_millis(first_gap_ms)).await;
    let mut seen_tokens = context.preamble_tokens(organisation);
    let mut is_returning = false;
    while !context.is_over() {
        let region = if random.random_ratio(OTHER_REGION_PERCENT, 100) {
            1 - home_region
        } else {
            home_region
        };
        let hosts = shuffled_hosts(&context, region, &mut random);
        let max_tokens = scenario.answer_tokens;
        let request =
            PromptRequest { organisation, prompt: &history, max_tokens, priority: 0, is_returning };
        let prompt_tokens = text::tokens(&history);
        context.tally.count_prompt(prompt_tokens, prompt_tokens - seen_tokens);
        seen_tokens = prompt_tokens;
        is_returning = true;
        if let Some(answer) = send(&context, &hosts, &request).await {
            history.push_str(&answer);
        }
        let added = random.random_range(scenario.added_tokens.clone());
        history.push_str(&text::text(&mut random, added));
        if text::tokens(&history) > scenario.max_prompt_tokens {
            history = new_history(&context, organisation, &mut random);
            seen_tokens = PREAMBLE_TOKENS;
            is_returning = false;
        }
        let gap_ms = random.random_range(scenario.gap_ms.clone());
        context.wait(Duration::from_millis(gap_ms)).await;
    }
}

/// Sends short prompts until the run ends.
pub async fn send_short_prompts(context: Arc<Context>) {
    let mut random = SmallRng::seed_from_u64(context.seed);
    while !context.is_over() {
        let organisation = random.random_range(0..ORGANISATION_SHARES.len());
        let region = usize::from(random.random_ratio(1, 3));
        let hosts = shuffled_hosts(&context, region, &mut random);
        let prompt = text::text(&mut random, SHORT_PROMPT_TOKENS);
        let max_tokens = SHORT_ANSWER_TOKENS;
        let priority = SHORT_PRIORITY;
        let request = PromptRequest {
            organisation,
            prompt: &prompt,
            max_tokens,
            priority,
            is_returning: false,
        };
        context.tally.count_prompt(SHORT_PROMPT_TOKENS, SHORT_PROMPT_TOKENS);
        send(&context, &hosts, &request).await;
        context.wait(Duration::from_millis(SHORT_GAP_MS)).await;
    }
}

/// Returns a new history, which starts with the text that all of an organisation's prompts share.
fn new_history(context: &Context, organisation: usize, random: &mut SmallRng) -> String {
    let mut shared = SmallRng::seed_from_u64(context.seed ^ (organisation as u64 + 1));
    let mut history = text::text(&mut shared, PREAMBLE_TOKENS);
    let tokens = random.random_range(context.scenario.first_prompt_tokens.clone());
    history.push_str(&text::text(random, tokens.saturating_sub(PREAMBLE_TOKENS)));
    history
}

/// Returns the entry hosts of a region in the order in which they are tried.
pub fn shuffled_hosts(context: &Context, region: usize, random: &mut SmallRng) -> Vec<SocketAddr> {
    let mut hosts = context.site.entry_hosts(region);
    hosts.shuffle(random);
    hosts
}

struct PromptRequest<'a> {
    organisation: usize,
    prompt: &'a str,
    max_tokens: u64,
    priority: i32,
    is_returning: bool,
}

async fn send(
    context: &Context,
    hosts: &[SocketAddr],
    request: &PromptRequest<'_>,
) -> Option<String> {
    let body = CompletionBody {
        model: context.scenario.model,
        prompt: request.prompt,
        max_tokens: request.max_tokens,
        stream: true,
        priority: request.priority,
    };
    let call = CallerRequest {
        method: Method::POST,
        path: "/v1/completions".to_owned(),
        bearer_key: bearer_key(request.organisation),
        idempotency_key: None,
        body: serde_json::to_vec(&body).ok()?.into(),
    };
    let caller: &Caller = &context.caller;
    context.tally.count_request();
    let Some(answer) = caller.send_stream(hosts, &call).await else {
        context.tally.count_lost();
        return None;
    };
    let version: WeightVersion = context.site.weight_version();
    let expected = expected_answer(request.prompt, &version, request.max_tokens).concat();
    context.tally.count_first_token(answer.first_token, request.is_returning);
    context.tally.count_answer(answer.text == expected);
    Some(expected)
}
