//! Waiting on conditions.

use std::future::Future;
use std::time::Duration;

/// How often a condition is looked at.
const POLL: Duration = Duration::from_millis(20);
/// How many looks are taken before a test gives up; far beyond what any condition needs.
const MAX_LOOKS: u32 = 3_000;

/// Waits until a condition holds.
pub async fn until<F>(what: &str, mut condition: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    for _ in 0..MAX_LOOKS {
        if condition().await {
            return;
        }
        tokio::time::sleep(POLL).await;
    }
    panic!("waited in vain until {what}");
}
