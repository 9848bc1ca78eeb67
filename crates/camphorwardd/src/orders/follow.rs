//! Reads the orders stream, and lets time pass for open orders.

use super::act;
use crate::constants::{
    LOG_PAGE_RECORDS, LOG_WAIT, ORDER_FIRST_WAIT, ORDER_TICK, ORDER_TICKS_PER_VIEW,
};
use crate::follow::configuration::pause_after;
use crate::node::Node;
use clients::wire::log::RecordPage;
use control::backoff::Backoff;
use membership::Reachability;
use orders::ORDERS_STREAM;
use orders::follower::{StreamPage, StreamRecord};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Reads the stream for as long as the daemon runs.
pub(crate) async fn follow(node: Arc<Node>) {
    let mut backoff = Backoff::new();
    loop {
        let from = node.orders.coordinator.next();
        let covered = node.orders.coordinator.is_covered();
        let wait = if covered { LOG_WAIT } else { ORDER_FIRST_WAIT };
        let read = node.clients.log.read(ORDERS_STREAM, from, LOG_PAGE_RECORDS, wait).await;
        match read {
            Ok(page) => {
                backoff.record_success();
                apply_page(&node, page);
            }
            Err(error) => {
                node.orders.committer().record_read_result(false);
                pause_after(&node, &mut backoff, ORDERS_STREAM, &error).await;
            }
        }
    }
}

fn apply_page(node: &Arc<Node>, page: RecordPage) {
    let now_ms = node.now_ms();
    let applied = node.orders.coordinator.apply(&to_stream_page(page), now_ms);
    let covered = node.orders.coordinator.is_covered();
    let mut committer = node.orders.committer();
    committer.record_read_result(true);
    committer.confirm(&applied.records, now_ms);
    if !covered {
        committer.push_mark();
        node.orders.committer_wake.notify_one();
    }
    drop(committer);
    act(node, applied.actions);
}

fn to_stream_page(page: RecordPage) -> StreamPage {
    let records = page.records.into_iter().map(|record| StreamRecord {
        offset: record.offset,
        appended_at_ms: record.appended_at_ms,
        value: record.value,
    });
    StreamPage { first_retained: page.first_retained, records: records.collect() }
}

/// Ticks for as long as the daemon runs, and refreshes what is known of other entry hosts.
pub(crate) async fn pass_time(node: Arc<Node>) {
    let mut ticks = tokio::time::interval(ORDER_TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for tick in 0_u64.. {
        ticks.tick().await;
        if tick.is_multiple_of(ORDER_TICKS_PER_VIEW) {
            refresh_view(&node);
        }
        let actions = node.orders.coordinator.tick(node.now_ms());
        act(&node, actions);
    }
}

/// Tells the executor which entry hosts live, and takes this host's share of the appends.
fn refresh_view(node: &Node) {
    let view = node.hosts.view(node.now_ms());
    let is_live = |host: &&membership::EntryHost| host.reachability != Reachability::Unreachable;
    let live = view.entry_hosts.iter().filter(is_live);
    let live: BTreeMap<_, _> = live.map(|host| (host.host.clone(), host.incarnation)).collect();
    let budget = node.settings.platform.log_appends_per_s as f64;
    let share = budget / live.len().max(1) as f64;
    node.orders.committer().set_appends_per_s(share);
    node.orders.coordinator.set_live_hosts(&live);
}
