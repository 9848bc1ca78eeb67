//! The platform's servers: crashes.

use standins::fleet::{CrashPlan, CrashTrigger, Server, ServerKind};
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
        let count = stream.read(&mut buffer).await?;
        answer.push_str(&String::from_utf8_lossy(&buffer[..count]));
        if count == 0 || answer.contains("answer to a1") {
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
