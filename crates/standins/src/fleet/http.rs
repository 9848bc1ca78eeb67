//! HTTP/1.1 requests and answers on a plain socket.

use std::collections::HashMap;
use std::io;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// A received request.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
    /// The method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// The headers, with lower-case names.
    pub headers: HashMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// Returns a header's value, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a field of the query, or an empty string.
    pub fn query(&self, name: &str) -> &str {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields.find(|(field, _)| *field == name).map_or("", |(_, value)| value)
    }
}

/// Reads one request; returns `None` at the end of the connection.
///
/// # Errors
///
/// Returns an error if the connection breaks within the request.
pub async fn read_request(
    stream: &mut BufReader<TcpStream>,
) -> io::Result<Option<ReceivedRequest>> {
    let mut line = String::new();
    if stream.read_line(&mut line).await? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace().map(str::to_owned);
    let mut request = ReceivedRequest {
        method: words.next().unwrap_or_default(),
        target: words.next().unwrap_or_default(),
        ..ReceivedRequest::default()
    };
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await?;
        let Some((name, value)) = line.split_once(':') else { break };
        request.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = request.header("content-length").parse().unwrap_or(0);
    request.body = vec![0; length];
    stream.read_exact(&mut request.body).await?;
    Ok(Some(request))
}

/// Writes an answer with a `Content-Length`.
///
/// # Errors
///
/// Returns an error if the connection breaks.
pub async fn write_answer(
    stream: &mut BufReader<TcpStream>,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = head(status, headers);
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).await?;
    stream.flush().await
}

/// Builds a head without its final blank line, to which the caller adds the framing.
pub fn head(status: u16, headers: &[(&str, &str)]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.into_bytes()
}

/// Writes one chunk of a chunked answer; an empty chunk ends the answer.
///
/// # Errors
///
/// Returns an error if the connection breaks.
pub async fn write_chunk(stream: &mut BufReader<TcpStream>, bytes: &[u8]) -> io::Result<()> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    stream.write_all(&chunk).await?;
    stream.flush().await
}
