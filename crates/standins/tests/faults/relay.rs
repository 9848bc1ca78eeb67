//! Tests of links: counters, cuts and connections that go silent.

use standins::relay::{Link, LinkConfig, Partition, Relay};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const QUESTION: &[u8] = b"question";

/// Starts a server that sends back what it reads.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = socket.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    address
}

async fn link_and_relay() -> (Arc<Link>, Relay) {
    let link = Link::new(LinkConfig { delay_ms: 1.0, bytes_per_s: None });
    let relay = Relay::start(Arc::clone(&link), echo().await).await.unwrap();
    (link, relay)
}

async fn ask(socket: &mut TcpStream) -> io::Result<()> {
    let mut answer = [0; QUESTION.len()];
    socket.write_all(QUESTION).await?;
    socket.read_exact(&mut answer).await?;
    assert_eq!(answer, *QUESTION);
    Ok(())
}

/// Returns whether nothing comes back for a while.
async fn is_silent(socket: &mut TcpStream) -> bool {
    tokio::time::timeout(Duration::from_millis(100), ask(socket)).await.is_err()
}

#[tokio::test]
async fn bytes_are_counted_each_way() {
    let (link, relay) = link_and_relay().await;
    let mut socket = TcpStream::connect(relay.address()).await.unwrap();
    ask(&mut socket).await.unwrap();
    let counters = link.counters();
    let passed = (counters.forward_bytes.value(), counters.backward_bytes.value());
    assert_eq!(passed, (QUESTION.len() as u64, QUESTION.len() as u64));
    assert_eq!(link.reversed().counters().forward_bytes, counters.backward_bytes);
}

#[tokio::test]
async fn a_blackhole_holds_bytes_back_until_it_ends() {
    let (link, relay) = link_and_relay().await;
    let mut socket = TcpStream::connect(relay.address()).await.unwrap();
    ask(&mut socket).await.unwrap();
    link.set_partition(Partition::Blackhole);
    assert!(is_silent(&mut socket).await);
    link.set_partition(Partition::None);
    let mut answer = [0; QUESTION.len()];
    socket.read_exact(&mut answer).await.unwrap();
    assert_eq!(answer, *QUESTION);
}

#[tokio::test]
async fn a_refusing_link_closes_open_and_new_connections() {
    let (link, relay) = link_and_relay().await;
    let mut socket = TcpStream::connect(relay.address()).await.unwrap();
    ask(&mut socket).await.unwrap();
    link.set_partition(Partition::Refuse);
    assert!(ask(&mut socket).await.is_err());
    let mut second = TcpStream::connect(relay.address()).await.unwrap();
    assert!(ask(&mut second).await.is_err());
}

#[tokio::test]
async fn silenced_connections_stay_silent_while_new_ones_work() {
    let (link, relay) = link_and_relay().await;
    let mut old = TcpStream::connect(relay.address()).await.unwrap();
    ask(&mut old).await.unwrap();
    link.stall_open_connections();
    assert!(is_silent(&mut old).await);
    let mut new = TcpStream::connect(relay.address()).await.unwrap();
    ask(&mut new).await.unwrap();
}
