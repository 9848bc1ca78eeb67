//! Answers that are held until they are complete, within a bounded memory.

use bytes::Bytes;
use futures_util::stream;
use gateway::answer_memory::{HeldBody, ReadError};
use gateway::memory::{MemoryAccount, Purpose};
use http_body::Frame;
use http_body_util::StreamBody;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

const MEMORY_BYTES: usize = 24 * 1024 * 1024;
/// The most frames that are read of one answer; reading them takes some ten milliseconds.
const MAX_FRAMES: usize = 32 * 1024;

/// Reads an answer in frames of a size; returns the result and the number of frames read.
async fn read(frame_bytes: usize, frames: usize) -> (Result<HeldBody, ReadError>, usize) {
    let memory = Arc::new(MemoryAccount::new(MEMORY_BYTES));
    let read = AtomicUsize::new(0);
    let frames = (0..frames).map(|_| {
        read.fetch_add(1, Ordering::Relaxed);
        Ok::<_, hyper::Error>(Frame::data(Bytes::from(vec![b'x'; frame_bytes])))
    });
    let result =
        HeldBody::read(StreamBody::new(stream::iter(frames)), memory, Purpose::Answers).await;
    (result, read.load(Ordering::Relaxed))
}

#[tokio::test]
async fn an_answer_in_tiny_frames_does_not_keep_the_processor_busy() {
    for frame_bytes in [1, 16, 64] {
        let (result, frames) = read(frame_bytes, usize::MAX).await;
        assert!(matches!(result, Err(ReadError::TooLarge)), "{frame_bytes}");
        assert!(frames <= MAX_FRAMES, "{frame_bytes}: {frames}");
    }
}

#[tokio::test]
async fn a_large_answer_in_usual_frames_is_held() {
    for (frame_bytes, frames) in [(256, 4_000), (8 * 1024, 1_000)] {
        let (result, _) = read(frame_bytes, frames).await;
        assert_eq!(result.unwrap().into_bytes().len(), frame_bytes * frames);
    }
}
