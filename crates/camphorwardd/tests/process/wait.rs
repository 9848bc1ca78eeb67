//! Waiting on conditions.

use std::future::Future;
use std::time::Duration;

/// Interval between checks of a condition.
const POLL: Duration = Duration::from_millis(20);
/// Number of checks before a test fails; far more than any condition needs.
const MAX_CHECKS: u32 = 3_000;

/// Waits until a condition holds.
pub async fn until<F>(what: &str, mut condition: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    for _ in 0..MAX_CHECKS {
        if condition().await {
            return;
        }
        tokio::time::sleep(POLL).await;
    }
    panic!("timed out waiting until {what}");
}
