//! Reads callers' bodies within the gateway's memory.

use crate::answer::Refusal;
use crate::answer_memory;
use crate::memory::{MemoryAccount, MemoryShare, Purpose};
use bytes::Bytes;
use dispatch::configuration::CallerLimits;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The size of the first buffer for a body without a length, in bytes.
const FIRST_CAPACITY_BYTES: usize = 16 * 1024;
/// How long the sender of a refused body may go on sending, so that it gets to the refusal. A
/// connection that is closed with unread bytes is reset, and its answer lost.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);
/// The shortest time between checks of a silent sender.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The limits of one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// The maximum size, in bytes.
    pub size_bytes: usize,
    /// How long the sender may send nothing.
    pub silence: Duration,
    /// The same once another body has found no room.
    pub silence_when_full: Duration,
    /// How long the body may take.
    pub total: Duration,
}

impl BodyLimits {
    /// Returns the limits of a configuration for a body that may take a time.
    pub const fn new(limits: &CallerLimits, total: Duration) -> Self {
        Self {
            size_bytes: limits.max_body_bytes,
            silence: Duration::from_millis(limits.idle_timeout_ms),
            silence_when_full: Duration::from_millis(limits.header_timeout_ms),
            total,
        }
    }
}

/// The part of a body that has arrived, in one piece whose whole capacity is accounted for.
#[derive(Debug)]
struct HeldBytes {
    bytes: Vec<u8>,
    share: MemoryShare,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl HeldBytes {
    /// Creates an empty piece with room for the announced bytes.
    fn with_capacity(account: &Arc<MemoryAccount>, bytes: usize) -> Result<Self, Refusal> {
        let share = take_room(account, bytes)?;
        Ok(Self { bytes: Vec::with_capacity(bytes), share })
    }

    /// Appends bytes; the capacity doubles when they do not fit.
    fn push(
        &mut self,
        data: &[u8],
        account: &Arc<MemoryAccount>,
        limit_bytes: usize,
    ) -> Result<(), Refusal> {
        let (needed, capacity) = (self.bytes.len() + data.len(), self.bytes.capacity());
        if needed > limit_bytes {
            return Err(Refusal::BodyTooLarge);
        }
        if needed > capacity {
            let next = (capacity * 2).max(FIRST_CAPACITY_BYTES).min(limit_bytes).max(needed);
            // While the bytes move, both buffers exist.
            let share = take_room(account, next)?;
            self.bytes.reserve_exact(next - self.bytes.len());
            self.share = share;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the bytes, which stay accounted for until their last copy is dropped.
    fn freeze(self) -> Bytes {
        if self.bytes.is_empty() { Bytes::new() } else { Bytes::from_owner(self) }
    }
}

/// Takes the room for a body of a size.
fn take_room(account: &Arc<MemoryAccount>, bytes: usize) -> Result<MemoryShare, Refusal> {
    let mut share = MemoryShare::new(Arc::clone(account), Purpose::body(bytes));
    if share.try_grow(bytes) {
        return Ok(share);
    }
    account.record_refused_body();
    Err(Refusal::NoMemory)
}

/// Reads a body. Room for what its head announces is taken before any of it is read; a body without a
/// length takes room as it grows.
///
/// # Errors
///
/// Returns the reason for which the request is refused. The rest of the body is unread.
pub async fn read<B>(
    body: &mut B,
    account: &Arc<MemoryAccount>,
    limits: BodyLimits,
) -> Result<Bytes, Refusal>
where
    B: Body<Data = Bytes> + Unpin,
{
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > limits.size_bytes {
        return Err(Refusal::BodyTooLarge);
    }
    let mut held = HeldBytes::with_capacity(account, announced)?;
    let mut sender = Sender::new(account, limits);
    let check = tokio::time::sleep_until(sender.next_check());
    tokio::pin!(check);
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = check.as_mut() => {
                sender.check(account)?;
                check.as_mut().reset(sender.next_check());
                continue;
            }
        };
        let Some(frame) = frame else { return Ok(held.freeze()) };
        let Ok(frame) = frame else { return Err(Refusal::Malformed) };
        if let Some(data) = frame.data_ref() {
            held.push(data, account, limits.size_bytes)?;
            sender.record_progress(account);
        }
    }
}

/// Watches whether the sender of a body goes on.
#[derive(Debug)]
struct Sender {
    limits: BodyLimits,
    /// When the body must be complete.
    end: Instant,
    last_progress: Instant,
    /// The bodies that had found no room then.
    refused_bodies: u64,
}

impl Sender {
    fn new(account: &MemoryAccount, limits: BodyLimits) -> Self {
        let now = Instant::now();
        let refused_bodies = account.refused_bodies();
        Self { limits, end: now + limits.total, last_progress: now, refused_bodies }
    }

    fn record_progress(&mut self, account: &MemoryAccount) {
        self.last_progress = Instant::now();
        self.refused_bodies = account.refused_bodies();
    }

    fn next_check(&self) -> Instant {
        let silence = self.limits.silence_when_full.min(self.limits.silence);
        (Instant::now() + silence.max(MIN_CHECK_INTERVAL)).min(self.end)
    }

    /// Checks whether the sender is still in time.
    fn check(&self, account: &MemoryAccount) -> Result<(), Refusal> {
        let now = Instant::now();
        let is_full = account.refused_bodies() > self.refused_bodies;
        let limits = self.limits;
        let silence = if is_full { limits.silence_when_full } else { limits.silence };
        let is_late = now >= self.end || now.duration_since(self.last_progress) >= silence;
        if is_late { Err(Refusal::SlowBody) } else { Ok(()) }
    }
}

/// The rest of a refused body, which its sender may go on sending until it gets to the refusal.
#[derive(Debug)]
pub struct UnreadBody {
    /// The body.
    pub body: Incoming,
    /// The maximum size of what is left, in bytes.
    pub limit_bytes: usize,
}

impl UnreadBody {
    /// Reads the rest without keeping it. The connection closes in any case.
    pub async fn discard(self) {
        let discarding = answer_memory::discard(self.body, self.limit_bytes);
        drop(tokio::time::timeout(DISCARD_TIMEOUT, discarding).await);
    }
}
