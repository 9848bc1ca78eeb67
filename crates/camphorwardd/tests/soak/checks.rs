//! The promises, checked from what callers and servers saw.

use crate::fleet::{ORDERS, QUICK};
use crate::traffic::Answer;
use crate::world::World;
use standins::fleet::ExecutedRequest;
use std::collections::{HashMap, HashSet};

/// Returns the promises that were broken.
pub fn broken(world: &World, answers: &[Answer]) -> Vec<String> {
    let ran = ran_by_id(world);
    let mut broken: Vec<String> =
        answers.iter().filter_map(|answer| broken_answer(answer, &ran)).collect();
    broken.extend(ran.iter().filter_map(|(id, runs)| broken_runs(id, runs)));
    broken
        .extend(world.members.iter().filter_map(|member| broken_orders(&member.server.commands())));
    for place in &world.places {
        let ended = place.ended.lock().unwrap();
        broken.extend(ended.iter().filter_map(|lines| broken_versions(&place.host, lines)));
    }
    broken
}

fn ran_by_id(world: &World) -> HashMap<String, Vec<ExecutedRequest>> {
    let mut by_id: HashMap<String, Vec<ExecutedRequest>> = HashMap::new();
    for ran in world.members.iter().flat_map(|member| member.server.executed()) {
        by_id.entry(ran.request.header("x-attempt-id").to_owned()).or_default().push(ran);
    }
    by_id
}

fn is_repeatable(path: &str) -> bool {
    !path.starts_with(ORDERS) && !path.starts_with(QUICK)
}

/// A whole answer is the request's own, and a refusal that promises it has not run is true.
fn broken_answer(answer: &Answer, ran: &HashMap<String, Vec<ExecutedRequest>>) -> Option<String> {
    let Answer { id, path, got } = answer;
    let runs = ran.get(id).map_or(0, Vec::len);
    let promises_not_run = [408, 421, 429, 503].contains(&got.status);
    if promises_not_run && runs > 0 && !is_repeatable(path) {
        return Some(format!("{id} on {path} was refused with {} and ran", got.status));
    }
    if got.status != 200 || !got.is_whole {
        return None;
    }
    let is_own = if path.starts_with(QUICK) || path.starts_with(crate::fleet::NOTES) {
        let ids = got.body.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.eq(["1", "2", "3", "4", "5"])
    } else {
        got.body.starts_with(&format!("answer to {id} with "))
    };
    let is_sealed = got.header("x-server-seal").is_some();
    (!is_own || !is_sealed).then(|| format!("{id} on {path} got another answer: {:?}", got.body))
}

/// A request that may not be repeated runs once, as its organisation, without its key.
fn broken_runs(id: &str, runs: &[ExecutedRequest]) -> Option<String> {
    let request = &runs[0].request;
    if runs.len() > 1 && !is_repeatable(request.path()) {
        return Some(format!("{id} on {} ran {} times", request.path(), runs.len()));
    }
    if request.header("x-tenant") != "alpha" || !request.header("authorization").is_empty() {
        return Some(format!("{id} ran with a wrong identity"));
    }
    None
}

/// Fences never go down at a server, and each belongs to one holder.
fn broken_orders(orders: &[serde_json::Value]) -> Option<String> {
    let fence = |order: &serde_json::Value| order["fence"].as_u64().unwrap_or(0);
    let fences: Vec<u64> = orders.iter().map(fence).collect();
    let mut holders: HashMap<u64, HashSet<&str>> = HashMap::new();
    for order in orders {
        holders.entry(fence(order)).or_default().insert(order["holder"].as_str().unwrap_or(""));
    }
    let is_shared = holders.values().any(|holders| holders.len() > 1);
    (!fences.is_sorted() || is_shared).then(|| format!("orders came as {orders:?}"))
}

/// Configurations only go forward within a process.
fn broken_versions(host: &str, lines: &[serde_json::Value]) -> Option<String> {
    let taken = lines.iter().filter(|line| line["event"] == "configuration_in_force");
    let versions: Vec<u64> = taken.filter_map(|line| line["version"].as_u64()).collect();
    (!versions.is_sorted()).then(|| format!("{host} took configurations as {versions:?}"))
}
