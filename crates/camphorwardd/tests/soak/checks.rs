//! The invariants, checked from what callers and servers received.

use crate::fleet::{ORDERS, QUICK};
use crate::traffic::Answer;
use crate::world::World;
use standins::fleet::ExecutedRequest;
use std::collections::{HashMap, HashSet};

/// Returns the violations of the invariants.
pub fn violations(world: &World, answers: &[Answer]) -> Vec<String> {
    let executed = executed_by_id(world);
    let mut violations: Vec<String> =
        answers.iter().filter_map(|answer| answer_violation(answer, &executed)).collect();
    violations.extend(
        executed.iter().filter_map(|(id, executions)| executions_violation(id, executions)),
    );
    violations.extend(
        world.members.iter().filter_map(|member| commands_violation(&member.server.commands())),
    );
    for slot in &world.slots {
        let previous_logs = slot.previous_logs.lock().unwrap();
        violations
            .extend(previous_logs.iter().filter_map(|lines| versions_violation(&slot.host, lines)));
    }
    violations
}

fn executed_by_id(world: &World) -> HashMap<String, Vec<ExecutedRequest>> {
    let mut by_id: HashMap<String, Vec<ExecutedRequest>> = HashMap::new();
    for executed in world.members.iter().flat_map(|member| member.server.executed()) {
        by_id.entry(executed.request.header("x-attempt-id").to_owned()).or_default().push(executed);
    }
    by_id
}

fn is_retryable(path: &str) -> bool {
    !path.starts_with(ORDERS) && !path.starts_with(QUICK)
}

/// A complete answer belongs to its request, and a request reported as not run has not run.
fn answer_violation(
    answer: &Answer,
    executed: &HashMap<String, Vec<ExecutedRequest>>,
) -> Option<String> {
    let Answer { id, path, response } = answer;
    let executions = executed.get(id).map_or(0, Vec::len);
    let reports_not_run = [408, 421, 429, 503].contains(&response.status);
    if reports_not_run && executions > 0 && !is_retryable(path) {
        return Some(format!("{id} on {path} was refused with {} and ran", response.status));
    }
    if response.status != 200 || !response.is_complete {
        return None;
    }
    let is_own_answer = if path.starts_with(QUICK) || path.starts_with(crate::fleet::NOTES) {
        let ids = response.body.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.eq(["1", "2", "3", "4", "5"])
    } else {
        response.body.starts_with(&format!("answer to {id} with "))
    };
    let is_sealed = response.header("x-server-seal").is_some();
    (!is_own_answer || !is_sealed)
        .then(|| format!("{id} on {path} got another answer: {:?}", response.body))
}

/// A request that is not retryable runs once, as its organisation, without its key.
fn executions_violation(id: &str, executions: &[ExecutedRequest]) -> Option<String> {
    let request = &executions[0].request;
    if executions.len() > 1 && !is_retryable(request.path()) {
        return Some(format!("{id} on {} ran {} times", request.path(), executions.len()));
    }
    if request.header("x-tenant") != "alpha" || !request.header("authorization").is_empty() {
        return Some(format!("{id} ran with a wrong identity"));
    }
    None
}

/// The fences that a server receives never decrease, and each belongs to one holder.
fn commands_violation(commands: &[serde_json::Value]) -> Option<String> {
    let fence = |command: &serde_json::Value| command["fence"].as_u64().unwrap_or(0);
    let fences: Vec<u64> = commands.iter().map(fence).collect();
    let mut holders: HashMap<u64, HashSet<&str>> = HashMap::new();
    for command in commands {
        holders.entry(fence(command)).or_default().insert(command["holder"].as_str().unwrap_or(""));
    }
    let is_shared = holders.values().any(|holders| holders.len() > 1);
    (!fences.is_sorted() || is_shared).then(|| format!("received the commands {commands:?}"))
}

/// Configuration versions never decrease within a process.
fn versions_violation(host: &str, lines: &[serde_json::Value]) -> Option<String> {
    let in_force = lines.iter().filter(|line| line["event"] == "configuration_in_force");
    let versions: Vec<u64> = in_force.filter_map(|line| line["version"].as_u64()).collect();
    (!versions.is_sorted()).then(|| format!("{host} put the configurations {versions:?} in force"))
}
