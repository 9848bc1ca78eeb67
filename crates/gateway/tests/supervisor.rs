//! Tasks that panic.

use gateway::supervisor::restart_after_panics;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};

#[tokio::test]
async fn a_task_that_panics_is_started_again_until_it_returns() {
    static STARTS: AtomicU32 = AtomicU32::new(0);
    let messages = Mutex::new(Vec::new());
    let start = || async {
        let starts = STARTS.fetch_add(1, Ordering::Relaxed);
        assert!(starts > 1, "start {starts}");
    };
    restart_after_panics(start, |message| messages.lock().unwrap().push(message.to_owned())).await;
    assert_eq!(STARTS.load(Ordering::Relaxed), 3);
    assert_eq!(*messages.lock().unwrap(), ["start 0", "start 1"]);
}
