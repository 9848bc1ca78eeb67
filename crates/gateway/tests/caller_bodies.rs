//! Callers' bodies, read within an account of memory.

use bytes::Bytes;
use futures_util::stream;
use gateway::answer::Refusal;
use gateway::callers::body::{self, BodyLimits};
use gateway::memory::{MemoryAccount, Purpose};
use http_body::{Body, Frame, SizeHint};
use http_body_util::StreamBody;
use quickcheck::{Gen, QuickCheck};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

const MAX_BODY_BYTES: usize = 1 << 20;
const ACCOUNT_BYTES: usize = 8 << 20;
const LIMITS: BodyLimits = BodyLimits {
    size_bytes: MAX_BODY_BYTES,
    silence: Duration::from_secs(60),
    silence_when_full: Duration::from_millis(5),
    total: Duration::from_secs(60),
};

fn account() -> Arc<MemoryAccount> {
    Arc::new(MemoryAccount::new(ACCOUNT_BYTES))
}

type Frames = Vec<Result<Frame<Bytes>, std::io::Error>>;

fn frames(sizes: &[usize]) -> Frames {
    let mut next = 0;
    let mut frame = |size: &usize| {
        let bytes: Vec<u8> = (next..next + size).map(|index| index as u8).collect();
        next += size;
        Ok(Frame::data(Bytes::from(bytes)))
    };
    sizes.iter().map(&mut frame).collect()
}

/// A body that announces a length.
struct Announced {
    frames: std::vec::IntoIter<Result<Frame<Bytes>, std::io::Error>>,
    length: usize,
    /// Whether it sends nothing more after its frames, or ends.
    stalls: bool,
    was_polled: bool,
}

impl Announced {
    fn new(length: usize, sizes: &[usize], stalls: bool) -> Self {
        Self { frames: frames(sizes).into_iter(), length, stalls, was_polled: false }
    }
}

impl Body for Announced {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        self.was_polled = true;
        match self.frames.next() {
            Some(frame) => Poll::Ready(Some(frame)),
            None if self.stalls => Poll::Pending,
            None => Poll::Ready(None),
        }
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length as u64)
    }
}

async fn read_chunks(account: &Arc<MemoryAccount>, sizes: &[usize]) -> Result<Bytes, Refusal> {
    let mut body = StreamBody::new(stream::iter(frames(sizes)));
    body::read(&mut body, account, LIMITS).await
}

#[test]
fn any_body_arrives_as_it_was_sent_or_is_refused_and_its_room_comes_back() {
    fn holds(sizes: Vec<u32>) -> bool {
        let sizes: Vec<usize> = sizes.into_iter().map(|size| size as usize % 200_000).collect();
        let length: usize = sizes.iter().sum();
        let account = account();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
        let read = runtime.block_on(read_chunks(&account, &sizes));
        let expected: Vec<u8> = (0..length).map(|index| index as u8).collect();
        let held = account.ledger().total_bytes();
        let is_right = match &read {
            Ok(bytes) => *bytes == expected && held >= length && held <= MAX_BODY_BYTES,
            Err(refusal) => {
                *refusal == Refusal::BodyTooLarge && length > MAX_BODY_BYTES && held == 0
            }
        };
        drop(read);
        is_right && account.ledger().total_bytes() == 0
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 40))
        .tests(200)
        .quickcheck(holds as fn(Vec<u32>) -> bool);
}

#[tokio::test]
async fn the_room_of_a_body_comes_back_with_its_last_copy() {
    let account = account();
    let bytes = read_chunks(&account, &[70_000]).await.unwrap();
    let copy = bytes.clone();
    drop(bytes);
    assert!(account.ledger().held_bytes(Purpose::LargeBodies) >= 70_000);
    let part = copy.slice(10..20);
    drop(copy);
    assert!(account.ledger().held_bytes(Purpose::LargeBodies) >= 70_000);
    drop(part);
    assert_eq!(account.ledger().total_bytes(), 0);
}

#[tokio::test]
async fn a_body_without_room_is_refused_before_it_is_read() {
    let account = account();
    let mut held = Vec::new();
    let refused = loop {
        let mut body = Announced::new(MAX_BODY_BYTES, &[MAX_BODY_BYTES], false);
        match body::read(&mut body, &account, LIMITS).await {
            Ok(bytes) => held.push(bytes),
            Err(refusal) => break (refusal, body.was_polled),
        }
    };
    assert_eq!((held.len(), refused), (3, (Refusal::NoMemory, false)));
    assert_eq!(read_chunks(&account, &[12_000]).await.unwrap().len(), 12_000);
    assert_eq!(read_chunks(&account, &[60_000; 10]).await.unwrap_err(), Refusal::NoMemory);
    drop(held);
    assert_eq!(read_chunks(&account, &[60_000; 10]).await.unwrap().len(), 600_000);
    assert_eq!(account.ledger().total_bytes(), 0);
}

#[tokio::test]
async fn a_body_that_announces_too_much_is_refused_before_it_is_read() {
    let account = account();
    let mut body = Announced::new(MAX_BODY_BYTES + 1, &[1], false);
    assert_eq!(body::read(&mut body, &account, LIMITS).await, Err(Refusal::BodyTooLarge));
    assert!(!body.was_polled);
    assert_eq!(account.refused_bodies(), 0);
}

#[tokio::test]
async fn a_stalled_sender_gives_its_room_back_once_others_need_it() {
    let account = account();
    let mut body = Announced::new(MAX_BODY_BYTES, &[1_000], true);
    let needing = async {
        tokio::time::sleep(LIMITS.silence_when_full).await;
        account.record_refused_body();
    };
    let (read, ()) = tokio::join!(body::read(&mut body, &account, LIMITS), needing);
    assert_eq!(read, Err(Refusal::SlowBody));
    assert_eq!(account.ledger().total_bytes(), 0);
}
