//! The invariants, checked from what callers and servers received.

use crate::fleet::{NOTES, ORDERS, QUICK};
use crate::traffic::Answer;
use crate::world::{
    CONVERGENCE, EVACUATED_DOMAIN, EVENTS, MIN_TIMEOUT_MS, Member, SlotEvent, WEST_DOMAIN, World,
};
use standins::fleet::{ExecutedRequest, ServerKind};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Returns the violations of the invariants.
pub fn violations(world: &World, answers: &[Answer]) -> Vec<String> {
    let executed = executed_by_id(world);
    let mut violations: Vec<String> =
        answers.iter().filter_map(|answer| answer_violation(answer, &executed)).collect();
    violations.extend(
        executed.iter().filter_map(|(id, executions)| executions_violation(id, executions)),
    );
    let members = world.members();
    violations.extend(streams(answers).values().filter_map(|tries| order_violation(tries)));
    let runners = runners(&members);
    violations.extend(answers.iter().filter_map(|answer| loss_violation(world, answer, &runners)));
    violations.extend(returns_violation(world, answers));
    violations.extend(crashing_violation(world, ServerKind::Plain, 3, &executed));
    violations.extend(crashing_violation(world, ServerKind::Engine, 5, &executed));
    violations
        .extend(members.iter().filter_map(|member| commands_violation(&member.server.commands())));
    violations
        .extend(members.iter().filter_map(|member| attempts_violation(&member.server.attempts())));
    violations.extend(evacuation_violation(world));
    violations.extend(region_violation(world));
    for slot in &world.slots {
        let previous_logs = slot.previous_logs.lock().unwrap();
        violations
            .extend(previous_logs.iter().filter_map(|lines| versions_violation(&slot.host, lines)));
    }
    violations
}

fn executed_by_id(world: &World) -> HashMap<String, Vec<ExecutedRequest>> {
    let mut by_id: HashMap<String, Vec<ExecutedRequest>> = HashMap::new();
    for executed in world.members().iter().flat_map(|member| member.server.executed()) {
        by_id.entry(executed.request.header("x-attempt-id").to_owned()).or_default().push(executed);
    }
    by_id
}

/// Requests that crash servers reach no more than three servers later than the stable window after
/// they have crashed some, from gateways that ran all the while. Plays with faults of the store or
/// pauses of gateways are left out, as these gateways may not know of the crashes.
fn crashing_violation(
    world: &World,
    kind: ServerKind,
    crashes: usize,
    executed: &HashMap<String, Vec<ExecutedRequest>>,
) -> Option<String> {
    const STABLE_WINDOW: Duration = Duration::from_secs(4);
    const MAX_LATER: usize = 3;
    /// The kinds of faults that excuse a gateway.
    const EXCUSED: [&str; 5] = [" kind 2 ", " kind 3 ", " kind 4 ", " kind 5 ", " kind 8 "];
    let faults = world.faults.lock().unwrap();
    if faults.iter().any(|fault| EXCUSED.iter().any(|excused| fault.contains(excused))) {
        return None;
    }
    let requests = world.crashing.lock().unwrap();
    let mut reached: Vec<_> = requests
        .iter()
        .filter(|request| request.kind == kind && executed.contains_key(&request.id))
        .collect();
    reached.sort_by_key(|request| request.ended);
    let known = reached.get(crashes - 1)?.ended + STABLE_WINDOW;
    let later = reached.iter().filter(|request| {
        let ran_for = world.slots[request.slot].ran_for(request.sent);
        request.sent > known && ran_for.is_some_and(|ran_for| ran_for >= STABLE_WINDOW)
    });
    let later = later.count();
    println!("  {kind:?} crashed by {} of {} requests", reached.len(), requests.len());
    (later > MAX_LATER).then(|| format!("BUDGET: {later} requests reached {kind:?} servers later"))
}

/// No request reaches a server of an evacuated failure domain once the gateways have had the time to
/// learn of the evacuation.
fn evacuation_violation(world: &World) -> Option<String> {
    let members = world.members();
    let evacuated = members.iter().filter(|member| member.domain == EVACUATED_DOMAIN);
    let arrivals: Vec<_> = evacuated.flat_map(|member| member.server.arrivals()).collect();
    let evacuations = world.evacuations();
    let late = evacuations.iter().map(|(begin, end)| {
        let is_late =
            |at: &&Instant| **at > *begin + CONVERGENCE && end.is_none_or(|end| **at < end);
        arrivals.iter().filter(is_late).count()
    });
    let late: usize = late.sum();
    if !evacuations.is_empty() {
        println!(
            "  {} evacuations, {} requests reached the domain in all",
            evacuations.len(),
            arrivals.len()
        );
    }
    (late > 0).then(|| format!("EVAC: {late} requests reached {EVACUATED_DOMAIN}"))
}

/// No request of a route reaches a server outside the region that the route allows.
fn region_violation(world: &World) -> Option<String> {
    if !world.has_places {
        return None;
    }
    let runs = |is_west: bool| {
        let members = world.members();
        let members = members.iter().filter(|member| (member.domain == WEST_DOMAIN) == is_west);
        let executed = members.flat_map(|member| member.server.executed());
        executed.filter(|executed| executed.request.path().starts_with(QUICK)).count()
    };
    let (inside, outside) = (runs(true), runs(false));
    println!("  {inside} requests ran in the only region that their route allows");
    (outside > 0).then(|| format!("HOME: {outside} requests ran outside {WEST_DOMAIN}"))
}

fn is_retryable(path: &str) -> bool {
    !path.starts_with(ORDERS) && !path.starts_with(QUICK)
}

/// A complete answer belongs to its request, and a request reported as not run has not run.
fn answer_violation(
    answer: &Answer,
    executed: &HashMap<String, Vec<ExecutedRequest>>,
) -> Option<String> {
    let Answer { id, path, response, .. } = answer;
    let executions = executed.get(id).map_or(0, Vec::len);
    let reports_not_run = [408, 421, 429, 503].contains(&response.status);
    if reports_not_run && executions > 0 && !is_retryable(path) {
        return Some(format!("{id} on {path} was refused with {} and ran", response.status));
    }
    if response.status != 200 || !response.is_complete {
        return None;
    }
    let is_own_answer = if path.starts_with(QUICK) || path.starts_with(NOTES) {
        let ids = response.body.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.eq((answer.last_event + 1..=EVENTS).map(|event| event.to_string()))
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
        return Some(format!("{id} ran with a wrong identity: {request:?}"));
    }
    None
}

/// No attempt reaches a server twice, so that no refusal of one passes for that of a later send.
fn attempts_violation(attempts: &[(String, String)]) -> Option<String> {
    let mut seen = HashSet::new();
    let again = attempts.iter().find(|attempt| !seen.insert(*attempt));
    again.map(|(server, attempt)| format!("{attempt} reached {server} twice"))
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

/// Returns the tries at each resumable stream, in their order.
fn streams(answers: &[Answer]) -> HashMap<&str, Vec<&Answer>> {
    let mut streams: HashMap<&str, Vec<&Answer>> = HashMap::new();
    for answer in answers.iter().filter(|answer| answer.path == NOTES) {
        streams.entry(&answer.first_attempt).or_default().push(answer);
    }
    streams
}

/// A stream has events of one software version, each once and in order over all its tries.
fn order_violation(tries: &[&Answer]) -> Option<String> {
    let events: Vec<_> = tries.iter().flat_map(|answer| answer.events()).collect();
    let versions: HashSet<_> = events.iter().map(|(_, version)| version).collect();
    let is_in_order = events.iter().map(|(event, _)| *event).eq(1..=events.len() as u64);
    (versions.len() > 1 || !is_in_order)
        .then(|| format!("ORDER: {} has the events {events:?}", tries[0].first_attempt))
}

/// Returns the servers that executed each attempt.
fn runners(members: &[Arc<Member>]) -> HashMap<String, Vec<&Arc<Member>>> {
    let mut runners: HashMap<String, Vec<_>> = HashMap::new();
    for member in members {
        for executed in member.server.executed() {
            let id = executed.request.header("x-attempt-id").to_owned();
            runners.entry(id).or_default().push(member);
        }
    }
    runners
}

/// A request that was read ends with a complete answer, unless its gateway was killed, a server of
/// it broke, or its time had passed. It was read if a server executed it, and if it arrived at a
/// running gateway on a connection to it that was not idle.
fn loss_violation(
    world: &World,
    answer: &Answer,
    runners: &HashMap<String, Vec<&Arc<Member>>>,
) -> Option<String> {
    /// How much earlier than its timeout a request may end.
    const MARGIN_MS: u64 = 100;
    /// How long a connection is surely not idle; less than the shortest idle timeout.
    const MAX_IDLE: Duration = Duration::from_millis(100);
    let Answer { id, path, response, sent, ended, .. } = answer;
    let took = *ended - *sent;
    if response.is_complete || took >= Duration::from_millis(MIN_TIMEOUT_MS - MARGIN_MS) {
        return None;
    }
    let slot = &world.slots[answer.slot];
    let servers = runners.get(id).map_or(&[] as &[_], Vec::as_slice);
    let outer = [SlotEvent::Killed, SlotEvent::Cut];
    if slot.had_within(&outer, *sent, *ended)
        || servers.iter().any(|member| member.broke_within(*sent, *ended))
    {
        return None;
    }
    let is_idle = answer.previous_sent.is_some_and(|previous| *sent - previous > MAX_IDLE);
    let is_leaving =
        slot.ran_for(*sent).is_none() || slot.had_within(&[SlotEvent::Terminated], *sent, *ended);
    // Such a connection leads to an earlier process, or to none.
    let is_replaced = slot.ran_for(*sent).is_some_and(|ran| *sent - ran > answer.opened);
    if servers.is_empty() && (is_idle || is_leaving || is_replaced) {
        return None;
    }
    let servers: Vec<_> = servers.iter().map(|member| member.server.id()).collect();
    Some(format!(
        "LOST: {id} on {path} at {} ended after {took:?} with {} and {} events; ran on {servers:?}; \
         connection opened {:?} and its previous request sent {:?} before; {}",
        slot.host,
        response.status,
        answer.events().len(),
        *sent - answer.opened,
        answer.previous_sent.map(|previous| *sent - previous),
        slot.events_around(*ended)
    ))
}

/// Of the returns at gateways that have run for a while, at least half as large a share goes on as
/// of new streams, while two servers of the version serve. Builds before "Count weights as new that
/// are named while a gateway reads" refuse requests of weights that were named soon after their
/// start, and are left out.
fn returns_violation(world: &World, answers: &[Answer]) -> Option<String> {
    const MIN_UPTIME: Duration = Duration::from_secs(4);
    const MIN_RETURNS: usize = 12;
    let count = |is_return: bool| {
        let counted = answers.iter().filter(|answer| {
            let slot = &world.slots[answer.slot];
            let stops = [SlotEvent::Terminated, SlotEvent::Killed, SlotEvent::Cut];
            answer.path == NOTES
                && answer.is_return() == is_return
                && answer.is_servable
                && slot.ran_for(answer.sent).is_some_and(|ran| ran >= MIN_UPTIME)
                && !slot.ran_other_build(answer.sent)
                && !slot.had_within(&stops, answer.sent, answer.ended)
        });
        let served = counted.clone().filter(|answer| answer.response.status == 200).count();
        let refused = counted.clone().filter(|answer| is_return && answer.response.status != 200);
        for Answer { id, response, slot, .. } in refused {
            println!("  return {id} at {} got {}", world.slots[*slot].host, response.status);
        }
        (served, counted.count())
    };
    let ((served, returns), (new_served, new)) = (count(true), count(false));
    println!("  returns {served}/{returns}, new streams {new_served}/{new}");
    (returns >= MIN_RETURNS && 2 * served * new < new_served * returns).then(|| {
        format!("{served} of {returns} returns went on, {new_served} of {new} new streams")
    })
}
