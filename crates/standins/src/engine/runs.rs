//! The attempts under way and their event streams.

use super::Core;
use super::config::EngineFaults;
use super::life::Life;
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

/// How many events wait for a slow reader before the run stops.
const STREAM_EVENTS: usize = 256;

/// Lists the attempts under way.
#[derive(Default)]
pub(super) struct Runs {
    open: Mutex<OpenRuns>,
}

#[derive(Default)]
struct OpenRuns {
    next_number: u64,
    by_number: HashMap<u64, OpenRun>,
}

struct OpenRun {
    attempt_id: AttemptId,
    task: Option<AbortHandle>,
}

impl Runs {
    /// Returns how many attempts are under way.
    pub(super) fn len(&self) -> usize {
        lock(&self.open).by_number.len()
    }

    /// Ends an attempt.
    pub(super) fn cancel(&self, attempt_id: &AttemptId) {
        let open = lock(&self.open);
        let found = open.by_number.values().filter(|run| run.attempt_id == *attempt_id);
        found.filter_map(|run| run.task.as_ref()).for_each(AbortHandle::abort);
    }

    fn add(&self, attempt_id: AttemptId) -> u64 {
        let mut open = lock(&self.open);
        open.next_number += 1;
        let number = open.next_number;
        open.by_number.insert(number, OpenRun { attempt_id, task: None });
        number
    }

    fn set_task(&self, number: u64, task: Option<AbortHandle>) {
        if let Some(run) = lock(&self.open).by_number.get_mut(&number) {
            run.task = task;
        }
    }

    fn remove(&self, number: u64) {
        lock(&self.open).by_number.remove(&number);
    }
}

/// Lists an attempt as long as it is held, and counts how it ended.
struct RunGuard {
    core: Arc<Core>,
    life: Arc<Life>,
    number: u64,
    completed: bool,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.life.runs.remove(self.number);
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
    life: &Arc<Life>,
    request: CompletionRequest,
    version: WeightVersion,
) -> mpsc::Receiver<Bytes> {
    let (events, stream) = mpsc::channel(STREAM_EVENTS);
    let request = Arc::new(request);
    let number = life.runs.add(request.attempt_id.clone());
    let guard =
        RunGuard { core: Arc::clone(core), life: Arc::clone(life), number, completed: false };
    let prefilled = lock(&life.queue).push(Arc::clone(&request), version);
    life.queue_changed.notify_one();
    let run = Run { request, events, faults: core.faults.update(take_stream_faults), sent: 0 };
    let task = life.spawn(async move { run.complete(guard, prefilled).await });
    life.runs.set_task(number, task);
    stream
}

/// Returns the stream faults for one run, and counts that run.
fn take_stream_faults(faults: &mut EngineFaults) -> EngineFaults {
    match &mut faults.stream_fault_attempts {
        None => faults.clone(),
        Some(0) => EngineFaults::default(),
        Some(left) => {
            *left -= 1;
            faults.clone()
        }
    }
}

struct Run {
    request: Arc<CompletionRequest>,
    events: mpsc::Sender<Bytes>,
    faults: EngineFaults,
    sent: u64,
}

/// Says that the caller is gone or that a fault ends the stream here.
struct Stopped;

impl Run {
    async fn complete(mut self, mut guard: RunGuard, prefilled: oneshot::Receiver<Prefilled>) {
        let closed = self.events.clone();
        tokio::select! {
            () = closed.closed() => {}
            result = self.stream(&guard, prefilled) => guard.completed = result.is_ok(),
        }
    }

    async fn stream(
        &mut self,
        guard: &RunGuard,
        mut prefilled: oneshot::Receiver<Prefilled>,
    ) -> Result<(), Stopped> {
        let keepalive = Duration::from_millis(guard.core.config.keepalive_ms.max(1));
        let prefilled = loop {
            tokio::select! {
                result = &mut prefilled => break result.map_err(|_| Stopped)?,
                () = tokio::time::sleep(keepalive) => self.send(": keepalive\n\n").await?,
            }
        };
        let slots = Arc::clone(&guard.life.slots);
        let waiting = slots.acquire_owned();
        tokio::pin!(waiting);
        let _slot = loop {
            tokio::select! {
                result = &mut waiting => break result.map_err(|_| Stopped)?,
                () = tokio::time::sleep(keepalive) => self.send(": keepalive\n\n").await?,
            }
        };
        self.generate(guard, prefilled.state).await?;
        self.end(prefilled.cached_tokens).await
    }

    async fn generate(&mut self, guard: &RunGuard, state: ModelState) -> Result<(), Stopped> {
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

    /// Stops or falls silent where a fault says so.
    async fn apply_faults(&self) -> Result<(), Stopped> {
        if self.faults.truncated_after_tokens == Some(self.sent) {
            return Err(Stopped);
        }
        if self.faults.silent_after_tokens == Some(self.sent) {
            std::future::pending::<()>().await;
        }
        Ok(())
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

/// Returns an id that belongs to no attempt of the caller.
fn crossed_id(attempt_id: &AttemptId) -> AttemptId {
    format!("x{attempt_id}").parse().unwrap_or_else(|_| attempt_id.clone())
}
