//! A caller that sends each order twice, through entry hosts of different regions.

use crate::caller::CallerRequest;
use crate::conversation::{bearer_key, shuffled_hosts};
use crate::run::Context;
use crate::scenario::ORGANISATION_SHARES;
use http::Method;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use uuid::Uuid;

const ORDER_GAP_MS: u64 = 250;
/// Maximum delay between the two sends of one order, in milliseconds.
const MAX_RESEND_DELAY_MS: u64 = 40;
const ITEMS: [&str; 4] = ["rosewood", "terracotta", "spruce-top", "maple-back"];

/// The outcome of the orders of a run.
#[derive(Clone, Debug, Default)]
pub struct OrderOutcome {
    /// The keys of the orders that were sent.
    pub sent: BTreeSet<String>,
    /// The keys of the orders whose execution was confirmed to a caller.
    pub confirmed: BTreeSet<String>,
}

impl OrderOutcome {
    /// Returns the number of orders that were executed more than once.
    pub fn doubled(&self, executions: &BTreeMap<String, u64>) -> u64 {
        executions.values().filter(|count| **count > 1).count() as u64
    }

    /// Returns the number of orders that were not confirmed, or were confirmed but not executed.
    pub fn lost(&self, executions: &BTreeMap<String, u64>) -> u64 {
        let is_completed =
            |key: &&String| self.confirmed.contains(*key) && executions.contains_key(*key);
        self.sent.iter().filter(|key| !is_completed(key)).count() as u64
    }
}

/// Sends orders until the run ends, and returns their outcome.
pub async fn send_orders(context: Arc<Context>) -> OrderOutcome {
    let mut random = SmallRng::seed_from_u64(context.seed ^ u64::MAX);
    let mut outcome = OrderOutcome::default();
    let mut calls = JoinSet::new();
    while !context.is_over() {
        let key = Uuid::now_v7().to_string();
        let organisation = random.random_range(0..ORGANISATION_SHARES.len());
        let item = ITEMS[random.random_range(0..ITEMS.len())];
        let request = order_request(&context, organisation, &key, item);
        outcome.sent.insert(key.clone());
        for (region, delay_ms) in [(0, 0), (1, random.random_range(0..=MAX_RESEND_DELAY_MS))] {
            let hosts = shuffled_hosts(&context, region, &mut random);
            let (context, request, key) = (Arc::clone(&context), request.clone(), key.clone());
            calls.spawn(async move {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                context.caller.send_plain(&hosts, &request).await.map(|_| key)
            });
        }
        check_stock(&context, organisation, item, &mut random).await;
        context.wait(Duration::from_millis(ORDER_GAP_MS)).await;
    }
    outcome.confirmed = calls.join_all().await.into_iter().flatten().collect();
    outcome
}

fn order_request(context: &Context, organisation: usize, key: &str, item: &str) -> CallerRequest {
    CallerRequest {
        method: Method::POST,
        path: format!("/v1/services/{}/orders", context.scenario.order_service),
        bearer_key: bearer_key(organisation),
        idempotency_key: Some(key.to_owned()),
        body: format!(r#"{{"item":"{item}"}}"#).into(),
    }
}

/// Queries the stock; the call is idempotent, so it can be retried and must always be answered.
async fn check_stock(context: &Context, organisation: usize, item: &str, random: &mut SmallRng) {
    let request = CallerRequest {
        method: Method::GET,
        path: format!("/v1/services/{}/stock/{item}", context.scenario.order_service),
        bearer_key: bearer_key(organisation),
        idempotency_key: None,
        body: bytes::Bytes::new(),
    };
    let hosts = shuffled_hosts(context, 0, random);
    context.tally.count_request();
    match context.caller.send_plain(&hosts, &request).await {
        Some(_) => context.tally.count_answer(true),
        None => context.tally.count_lost(),
    }
}
