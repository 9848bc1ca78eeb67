//! A caller on a plain socket.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Returns a new attempt id.
pub fn new_id() -> String {
    format!("{:016x}", 0x9c41_d07b_0000_0000 + NEXT.fetch_add(1, Ordering::Relaxed))
}

/// An answer as far as it arrived.
#[derive(Debug, Default)]
pub struct Answer {
    /// The status; zero without a head.
    pub status: u16,
    /// The body, without its framing.
    pub body: String,
    /// Whether it is whole.
    pub is_complete: bool,
}

/// Builds a request for a stream of an engine.
pub fn prompt(path: &str, id: &str, key: &str, parts: &str, tokens: u64, extra: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: pule25.example\r\nX-Attempt-Id: {id}\r\n\
         Authorization: Bearer {key}\r\nX-Deadline-Ms: 15000\r\nX-Model: m\r\n\
         X-Token-Count: {tokens},64\r\nX-Prompt-Prefix: {parts}\r\n{extra}\
         Content-Length: 4\r\n\r\nbody"
    )
}

/// Sends a request on a new connection.
pub async fn send(address: SocketAddr, text: &str) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(text.as_bytes()).await?;
    Ok(stream)
}

/// Reads one answer to its end, or to the end of the connection.
pub async fn read(stream: &mut TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let mut buffer = [0; 8192];
    loop {
        let answer = parse(&bytes);
        if answer.is_complete {
            return answer;
        }
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
            _ => return parse(&bytes),
        }
    }
}

/// Sends a request and reads its answer.
pub async fn exchange(address: SocketAddr, text: &str) -> Answer {
    match send(address, text).await {
        Ok(mut stream) => read(&mut stream).await,
        Err(_) => Answer::default(),
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut values = lines.filter(|(found, _)| found.eq_ignore_ascii_case(name));
    values.next().map(|(_, value)| value.trim())
}

fn parse(bytes: &[u8]) -> Answer {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let Some((head, rest)) = text.split_once("\r\n\r\n") else { return Answer::default() };
    let status = head.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut answer = Answer { status, ..Answer::default() };
    if header(head, "transfer-encoding").is_some() {
        let mut rest = rest;
        while let Some((size, after)) = rest.split_once("\r\n") {
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else { break };
            if size == 0 {
                answer.is_complete = true;
                break;
            }
            let Some(chunk) = after.get(..size) else { break };
            answer.body.push_str(chunk);
            rest = after.get(size + 2..).unwrap_or("");
        }
        return answer;
    }
    let length = header(head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    answer.body = rest.to_owned();
    answer.is_complete = rest.len() >= length;
    answer
}
