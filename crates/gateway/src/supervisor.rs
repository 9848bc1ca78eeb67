//! Runs the tasks of a process so that a panic does not end them for good.

use crate::event;
use crate::node::Node;
use std::any::Any;
use std::sync::Arc;
use std::time::Duration;

/// The delay before a task that panicked is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Runs a task, and starts it again each time it panics. Its state that is not in the node is lost.
pub async fn run<F>(node: Arc<Node>, name: &'static str, task: impl Fn(Arc<Node>) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let start = || task(Arc::clone(&node));
    restart_after_panics(start, |message| {
        node.metrics.count("task_panics", name);
        event!(error, node.now_ms(), "task_panicked", { "task": name, "message": message });
    })
    .await;
}

/// Runs a task until it returns or is aborted, and starts it again each time it panics; `report` gets
/// the message of the panic.
pub async fn restart_after_panics<F>(start: impl Fn() -> F, report: impl Fn(&str))
where
    F: Future<Output = ()> + Send + 'static,
{
    while let Err(error) = tokio::spawn(start()).await {
        let Ok(panic) = error.try_into_panic() else { return };
        report(message(panic.as_ref()));
        tokio::time::sleep(RESTART_DELAY).await;
    }
}

fn message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    text.or_else(|| panic.downcast_ref::<String>().map(String::as_str)).unwrap_or("unknown")
}
