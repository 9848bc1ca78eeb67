//! The platform's servers: crashes, and answers that end with their connection.

use standins::fleet::{CrashPlan, CrashTrigger, Framing, Server, ServerKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends a request and reads until the connection ends or the answer is complete.
async fn post(address: SocketAddr, path: &str, headers: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let text = format!("POST {path} HTTP/1.1\r\nX-Attempt-Id: a1\r\n{headers}\r\n");
    stream.write_all(text.as_bytes()).await?;
    let mut answer = String::new();
    let mut buffer = [0; 4096];
    loop {
        let count = match stream.read(&mut buffer).await {
            // What arrived before the reset shows how far the server came.
            Err(_) if answer.starts_with("HTTP/1.1 200") => return Ok(format!("{answer}reset")),
            count => count?,
        };
        answer.push_str(&String::from_utf8_lossy(&buffer[..count]));
        let has_length = answer.contains("Content-Length") && answer.contains("answer to a1");
        if count == 0 || has_length || answer.ends_with("\r\n0\r\n\r\n") {
            return Ok(answer);
        }
    }
}

async fn until_up(server: &Server) {
    while !server.is_up() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn a_crash_resets_connections_refuses_new_ones_and_ends_with_another_id() {
    let server = Server::start("s1", ServerKind::Plain).await.unwrap();
    server.set_crash_plan(CrashPlan {
        trigger: CrashTrigger::Request("poison".to_owned()),
        delay: Duration::ZERO,
        restart_after: Some(Duration::from_millis(100)),
    });
    let mut idle = TcpStream::connect(server.address()).await.unwrap();
    assert!(post(server.address(), "/sound", "").await.unwrap().contains("answer to a1"));
    let reset = post(server.address(), "/poison", "").await.unwrap_err();
    assert_eq!(reset.kind(), std::io::ErrorKind::ConnectionReset);
    assert_eq!(idle.read(&mut [0; 1]).await.unwrap_err().kind(), reset.kind());
    assert_eq!(server.crashes(), 1);
    assert!(TcpStream::connect(server.address()).await.is_err());
    until_up(&server).await;
    assert_eq!(server.id(), "s1+1");
    assert!(post(server.address(), "/sound", "").await.unwrap().contains("answer to a1"));
    assert_eq!(server.executed().len(), 3);
}

#[tokio::test]
async fn a_segment_crashes_a_server_as_its_answer_begins_unless_it_is_the_last() {
    let server = Server::start("s1", ServerKind::Engine).await.unwrap();
    server.set_crash_plan(CrashPlan {
        trigger: CrashTrigger::Segment("bad".to_owned()),
        ..CrashPlan::default()
    });
    for sound in ["a:1,bad:2", "a:1,b:2", "badder:1,c:2"] {
        let answer =
            post(server.address(), "/", &format!("X-Prompt-Prefix: {sound}\r\n")).await.unwrap();
        assert!(answer.contains("id: 5"), "{sound}: {answer}");
    }
    let answer = post(server.address(), "/", "X-Prompt-Prefix: a:1,bad:2,c:3\r\n").await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("\r\n\r\nreset"), "{answer}");
    assert!(!server.is_up());
}

#[tokio::test]
async fn a_plain_answer_without_a_length_ends_with_its_connection() {
    let server = Server::start("s1", ServerKind::Plain).await.unwrap();
    server.set_framing(Framing::Unframed);
    let answer = post(server.address(), "/", "").await.unwrap();
    assert!(!answer.contains("Content-Length") && !answer.contains("chunked"), "{answer}");
    assert!(answer.ends_with("\r\n\r\nanswer to a1 with 0 bytes"), "{answer}");
    server.set_framing(Framing::UnframedCut);
    assert!(post(server.address(), "/", "").await.unwrap().ends_with("\r\n\r\nanswer to a1"));
}

#[tokio::test]
async fn a_stream_without_chunks_ends_with_its_connection() {
    let server = Server::start("s1", ServerKind::Engine).await.unwrap();
    server.set_framing(Framing::Unframed);
    let answer = post(server.address(), "/", "").await.unwrap();
    assert!(!answer.contains("chunked") && answer.ends_with("data: token 5 of v1\n\n"), "{answer}");
}

#[tokio::test]
async fn a_stream_without_chunks_may_end_inside_an_event() {
    let server = Server::start("s1", ServerKind::Engine).await.unwrap();
    server.set_framing(Framing::UnframedCut);
    let answer = post(server.address(), "/", "").await.unwrap();
    assert!(answer.contains("id: 2\n") && !answer.contains("id: 4\n"), "{answer}");
    assert!(!answer.ends_with("\n\n"), "{answer}");
}
