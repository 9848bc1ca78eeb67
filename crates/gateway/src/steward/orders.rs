//! Orders to servers and questions for their state.

use crate::event;
use crate::link::{Call, CallError, Link, is_ok};
use crate::node::Node;
use crate::steward::holding::Holding;
use crate::steward::states::States;
use dispatch::registry::{ServerEntry, ServerId};
use dispatch::rollout::Step;
use futures_util::future::join_all;
use http::StatusCode;
use platform::engine::{self, COMMAND_PATH, LoadCommand, REPORT_PATH, ServerReport};
use protocol::ids::ModelName;
use std::sync::Arc;
use std::time::Duration;

/// How long a server may take to answer an order or a question.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a server that loads is asked, in milliseconds; questions are paid for.
const ASK_EVERY_MS: u64 = 240;
/// For how long others leave a server alone that loads, unless they hear that it is done, in
/// milliseconds: runs end within a second, and a load takes under one.
const OCCUPIED_MS: u64 = 2_500;

/// Gives orders and asks questions, all at once.
pub async fn carry_out(
    node: &Arc<Node>,
    states: &mut States,
    holding: &Holding,
    model: &ModelName,
    newest: u64,
    step: Step,
) {
    let entries = |ids: &[ServerId]| -> Vec<ServerEntry> {
        let state = node.state();
        ids.iter().filter_map(|id| Some(state.registry.get(id)?.0.clone())).collect()
    };
    let now_ms = node.now_ms();
    let mut ask = entries(&step.query);
    ask.retain(|entry| states.may_ask(entry, ASK_EVERY_MS, now_ms));
    let reports = join_all(ask.iter().map(|entry| report(node, entry))).await;
    for (entry, report) in ask.iter().zip(reports) {
        note_loaded(node, entry, model, newest, report.as_ref());
        states.note_report(entry, report, node.now_ms());
    }
    let orders = entries(&step.command);
    let orders: Vec<(ServerEntry, u64)> = orders
        .into_iter()
        .filter_map(|entry| states.orders_accepted(&entry).map(|accepted| (entry, accepted)))
        .filter(|(_, accepted)| holding.may_order(node, *accepted))
        .collect();
    // The lease is looked at last: questions take time, and the host may have been suspended.
    let Some(fence) = holding.fence(node) else { return };
    let holder = node.settings.host.as_str();
    let answers = join_all(orders.iter().map(|(entry, orders_accepted)| {
        let order = LoadCommand {
            model,
            weight_version: newest,
            holder,
            fence,
            commands_accepted: *orders_accepted,
        };
        send_order(entry, order)
    }));
    for (entry, _) in &orders {
        states.note_ordered(entry, node.now_ms());
    }
    for ((entry, accepted), answer) in orders.iter().zip(answers.await) {
        note_answer(node, states, entry, *accepted, fence.value(), newest, answer);
    }
}

async fn report(node: &Node, entry: &ServerEntry) -> Option<ServerReport> {
    node.metrics.count("health_checks", "report");
    let call = Call::get(REPORT_PATH, ANSWER_TIMEOUT).expecting(&entry.id);
    let answer = Link::new(entry.address).call(call).await.ok()?;
    let report = is_ok(&answer).then(|| engine::read_report(answer.body()).ok()).flatten()?;
    let is_same_life =
        report.started_unix_ms.is_none_or(|started| started == entry.incarnation.value());
    is_same_life.then_some(report)
}

async fn send_order(entry: &ServerEntry, order: LoadCommand<'_>) -> Result<StatusCode, CallError> {
    let call = Call::post(COMMAND_PATH, engine::write_load_command(&order), ANSWER_TIMEOUT);
    let answer = Link::new(entry.address).call(call.expecting(&entry.id)).await?;
    Ok(answer.status())
}

fn note_answer(
    node: &Node,
    states: &mut States,
    entry: &ServerEntry,
    orders_accepted: u64,
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
        "orders_accepted": orders_accepted,
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
            // An order without an answer may have been accepted.
            node.state().loads.occupy(&entry.id, now_ms + OCCUPIED_MS);
            node.queue_update(|update| update.occupied.push((entry.id.clone(), OCCUPIED_MS)));
        }
        Ok(_) => states.note_refused(entry),
    }
}

/// Tells everybody once a server has the newest weights.
fn note_loaded(
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
