//! Tests of links: byte counters, partitions and stalled connections.

use standins::relay::{Link, LinkConfig, Partition, Relay};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const REQUEST: &[u8] = b"question";

/// Starts a server that echoes every byte.
async fn start_echo_server() -> SocketAddr {
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
    let relay = Relay::start(Arc::clone(&link), start_echo_server().await).await.unwrap();
    (link, relay)
}

async fn exchange(socket: &mut TcpStream) -> io::Result<()> {
    let mut answer = [0; REQUEST.len()];
    socket.write_all(REQUEST).await?;
    socket.read_exact(&mut answer).await?;
    assert_eq!(answer, *REQUEST);
    Ok(())
}

/// Returns whether no answer arrives within 100 ms.
async fn is_stalled(socket: &mut TcpStream) -> bool {
    tokio::time::timeout(Duration::from_millis(100), exchange(socket)).await.is_err()
}

#[tokio::test]
async fn bytes_are_counted_in_each_direction() {
    let (link, relay) = link_and_relay().await;
    let mut socket = TcpStream::connect(relay.address()).await.unwrap();
    exchange(&mut socket).await.unwrap();
    let counters = link.counters();
    let passed = (counters.forward_bytes.value(), counters.backward_bytes.value());
    assert_eq!(passed, (REQUEST.len() as u64, REQUEST.len() as u64));
    assert_eq!(link.reversed().counters().forward_bytes, counters.backward_bytes);
}

#[tokio::test]
async fn a_blackhole_holds_bytes_back_until_it_ends() {
    let (link, relay) = link_and_relay().await;
    let mut socket = TcpStream::connect(relay.address()).await.unwrap();
    exchange(&mut socket).await.unwrap();
    link.set_partition(Partition::Blackhole);
    assert!(is_stalled(&mut socket).await);
    link.set_partition(Partition::None);
    let mut answer = [0; REQUEST.len()];
    socket.read_exact(&mut answer).await.unwrap();
    assert_eq!(answer, *REQUEST);
}

#[tokio::test]
async fn a_refusing_link_closes_open_and_new_connections() {
    let (link, relay) = link_and_relay().await;
    let mut socket = TcpStream::connect(relay.address()).await.unwrap();
    exchange(&mut socket).await.unwrap();
    link.set_partition(Partition::Refuse);
    assert!(exchange(&mut socket).await.is_err());
    let mut second = TcpStream::connect(relay.address()).await.unwrap();
    assert!(exchange(&mut second).await.is_err());
}

#[tokio::test]
async fn stalled_connections_stay_stalled_while_new_ones_work() {
    let (link, relay) = link_and_relay().await;
    let mut old = TcpStream::connect(relay.address()).await.unwrap();
    exchange(&mut old).await.unwrap();
    link.stall_open_connections();
    assert!(is_stalled(&mut old).await);
    let mut new = TcpStream::connect(relay.address()).await.unwrap();
    exchange(&mut new).await.unwrap();
}
