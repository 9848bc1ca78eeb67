//! Answers that never end.

use crate::fleet::http::head;
use std::convert::Infallible;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// The part of an answer that never ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Endless {
    /// Interim heads before the head.
    InterimHeads,
    /// The value of one header.
    Header,
    /// The lines of the head.
    HeaderLines,
    /// A body with an enormous length.
    LongBody,
    /// A chunked body.
    Chunks,
    /// The size of a chunk.
    ChunkSize,
    /// A chunked body whose chunks have one byte.
    SmallChunks,
    /// A body without a length.
    Unframed,
    /// The chunked body of a refusal.
    Refusal,
    /// One event.
    Event,
    /// Comments between events.
    Comments,
}

impl Endless {
    /// Returns the beginning of the answer, and the bytes that are repeated after it.
    fn parts(self, headers: &[(&str, &str)]) -> (Vec<u8>, Vec<u8>) {
        const CHUNKED: &str = "Transfer-Encoding: chunked\r\n\r\n";
        const EVENTS: &str =
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        let text = "x".repeat(PIECE_BYTES);
        let (status, framing, repeated) = match self {
            Endless::InterimHeads => (103, "\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n".to_owned()),
            Endless::Header => (200, "X-Long: ", text),
            Endless::HeaderLines => (200, "", "X-Line: x\r\n".to_owned()),
            Endless::LongBody => (200, "Content-Length: 1000000000000\r\n\r\n", text),
            Endless::Chunks => (200, CHUNKED, chunk(&text)),
            Endless::ChunkSize => (200, CHUNKED, "0".repeat(PIECE_BYTES)),
            Endless::SmallChunks => (200, CHUNKED, chunk("x")),
            Endless::Unframed => (200, "Connection: close\r\n\r\n", text),
            Endless::Refusal => {
                (503, "X-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n", chunk(&text))
            }
            Endless::Event => (200, EVENTS, chunk(&text)),
            Endless::Comments => {
                (200, EVENTS, chunk(&format!(": no event{}\n\n", " ".repeat(COMMENT_BYTES))))
            }
        };
        let mut start = head(status, headers);
        start.extend_from_slice(framing.as_bytes());
        let repeats = PIECE_BYTES.div_ceil(repeated.len());
        (start, repeated.into_bytes().repeat(repeats))
    }
}

/// The minimum number of bytes written at once.
const PIECE_BYTES: usize = 256 * 1024;
/// The size of a comment, in bytes. Shorter ones keep an unoptimised gateway busy for seconds before
/// they add up to its limit.
const COMMENT_BYTES: usize = 120;
/// The delay after each piece, which bounds what one answer takes of the machine.
const PIECE_DELAY: Duration = Duration::from_millis(2);

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Writes an answer until the connection is closed.
///
/// # Errors
///
/// Returns the error with which the connection closed.
pub async fn write_endless(
    stream: &mut BufReader<TcpStream>,
    endless: Endless,
    headers: &[(&str, &str)],
) -> io::Result<Infallible> {
    let (start, piece) = endless.parts(headers);
    stream.write_all(&start).await?;
    loop {
        stream.write_all(&piece).await?;
        tokio::time::sleep(PIECE_DELAY).await;
    }
}
