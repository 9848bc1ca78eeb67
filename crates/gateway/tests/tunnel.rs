//! The frames of tunnels between gateways.

use gateway::tunnel::FramedStream;
use std::io::{ErrorKind, IoSlice};
use tokio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Reads all that a gateway sent before it closed.
async fn read(sent: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    FramedStream::new(sent).read_to_end(&mut bytes).await?;
    Ok(bytes)
}

#[tokio::test]
async fn frames_are_read_up_to_the_end_of_the_server_s_connection() {
    assert_eq!(read(b"\0\x05hello\0\x01!\0\0").await.unwrap(), b"hello!");
    assert_eq!(read(b"\0\0").await.unwrap(), b"");
    let large = vec![7; 20_000];
    let sent = [&[0x3e, 0x80], &large[..16_000], &[0x0f, 0xa0], &large[16_000..], &[0, 0]].concat();
    assert_eq!(read(&sent).await.unwrap(), large);
}

/// An answer without a length would look complete.
#[tokio::test]
async fn the_end_of_the_gateway_that_carries_is_not_the_end_of_the_answer() {
    for sent in [&b""[..], b"\0", b"\0\x05hel", b"\0\x05hello"] {
        assert_eq!(read(sent).await.unwrap_err().kind(), ErrorKind::ConnectionReset, "{sent:?}");
    }
}

/// The HTTP library copies bodies behind their heads for streams that take one buffer a write.
#[tokio::test]
async fn several_buffers_are_written_at_once() {
    let mut sent = Vec::new();
    let mut stream = FramedStream::new(std::io::Cursor::new(&mut sent));
    assert!(stream.is_write_vectored());
    let parts = [IoSlice::new(b"head"), IoSlice::new(b"body")];
    assert_eq!(stream.write_vectored(&parts).await.unwrap(), 8);
    assert_eq!(sent, b"headbody");
}
