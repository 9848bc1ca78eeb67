//! What one connection receives of answers, in the gateway's account of memory.

use bytes::Bytes;
use gateway::answer_memory::ReadError;
use gateway::connect::{self, ClientConnection, SendError};
use gateway::memory::{MemoryAccount, MemoryShare, Purpose};
use http::Request;
use http_body_util::{BodyExt, Full};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The account, of which a quarter is set aside for answers.
const ACCOUNT_BYTES: usize = 400_000;
/// What fits the pipe between a connection and its server.
const PIPE_BYTES: usize = 1 << 20;

/// Opens a connection to a server that answers each request with some bytes.
async fn connection(memory: &Arc<MemoryAccount>, answer: String) -> ClientConnection {
    let (near, mut far) = tokio::io::duplex(PIPE_BYTES);
    tokio::spawn(async move {
        let mut request = [0; 1_024];
        while far.read(&mut request).await.is_ok_and(|read| read > 0) {
            drop(far.write_all(answer.as_bytes()).await);
        }
    });
    let share = MemoryShare::new(Arc::clone(memory), Purpose::Answers);
    connect::handshake(near, share).await.unwrap()
}

fn account() -> Arc<MemoryAccount> {
    Arc::new(MemoryAccount::new(ACCOUNT_BYTES))
}

fn held(memory: &MemoryAccount) -> usize {
    memory.ledger().held_bytes(Purpose::Answers)
}

fn request() -> Request<Full<Bytes>> {
    Request::get("/").header("Host", "x").body(Full::default()).unwrap()
}

/// Guards against interim heads that are read until the request's deadline.
#[tokio::test]
async fn interim_heads_without_end_end_the_connection() {
    let memory = account();
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    let sent = interim.repeat(PIPE_BYTES / interim.len());
    let mut connection = connection(&memory, sent).await;
    assert!(matches!(connection.send(request()).await, Err(SendError::TooLarge)));
}

/// Guards against the size of a chunk that is read until the request's deadline.
#[tokio::test]
async fn a_chunk_size_without_end_ends_the_body() {
    let memory = account();
    let zeros = "0".repeat(PIPE_BYTES / 2);
    let sent = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{zeros}");
    let mut connection = connection(&memory, sent).await;
    let mut answer = connection.send(request()).await.unwrap();
    let frame = answer.body_mut().frame().await;
    assert!(matches!(frame, Some(Err(ReadError::TooLarge))));
}

/// Guards against heads that no account holds.
#[tokio::test]
async fn unfinished_heads_are_held_until_their_connection_closes() {
    const HEAD_BYTES: usize = 60_000;
    const CROWD: usize = 20;
    let memory = account();
    let sent = format!("HTTP/1.1 200 OK\r\nX-Long: {}", "y".repeat(HEAD_BYTES));
    let (mut refused, mut waiting) = (0, Vec::new());
    for _ in 0..CROWD {
        let mut connection = connection(&memory, sent.clone()).await;
        let before = held(&memory);
        let mut exchange = tokio::spawn(async move { connection.send(request()).await.map(drop) });
        loop {
            if exchange.is_finished() {
                assert!(matches!((&mut exchange).await.unwrap(), Err(SendError::TooLarge)));
                refused += 1;
                break;
            }
            if held(&memory) >= before + HEAD_BYTES {
                waiting.push(exchange);
                break;
            }
            tokio::task::yield_now().await;
        }
        assert!(held(&memory) <= ACCOUNT_BYTES);
    }
    assert!(refused > 0 && !waiting.is_empty(), "{refused} refused, {} wait", waiting.len());
    for exchange in waiting {
        exchange.abort();
        assert!(exchange.await.is_err());
    }
    while held(&memory) > 0 {
        tokio::task::yield_now().await;
    }
}

/// Guards against streams that are cut because others hold the memory, though they hold none.
#[tokio::test]
async fn a_body_that_is_passed_on_needs_no_room() {
    const BODY_BYTES: usize = 200_000;
    let memory = account();
    let mut others = MemoryShare::new(Arc::clone(&memory), Purpose::Connections);
    others.resize(ACCOUNT_BYTES);
    let mut answers = MemoryShare::new(Arc::clone(&memory), Purpose::Answers);
    answers.resize(ACCOUNT_BYTES);
    let long = "y".repeat(500);
    let body = "x".repeat(BODY_BYTES);
    let sent =
        format!("HTTP/1.1 200 OK\r\nX-Long: {long}\r\nContent-Length: {BODY_BYTES}\r\n\r\n{body}");
    let mut connection = connection(&memory, sent).await;
    let mut answer = connection.send(request()).await.unwrap();
    let mut passed_on = 0;
    while let Some(frame) = answer.body_mut().frame().await {
        passed_on += frame.unwrap().data_ref().map_or(0, Bytes::len);
    }
    assert_eq!(passed_on, BODY_BYTES);
}

/// Guards against room that one answer after another takes of a kept connection.
#[tokio::test]
async fn a_kept_connection_holds_the_present_head_only() {
    let memory = account();
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    let mut connection = connection(&memory, answer.to_owned()).await;
    for _ in 0..1_000 {
        let body = connection.send(request()).await.unwrap().into_body();
        assert_eq!(body.collect().await.unwrap().to_bytes(), "body");
        assert!(held(&memory) <= answer.len());
        connection.ready().await.unwrap();
    }
    connection.release_answer();
    assert_eq!(held(&memory), 0);
}
