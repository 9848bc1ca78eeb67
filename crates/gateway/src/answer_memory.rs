//! Reads answers that are held until they are complete, within the gateway's memory.

use crate::memory::{MemoryAccount, MemoryShare, Purpose};
use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use thiserror::Error;

/// The size below which frames are joined, in bytes. Each frame keeps a whole read buffer alive.
const MIN_CHUNK_BYTES: usize = 4 * 1024;
/// The size that a smaller frame counts as, in bytes: each frame takes some processor time, however
/// small it is.
const MIN_FRAME_BYTES: usize = 512;
/// The size of joined frames, in bytes.
const JOINED_BYTES: usize = 16 * 1024;

/// Why a body could not be read completely.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The connection was lost, or the framing is invalid.
    #[error("connection lost: {0}")]
    Aborted(#[from] hyper::Error),
    /// The answer ended with its connection before the request was written, as one does that is broken
    /// off.
    #[error("the connection ended before the request was written")]
    EndedEarly,
    /// The body is larger than the memory allows.
    #[error("the answer is too large")]
    TooLarge,
}

/// A complete body, which releases its memory as it is passed on.
#[derive(Debug)]
pub struct HeldBody {
    chunks: VecDeque<Bytes>,
    /// The bytes in all chunks.
    bytes: usize,
    share: MemoryShare,
}

impl HeldBody {
    /// Reads a body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is aborted or too large. The rest of it is unread.
    pub async fn read<B>(
        mut body: B,
        account: Arc<MemoryAccount>,
        purpose: Purpose,
    ) -> Result<Self, ReadError>
    where
        B: Body<Data = Bytes> + Unpin,
        ReadError: From<B::Error>,
    {
        if body.size_hint().lower() > account.max_answer_bytes(purpose) {
            return Err(ReadError::TooLarge);
        }
        let share = MemoryShare::new(account, purpose);
        let mut held = Self { chunks: VecDeque::new(), bytes: 0, share };
        let mut joined = BytesMut::new();
        let mut counted_bytes = 0;
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            counted_bytes += data.len().max(MIN_FRAME_BYTES);
            if !held.share.resize(counted_bytes) {
                return Err(ReadError::TooLarge);
            }
            held.bytes += data.len();
            let is_first = held.chunks.is_empty() && joined.is_empty();
            if is_first || data.len() >= MIN_CHUNK_BYTES {
                held.push(joined.split());
                held.chunks.push_back(data);
                continue;
            }
            if joined.len() + data.len() > JOINED_BYTES {
                held.push(joined.split());
            }
            if joined.is_empty() {
                joined.reserve(JOINED_BYTES);
            }
            joined.extend_from_slice(&data);
        }
        held.push(joined);
        let bytes = held.bytes;
        held.share.resize(bytes);
        Ok(held)
    }

    fn push(&mut self, joined: BytesMut) {
        if !joined.is_empty() {
            self.chunks.push_back(joined.freeze());
        }
    }

    /// Returns all bytes in one piece.
    pub fn into_bytes(mut self) -> Bytes {
        if self.chunks.len() <= 1 {
            return self.chunks.pop_front().unwrap_or_default();
        }
        let mut joined = BytesMut::with_capacity(self.bytes);
        while let Some(chunk) = self.chunks.pop_front() {
            joined.extend_from_slice(&chunk);
        }
        joined.freeze()
    }
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let chunk = self.chunks.pop_front();
        if let Some(chunk) = &chunk {
            self.bytes -= chunk.len();
            let bytes = self.bytes;
            self.share.resize(bytes);
        }
        Poll::Ready(chunk.map(|chunk| Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.chunks.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes as u64)
    }
}

/// Reads a body that nobody needs, up to a limit.
///
/// # Errors
///
/// Returns an error if the body is aborted or larger than the limit.
pub async fn discard<B>(mut body: B, limit_bytes: usize) -> Result<(), ReadError>
where
    B: Body<Data = Bytes> + Unpin,
    ReadError: From<B::Error>,
{
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        bytes += frame?.data_ref().map_or(0, Bytes::len);
        if bytes > limit_bytes {
            return Err(ReadError::TooLarge);
        }
    }
    Ok(())
}
