//! Answers without a length or chunks, which end with their connection.

use crate::caller::{new_id, post, read, request};
use crate::fleet::{Fleet, NOTES, QUICK, STATUS};
use standins::fleet::Framing;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const EVENTS: u64 = 5;
const NO_GAP: Duration = Duration::from_millis(1);

fn has_all_events(body: &str) -> bool {
    let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.eq((1..=EVENTS).map(|event| event.to_string()))
}

#[tokio::test]
async fn unframed_answers_are_passed_on_whole() {
    let fleet = Fleet::start(1, 1).await;
    let gateway = fleet.gateway("gateway-1").await;
    for server in fleet.desks.iter().chain(&fleet.engines) {
        server.set_framing(Framing::Unframed);
    }
    let plain = post(&gateway, STATUS).await;
    assert_eq!((plain.status, plain.is_complete), (200, true));
    for path in [NOTES, QUICK] {
        let stream = post(&gateway, path).await;
        assert_eq!((stream.status, stream.is_complete), (200, true));
        assert!(has_all_events(&stream.body), "{}", stream.body);
    }
}

#[tokio::test]
async fn an_unframed_stream_that_ends_inside_an_event_is_resumed_or_aborted() {
    let fleet = Fleet::start(0, 2).await;
    let gateway = fleet.gateway("gateway-1").await;
    fleet.engines.iter().for_each(|engine| engine.set_framing(Framing::UnframedCut));
    let aborted = post(&gateway, QUICK).await;
    assert!(!aborted.is_complete && !aborted.body.contains("id: 3"), "{}", aborted.body);
    fleet.engines[0].set_framing(Framing::Framed);
    for _ in 0..4 {
        let resumed = post(&gateway, NOTES).await;
        assert!(resumed.is_complete && has_all_events(&resumed.body), "{}", resumed.body);
    }
}

#[tokio::test]
async fn an_unframed_stream_that_ends_before_its_first_event_is_no_whole_answer() {
    let fleet = Fleet::start(0, 1).await;
    let gateway = fleet.gateway("gateway-1").await;
    fleet.engines[0].set_events(0, NO_GAP);
    fleet.engines[0].set_framing(Framing::Unframed);
    assert_eq!(post(&gateway, QUICK).await.status, 502);
    fleet.engines[0].set_framing(Framing::Framed);
    let empty = post(&gateway, QUICK).await;
    assert_eq!((empty.status, empty.is_complete), (200, true));
}

/// A server cuts off an answer that its caller leaves unread, in the middle of what is under way.
#[tokio::test]
async fn an_unread_stream_that_its_server_cuts_off_is_not_complete() {
    const LARGE_EVENT_BYTES: usize = 64 << 10;
    const READ_EVENTS: u64 = 200;
    let fleet = Fleet::start(0, 1).await;
    let gateway = fleet.gateway("gateway-1").await;
    fleet.engines[0].set_padding_bytes(LARGE_EVENT_BYTES);
    fleet.engines[0].set_events(2 * READ_EVENTS, NO_GAP);
    for path in [NOTES, QUICK] {
        let mut stream = TcpStream::connect(gateway.callers).await.unwrap();
        let text = request(path, &new_id(), "", "body");
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut first = [0; 1];
        stream.peek(&mut first).await.unwrap();
        fleet.engines[0].set_resets_all_streams(true);
        let answer = read(&mut stream).await;
        assert!(!answer.is_complete, "{path}: {} bytes", answer.body.len());
        let ids = answer.body.lines().filter_map(|line| line.strip_prefix("id: "));
        let ids: Vec<u64> = ids.map(|id| id.parse().unwrap()).collect();
        assert!(!ids.is_empty() && ids.iter().copied().eq(1..=ids.len() as u64), "{path}: {ids:?}");
        fleet.engines[0].set_resets_all_streams(false);
    }
}
