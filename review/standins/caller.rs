//! Callers: one request on one connection.

use crate::gateway::KEY;
use crate::http::{self, Answer};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

static NEXT: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Makes a plain call without a key.
pub fn get(address: SocketAddr, path: &str) -> Answer {
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    open(address, request.as_bytes())
        .map_or_else(Answer::default, |mut stream| http::read_answer(&mut stream))
}

/// Opens a connection and sends bytes.
pub fn open(address: SocketAddr, bytes: &[u8]) -> Option<BufReader<TcpStream>> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
    stream.write_all(bytes).ok()?;
    Some(BufReader::new(stream))
}

/// Builds the head of a request; `extra` holds whole header lines.
pub fn head(path: &str, id: &str, deadline_ms: u64, extra: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: maker.example\r\nX-Attempt-Id: {id}\r\n\
         Authorization: Bearer {KEY}\r\nX-Deadline-Ms: {deadline_ms}\r\n{extra}\
         Content-Length: {length}\r\n\r\n"
    )
}
