//! The active attempts and their event streams.

use super::Core;
use super::config::EngineFaults;
use super::instance::Instance;
use super::prefill::{self, Prefilled};
use crate::answer::ModelState;
use crate::switch::lock;
use bytes::Bytes;
use clients::wire::engine::{CompletionRequest, End, StreamBody, StreamEvent, Token};
use protocol::ids::{AttemptId, WeightVersion};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Maximum number of events buffered for a slow reader before generation pauses.
const MAX_BUFFERED_EVENTS: usize = 256;

/// The active attempts.
#[derive(Default)]
pub(super) struct Attempts {
    active: Mutex<ActiveAttempts>,
}

#[derive(Default)]
struct ActiveAttempts {
    next_number: u64,
    by_number: HashMap<u64, ActiveAttempt>,
}

struct ActiveAttempt {
    attempt_id: AttemptId,
    task: Option<AbortHandle>,
}

impl Attempts {
    /// Returns the number of active attempts.
    pub(super) fn len(&self) -> usize {
        lock(&self.active).by_number.len()
    }

    /// Aborts an attempt.
    pub(super) fn cancel(&self, attempt_id: &AttemptId) {
        let active = lock(&self.active);
        let found = active.by_number.values().filter(|attempt| attempt.attempt_id == *attempt_id);
        found.filter_map(|attempt| attempt.task.as_ref()).for_each(AbortHandle::abort);
    }

    fn add(&self, attempt_id: AttemptId) -> u64 {
        let mut active = lock(&self.active);
        active.next_number += 1;
        let number = active.next_number;
        active.by_number.insert(number, ActiveAttempt { attempt_id, task: None });
        number
    }

    fn set_task(&self, number: u64, task: Option<AbortHandle>) {
        if let Some(attempt) = lock(&self.active).by_number.get_mut(&number) {
            attempt.task = task;
        }
    }

    fn remove(&self, number: u64) {
        lock(&self.active).by_number.remove(&number);
    }
}

/// Unregisters an attempt on drop and counts its outcome.
struct AttemptGuard {
    core: Arc<Core>,
    instance: Arc<Instance>,
    number: u64,
    completed: bool,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.instance.attempts.remove(self.number);
        let completed = self.completed;
        self.core.count(|counters| match completed {
            true => counters.completed += 1,
            false => counters.abandoned += 1,
        });
    }
}

/// Starts an attempt and returns its events.
pub(super) fn start(
    core: &Arc<Core>,
    instance: &Arc<Instance>,
    request: CompletionRequest,
    version: WeightVersion,
) -> mpsc::Receiver<Bytes> {
    let (events, stream) = mpsc::channel(MAX_BUFFERED_EVENTS);
    let request = Arc::new(request);
    let number = instance.attempts.add(request.attempt_id.clone());
    let guard = AttemptGuard {
        core: Arc::clone(core),
        instance: Arc::clone(instance),
        number,
        completed: false,
    };
    let prefilled = lock(&instance.queue).push(Arc::clone(&request), version);
    instance.queue_changed.notify_one();
    let attempt =
        AttemptStream { request, events, faults: core.faults.update(take_stream_faults), sent: 0 };
    let task = instance.spawn(async move { attempt.run(guard, prefilled).await });
    instance.attempts.set_task(number, task);
    stream
}

/// Returns the stream faults for one attempt, and counts that attempt down.
fn take_stream_faults(faults: &mut EngineFaults) -> EngineFaults {
    match &mut faults.stream_fault_attempts {
        None => faults.clone(),
        Some(0) => EngineFaults::default(),
        Some(remaining) => {
            *remaining -= 1;
            faults.clone()
        }
    }
}

struct AttemptStream {
    request: Arc<CompletionRequest>,
    events: mpsc::Sender<Bytes>,
    faults: EngineFaults,
    sent: u64,
}

/// The caller has disconnected, or a fault ends the stream.
struct Stopped;

impl AttemptStream {
    async fn run(mut self, mut guard: AttemptGuard, prefilled: oneshot::Receiver<Prefilled>) {
        let closed = self.events.clone();
        tokio::select! {
            () = closed.closed() => {}
            result = self.stream(&guard, prefilled) => guard.completed = result.is_ok(),
        }
    }

    async fn stream(
        &mut self,
        guard: &AttemptGuard,
        mut prefilled: oneshot::Receiver<Prefilled>,
    ) -> Result<(), Stopped> {
        let keepalive = Duration::from_millis(guard.core.config.keepalive_ms.max(1));
        let prefilled = loop {
            tokio::select! {
                result = &mut prefilled => break result.map_err(|_| Stopped)?,
                () = tokio::time::sleep(keepalive) => self.send(": keepalive\n\n").await?,
            }
        };
        let slots = Arc::clone(&guard.instance.slots);
        let acquiring = slots.acquire_owned();
        tokio::pin!(acquiring);
        let _slot = loop {
            tokio::select! {
                result = &mut acquiring => break result.map_err(|_| Stopped)?,
                () = tokio::time::sleep(keepalive) => self.send(": keepalive\n\n").await?,
            }
        };
        self.generate(guard, prefilled.state).await?;
        self.end(prefilled.cached_tokens).await
    }

    async fn generate(&mut self, guard: &AttemptGuard, state: ModelState) -> Result<(), Stopped> {
        let gap = Duration::from_millis(guard.core.config.token_gap_ms);
        let mut due = Instant::now();
        for offset in self.request.resume_at_token..self.request.max_tokens {
            self.apply_faults().await?;
            self.send_token(state, offset).await?;
            guard.core.count(|counters| counters.sent_tokens += 1);
            if self.faults.duplicate_after_tokens == Some(self.sent) {
                self.send_token(state, offset).await?;
            }
            due += gap;
            tokio::time::sleep_until(due).await;
        }
        self.apply_faults().await
    }

    /// Stops or stalls the stream if a fault applies at this token.
    async fn apply_faults(&self) -> Result<(), Stopped> {
        if self.faults.truncated_after_tokens == Some(self.sent) {
            return Err(Stopped);
        }
        if self.faults.endless_after_tokens == Some(self.sent) {
            return self.send_endless_event().await;
        }
        if self.faults.silent_after_tokens == Some(self.sent) {
            std::future::pending::<()>().await;
        }
        Ok(())
    }

    async fn send_endless_event(&self) -> Result<(), Stopped> {
        const PIECE_BYTES: usize = 64 * 1024;
        const PIECE_DELAY: Duration = Duration::from_millis(2);
        let piece = "x".repeat(PIECE_BYTES);
        self.send("data: ").await?;
        loop {
            self.send(&piece).await?;
            tokio::time::sleep(PIECE_DELAY).await;
        }
    }

    fn is_crossed(&self) -> bool {
        self.faults.crossed_after_tokens.is_some_and(|after| self.sent >= after)
    }

    async fn send_token(&mut self, state: ModelState, offset: u64) -> Result<(), Stopped> {
        let mut attempt_id = self.request.attempt_id.clone();
        let mut text = state.token(offset);
        if self.is_crossed() {
            attempt_id = crossed_id(&attempt_id);
            text = state.after(b"crossed").token(offset);
        }
        let body = StreamBody::Token(Token { offset, text });
        self.send_event(StreamEvent { attempt_id, body }).await?;
        self.sent += 1;
        Ok(())
    }

    async fn end(&mut self, cached_tokens: u64) -> Result<(), Stopped> {
        let mut attempt_id = self.request.attempt_id.clone();
        if self.is_crossed() {
            attempt_id = crossed_id(&attempt_id);
        }
        let body = StreamBody::End(End {
            answer_tokens: self.request.max_tokens,
            prompt_tokens: prefill::tokens(self.request.prompt.len()),
            cached_tokens,
        });
        self.send_event(StreamEvent { attempt_id, body }).await?;
        self.send("data: [DONE]\n\n").await
    }

    async fn send_event(&self, event: StreamEvent) -> Result<(), Stopped> {
        let event = serde_json::to_string(&event).map_err(|_| Stopped)?;
        self.send(&format!("data: {event}\n\n")).await
    }

    async fn send(&self, text: &str) -> Result<(), Stopped> {
        self.events.send(Bytes::copy_from_slice(text.as_bytes())).await.map_err(|_| Stopped)
    }
}

/// Returns an ID that belongs to no attempt of the caller.
fn crossed_id(attempt_id: &AttemptId) -> AttemptId {
    format!("x{attempt_id}").parse().unwrap_or_else(|_| attempt_id.clone())
}
