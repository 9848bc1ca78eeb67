//! HTTP/1.1 on plain sockets: requests as servers read them, answers as callers read them.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let mut found = self.headers.iter().filter(|(held, _)| held.eq_ignore_ascii_case(name));
        found.next().map_or("", |(_, value)| value)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> &str {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(held, _)| *held == name).map_or("", |(_, value)| value)
    }
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(stream: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut request = Request::default();
    let mut line = String::new();
    stream.read_line(&mut line).ok().filter(|count| *count > 0)?;
    let mut words = line.split_whitespace();
    request.method = words.next()?.to_owned();
    request.target = words.next()?.to_owned();
    loop {
        line.clear();
        stream.read_line(&mut line).ok().filter(|count| *count > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        request.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let length: usize = request.header("content-length").parse().unwrap_or(0);
    request.body = vec![0; length];
    stream.read_exact(&mut request.body).ok()?;
    Some(request)
}

pub fn head(status: u16, headers: &[(&str, &str)]) -> String {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut bytes = head(status, headers).into_bytes();
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    bytes.extend(body);
    stream.write_all(&bytes)
}

pub fn write_chunk(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend(bytes);
    chunk.extend(b"\r\n");
    stream.write_all(&chunk)
}

/// Serves each connection on a thread of its own; `answer` returns whether the connection stays.
pub fn listen<F>(address: &str, answer: F) -> std::io::Result<SocketAddr>
where
    F: Fn(&mut TcpStream, Request) -> bool + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let local = listener.local_addr()?;
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            std::thread::spawn(move || {
                stream.set_nodelay(true).ok();
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    if !answer(&mut writer, request) {
                        break;
                    }
                }
                writer.shutdown(std::net::Shutdown::Both).ok();
            });
        }
    });
    Ok(local)
}

/// An answer as a caller reads it. `status` is 0 without a head.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether it is complete according to its framing.
    pub is_complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        let mut found = self.headers.iter().filter(|(held, _)| held.eq_ignore_ascii_case(name));
        found.next().map_or("", |(_, value)| value)
    }
}

/// Reads an answer to its end, or to the end of the connection.
pub fn read_answer(stream: &mut BufReader<TcpStream>) -> Answer {
    let mut answer = Answer::default();
    let _ = read_into(stream, &mut answer);
    answer
}

fn read_into(stream: &mut BufReader<TcpStream>, answer: &mut Answer) -> Option<()> {
    let mut line = String::new();
    stream.read_line(&mut line).ok().filter(|count| *count > 0)?;
    answer.status = line.split_whitespace().nth(1)?.parse().ok()?;
    loop {
        line.clear();
        stream.read_line(&mut line).ok().filter(|count| *count > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        answer.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    if answer.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            line.clear();
            stream.read_line(&mut line).ok().filter(|count| *count > 0)?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk).ok()?;
            if size == 0 {
                answer.is_complete = true;
                return Some(());
            }
            answer.body.extend(&chunk[..size]);
        }
    }
    let length: usize = answer.header("content-length").parse().ok()?;
    answer.body = vec![0; length];
    stream.read_exact(&mut answer.body).ok()?;
    answer.is_complete = true;
    Some(())
}
