//! Orders: the non-idempotent calls of order services, executed at most once through the log.

mod call;
mod commit;
mod follow;
mod send;

pub(crate) use call::{OrderCall, OrderRequest, execute};

use crate::node::Node;
use orders::committer::{CommitLimits, Committer};
use orders::coordinator::Coordinator;
use orders::executor::{Action, WaiterId};
use orders::limits::OrderLimits;
use orders::record::{OrderAnswer, Owner, Record};
use protocol::error::ErrorKind;
use protocol::ids::AttemptId;
use settings::process::PlatformSettings;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinSet;

/// Brings a caller its reply.
type ReplySender = oneshot::Sender<Result<OrderAnswer, ErrorKind>>;

/// Holds the orders under way on this host.
#[derive(Debug)]
pub(crate) struct Orders {
    coordinator: Coordinator,
    committer: Mutex<Committer>,
    committer_wake: Notify,
    waiters: Mutex<HashMap<WaiterId, ReplySender>>,
    requests: Mutex<HashMap<AttemptId, OrderRequest>>,
    next_waiter: AtomicU64,
    next_server: AtomicU64,
}

impl Orders {
    /// Creates the state of a host that has read nothing.
    pub(crate) fn new(platform: &PlatformSettings, owner: Owner, now_ms: u64) -> Self {
        let appends_per_s = platform.log_appends_per_s as f64;
        let limits = CommitLimits { appends_per_s, ..CommitLimits::default() };
        Self {
            coordinator: Coordinator::new(OrderLimits::new(platform.log_retention_ms), owner),
            committer: Mutex::new(Committer::new(limits, now_ms)),
            committer_wake: Notify::new(),
            waiters: Mutex::default(),
            requests: Mutex::default(),
            next_waiter: AtomicU64::new(0),
            next_server: AtomicU64::new(0),
        }
    }

    /// Returns whether no order is under way and every record is in the log.
    pub(crate) fn is_settled(&self) -> bool {
        self.coordinator.open_orders() == 0 && self.committer().pending() == 0
    }

    fn committer(&self) -> MutexGuard<'_, Committer> {
        lock(&self.committer)
    }

    fn append(&self, record: Record) {
        self.committer().push(record);
        self.committer_wake.notify_one();
    }

    fn wait_for_reply(&self) -> (WaiterId, oneshot::Receiver<Result<OrderAnswer, ErrorKind>>) {
        let waiter = WaiterId::new(self.next_waiter.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiters).insert(waiter, sender);
        (waiter, receiver)
    }

    fn reply(&self, waiter: WaiterId, reply: Result<OrderAnswer, ErrorKind>) {
        if let Some(sender) = lock(&self.waiters).remove(&waiter) {
            // A caller that left gets the recorded outcome when it comes back.
            let _ = sender.send(reply);
        }
    }
}

/// Starts the tasks that follow the stream, append to it, and let time pass.
pub(crate) fn start(node: &Arc<Node>, tasks: &mut JoinSet<()>) {
    tasks.spawn(follow::follow(Arc::clone(node)));
    tasks.spawn(follow::pass_time(Arc::clone(node)));
    tasks.spawn(commit::commit(Arc::clone(node)));
}

/// Carries out actions, each once.
fn act(node: &Arc<Node>, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Append(record) => node.orders.append(record),
            Action::Dispatch(target) => {
                tokio::spawn(send::dispatch(Arc::clone(node), target));
            }
            Action::QueryOutcome(target) => {
                tokio::spawn(send::ask_outcome(Arc::clone(node), target));
            }
            Action::Reply(waiter, reply) => node.orders.reply(waiter, reply),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
