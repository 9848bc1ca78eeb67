//! Commands to servers and queries of their state.

use crate::event;
use crate::link::{Call, CallError, Link, is_ok};
use crate::node::Node;
use crate::paths;
use crate::rollout_leader::lease::RolloutLease;
use crate::rollout_leader::states::ServerStates;
use crate::server_answers::{self, AnswerSource, ServerIdentity};
use dispatch::registry::{ServerEntry, ServerId};
use dispatch::rollout::Step;
use futures_util::future::join_all;
use http::StatusCode;
use platform::engine::{self, COMMAND_PATH, LoadCommand, REPORT_PATH, ServerReport};
use protocol::ids::ModelName;
use std::sync::Arc;
use std::time::Duration;

/// How long a server may take to answer a command or a query.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// The interval between queries of a server that loads weights, in milliseconds; queries are paid
/// for.
const QUERY_INTERVAL_MS: u64 = 240;
/// How long gateways send no requests to a server that loads weights, unless an update reports that
/// it has loaded them, in milliseconds: attempts end within a second, and a load takes less than
/// one.
const OCCUPIED_MS: u64 = 2_500;

/// Sends the queries of a step in parallel, then its commands in parallel.
pub async fn execute(
    node: &Arc<Node>,
    states: &mut ServerStates,
    lease: &RolloutLease,
    model: &ModelName,
    newest: u64,
    step: Step,
) {
    let entries = |ids: &[ServerId]| -> Vec<ServerEntry> {
        let state = node.state();
        let registered = ids.iter().filter_map(|id| Some(state.registry.get(id)?.0));
        let now_ms = node.now_ms();
        registered.filter(|entry| !state.is_paused(entry, now_ms)).cloned().collect()
    };
    let now_ms = node.now_ms();
    let mut queries = entries(&step.query);
    queries.retain(|entry| states.may_query(entry, QUERY_INTERVAL_MS, now_ms));
    let reports = join_all(queries.iter().map(|entry| report(node, entry))).await;
    for (entry, report) in queries.iter().zip(reports) {
        if report.is_none() {
            paths::verify(node, &Arc::new(entry.clone()));
        }
        record_loaded(node, entry, model, newest, report.as_ref());
        states.record_report(entry, report, node.now_ms());
    }
    let commands = entries(&step.command);
    let commands: Vec<(ServerEntry, u64)> = commands
        .into_iter()
        .filter_map(|entry| states.commands_accepted(&entry).map(|accepted| (entry, accepted)))
        .filter(|(_, accepted)| lease.may_command(node, *accepted))
        .collect();
    // The lease is checked last: queries take time, and the host may have been suspended.
    let Some(fence) = lease.fence(node) else { return };
    let holder = node.settings.host.as_str();
    let answers = join_all(commands.iter().map(|(entry, commands_accepted)| {
        let command = LoadCommand {
            model,
            weight_version: newest,
            holder,
            fence,
            commands_accepted: *commands_accepted,
        };
        send_command(node, entry, command)
    }));
    for (entry, _) in &commands {
        states.record_command(entry, node.now_ms());
    }
    for ((entry, accepted), answer) in commands.iter().zip(answers.await) {
        if answer.is_err() {
            paths::verify(node, &Arc::new(entry.clone()));
        }
        record_answer(node, states, entry, *accepted, fence.value(), newest, answer);
    }
}

async fn report(node: &Node, entry: &ServerEntry) -> Option<ServerReport> {
    node.metrics.count("health_checks", "report");
    let call = Call::get(REPORT_PATH, ANSWER_TIMEOUT).expecting(&entry.id);
    let answer = Link::new(entry.address).call(call).await.ok()?;
    let server = ServerIdentity::new(entry);
    let (status, headers) = (answer.status(), answer.headers());
    server_answers::record(node, &server, status, headers, AnswerSource::Report);
    let report = is_ok(&answer).then(|| engine::decode_report(answer.body()).ok()).flatten()?;
    let is_same_incarnation =
        report.started_unix_ms.is_none_or(|started| started == entry.incarnation.value());
    is_same_incarnation.then_some(report)
}

async fn send_command(
    node: &Node,
    entry: &ServerEntry,
    command: LoadCommand<'_>,
) -> Result<StatusCode, CallError> {
    let call = Call::post(COMMAND_PATH, engine::encode_load_command(&command), ANSWER_TIMEOUT);
    let answer = Link::new(entry.address).call(call.expecting(&entry.id)).await?;
    let server = ServerIdentity::new(entry);
    let (status, headers) = (answer.status(), answer.headers());
    server_answers::record(node, &server, status, headers, AnswerSource::Command);
    Ok(answer.status())
}

fn record_answer(
    node: &Node,
    states: &mut ServerStates,
    entry: &ServerEntry,
    commands_accepted: u64,
    fence: u64,
    newest: u64,
    answer: Result<StatusCode, CallError>,
) {
    let now_ms = node.now_ms();
    let status = answer.as_ref().ok().map(StatusCode::as_u16);
    event!(info, now_ms, "server_ordered", {
        "server": entry.id.as_str(),
        "version": newest,
        "fence": fence,
        "orders_accepted": commands_accepted,
        "status": status,
    });
    node.metrics.count(
        "orders",
        status.map_or("unanswered", |status| match status {
            200 | 202 => "accepted",
            _ => "refused",
        }),
    );
    match answer {
        Ok(StatusCode::ACCEPTED | StatusCode::OK) | Err(_) => {
            // A command without an answer may have been accepted.
            node.state().loads.occupy(&entry.id, now_ms + OCCUPIED_MS);
            node.queue_update(|update| update.occupied.push((entry.id.clone(), OCCUPIED_MS)));
        }
        Ok(_) => states.record_refusal(entry),
    }
}

/// Records that a server has loaded the newest weights, and sends that to all gateways.
fn record_loaded(
    node: &Node,
    entry: &ServerEntry,
    model: &ModelName,
    newest: u64,
    report: Option<&ServerReport>,
) {
    let Some(report) = report else { return };
    let has_newest = report.weight_versions.get(model).is_some_and(|held| *held >= newest);
    if report.is_busy || !has_newest {
        return;
    }
    let mut state = node.state();
    state.registry.record_version(&entry.id, model, newest);
    state.loads.release(&entry.id);
    drop(state);
    node.queue_update(|update| update.loaded.push((entry.id.clone(), model.clone(), newest)));
    event!(info, node.now_ms(), "server_loaded", {
        "server": entry.id.as_str(),
        "version": newest,
    });
}
